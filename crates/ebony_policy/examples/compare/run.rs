//! Simulates one run: programs, entries, side processes and engines in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use ebony_policy::options::PolicyOptions;
use ebony_policy::prelude::*;
use ebony_types::{ClockTime, ProgramId, ShardKey};
use ebony_wire::LoadReport;

use crate::processes::{EntryProcess, SideProcess, side_domains};
use crate::programs::{ProgramPlan, generate};
use crate::scenario::{ARRIVAL_SECONDS, DeploymentPlan, ScenarioPlan, engine_speed};
use crate::summary::{RunSummary, summarize};

/// Seconds after which a run ends even if programs are unfinished. Their latency is then the time until the end.
pub(crate) const LAST_SECOND: f64 = 4.0 * ARRIVAL_SECONDS;

/// Factor by which a stalled engine is slower than its nominal speed.
pub(crate) const STALLED_SLOWDOWN: f64 = 1_000.0;

/// Timeout of a call in seconds, as in `ebony_types::limits::DEFAULT_TIMEOUT_MS`.
pub(crate) const CALL_TIMEOUT_SECONDS: f64 = 120.0;

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive(usize),
    Issue(usize),
    Dispatch(usize),
    Hedge(usize),
    Engine {
        side: usize,
        version: u64,
    },
    Report,
    Deliver(Vec<LoadReport>),
    Cache {
        side: usize,
        sequence: u64,
        program: usize,
        tokens: u64,
    },
    Poll,
    Loaded {
        side: usize,
        model: usize,
    },
    Slowdown {
        side: usize,
        slowdown: f64,
    },
    Outage {
        is_over: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct ProgramState {
    pub(crate) entry: usize,
    pub(crate) turn: usize,
    pub(crate) history: u64,
    pub(crate) attained: u64,
    pub(crate) end: Option<f64>,
    pub(crate) refusals: u32,
    pub(crate) is_abandoned: bool,
    pub(crate) children_left: usize,
    pub(crate) pause_start: Option<ClockTime>,
    pub(crate) pause_kind: u64,
    pub(crate) last_side: Option<usize>,
    pub(crate) used_sides: Vec<usize>,
}

pub(crate) struct CallState {
    pub(crate) program: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) added_tokens: u64,
    pub(crate) issued: f64,
    pub(crate) tries: u32,
    pub(crate) avoid: Vec<TargetKey>,
    pub(crate) attempts: Vec<usize>,
    pub(crate) has_first_token: bool,
}

pub(crate) struct AttemptState {
    pub(crate) call: usize,
    pub(crate) side: usize,
    pub(crate) key: Option<QueueKey>,
    pub(crate) cost_tokens: u64,
    pub(crate) expected_uncached: u64,
    pub(crate) uncached: u64,
    pub(crate) started: f64,
    pub(crate) first_token: f64,
    pub(crate) is_live: bool,
}

/// The state of one run.
pub(crate) struct Simulation {
    pub(crate) plans: Vec<ProgramPlan>,
    pub(crate) programs: Vec<ProgramState>,
    pub(crate) first_token_seconds: Vec<f64>,
    pub(crate) refusals: u64,
    pub(crate) expired: u64,
    pub(crate) sides: Vec<SideProcess>,
    pub(crate) seconds: f64,
    pub(crate) options: PolicyOptions,
    pub(crate) scenario: ScenarioPlan,
    pub(crate) entries: Vec<EntryProcess>,
    pub(crate) ids: Vec<ProgramId>,
    pub(crate) by_id: HashMap<ProgramId, usize>,
    pub(crate) calls: Vec<CallState>,
    pub(crate) attempts: Vec<AttemptState>,
    pub(crate) events: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) payloads: HashMap<u64, Event>,
    pub(crate) next_event: u64,
    pub(crate) unfinished: usize,
}

/// Runs a scenario once.
pub(crate) fn run(
    deployment: &DeploymentPlan,
    scenario: &ScenarioPlan,
    options: &PolicyOptions,
    seed: u64,
) -> RunSummary {
    let mut options = options.clone();
    options.latency_weight = deployment.latency_weight;
    options.admission.enabled &= scenario.has_admission;
    let plans = generate(scenario.load_plan(deployment), engine_speed(), seed);
    let mut simulation = Simulation::open(deployment, scenario, options, plans, seed);
    simulation.run();
    summarize(&simulation)
}

impl Simulation {
    pub(crate) fn open(
        deployment: &DeploymentPlan,
        scenario: &ScenarioPlan,
        options: PolicyOptions,
        plans: Vec<ProgramPlan>,
        seed: u64,
    ) -> Self {
        let engines = side_domains(deployment).len();
        // In a scenario with two models, the last engine of each failure domain starts with the second one.
        let has_two_models = scenario.second_model != (0.0, 0.0);
        let domains = side_domains(deployment);
        let models: Vec<usize> = (0..engines)
            .map(|index| usize::from(has_two_models && domains.get(index + 1) != Some(&domains[index])))
            .collect();
        let entries = deployment.domains.iter().enumerate().map(|(index, (domain, _))| {
            EntryProcess::open(&options, deployment, &models, domain, seed * 100 + index as u64)
        });
        let entries: Vec<EntryProcess> = entries.collect();
        let ids: Vec<ProgramId> = (0..plans.len()).map(program_id).collect();
        let programs = (0..plans.len()).map(|index| ProgramState::open(index % entries.len()));
        let mut simulation = Self {
            programs: programs.collect(),
            first_token_seconds: Vec::new(),
            refusals: 0,
            expired: 0,
            sides: models
                .iter()
                .zip(&domains)
                .map(|(model, domain)| SideProcess::open(&options, *model, domain))
                .collect(),
            seconds: 0.0,
            unfinished: plans.len(),
            options,
            scenario: *scenario,
            entries,
            by_id: ids
                .iter()
                .copied()
                .enumerate()
                .map(|(index, id)| (id, index))
                .collect(),
            ids,
            calls: Vec::new(),
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            next_event: 0,
            plans,
        };
        // Sub-agents run at their parent's entry, which owns the shard of both.
        for index in 0..simulation.plans.len() {
            if let Some(parent) = simulation.plans[index].parent {
                simulation.programs[index].entry = simulation.programs[parent].entry;
            } else {
                simulation.schedule_at(simulation.plans[index].arrival, Event::Arrive(index));
            }
        }
        if let Some(slow) = scenario.slow {
            simulation.schedule_at(
                slow.from,
                Event::Slowdown {
                    side: 0,
                    slowdown: slow.slowdown,
                },
            );
            simulation.schedule_at(
                slow.until,
                Event::Slowdown {
                    side: 0,
                    slowdown: 1.0,
                },
            );
        }
        if let Some(stall) = scenario.stall {
            let count = (ARRIVAL_SECONDS / stall.every_seconds) as usize;
            for number in 1..count {
                let (side, from) = (number % engines, stall.every_seconds * number as f64);
                simulation.schedule_at(
                    from,
                    Event::Slowdown {
                        side,
                        slowdown: STALLED_SLOWDOWN,
                    },
                );
                simulation.schedule_at(from + stall.seconds, Event::Slowdown { side, slowdown: 1.0 });
            }
        }
        if let Some((from, until)) = scenario.outage {
            simulation.schedule_at(from, Event::Outage { is_over: false });
            simulation.schedule_at(until, Event::Outage { is_over: true });
        }
        simulation.schedule_at(0.1, Event::Report);
        simulation.schedule_at(1.0, Event::Poll);
        simulation
    }

    pub(crate) fn run(&mut self) {
        while self.unfinished > 0
            && let Some(Reverse((micros, number))) = self.events.pop()
        {
            self.seconds = micros as f64 / 1e6;
            if self.seconds > LAST_SECOND {
                break;
            }
            if let Some(event) = self.payloads.remove(&number) {
                self.handle(event);
            }
        }
        for side in &mut self.sides {
            side.engine.close();
        }
    }

    pub(crate) fn now(&self) -> ClockTime {
        ClockTime::from_micros((self.seconds * 1e6) as u64)
    }

    pub(crate) fn schedule_at(&mut self, seconds: f64, event: Event) {
        self.next_event += 1;
        let micros = (seconds.max(self.seconds) * 1e6).ceil() as u64;
        self.events.push(Reverse((micros, self.next_event)));
        self.payloads.insert(self.next_event, event);
    }

    pub(crate) fn schedule_after(&mut self, seconds: f64, event: Event) {
        self.schedule_at(self.seconds + seconds, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(program) => self.arrive(program),
            Event::Issue(program) => self.issue(program),
            Event::Dispatch(call) => self.dispatch(call),
            Event::Hedge(call) => self.hedge(call),
            Event::Engine { side, version } => {
                if self.sides[side].version == version {
                    self.advance_engine(side);
                    self.start_queued_calls(side);
                }
            }
            Event::Report => self.report(),
            Event::Deliver(reports) => self.deliver(&reports),
            Event::Cache {
                side,
                sequence,
                program,
                tokens,
            } => {
                let now = self.now();
                for entry in &mut self.entries {
                    let key = entry.keys[side];
                    entry
                        .cache
                        .apply_event(key, self.ids[program], sequence, tokens, now);
                }
            }
            Event::Poll => self.poll(),
            Event::Loaded { side, model } => self.finish_load(side, model),
            Event::Outage { is_over } => self.outage(is_over),
            Event::Slowdown { side, slowdown } => {
                self.advance_engine(side);
                self.sides[side].engine.slowdown = slowdown;
                self.start_queued_calls(side);
            }
        }
    }
}

impl ProgramState {
    fn open(entry: usize) -> Self {
        Self {
            entry,
            turn: 0,
            history: 0,
            attained: 0,
            end: None,
            refusals: 0,
            is_abandoned: false,
            children_left: 0,
            pause_start: None,
            pause_kind: 0,
            last_side: None,
            used_sides: Vec::new(),
        }
    }
}

fn program_id(index: usize) -> ProgramId {
    let mut bytes = [0; 14];
    bytes[..8].copy_from_slice(&(index as u64).to_be_bytes());
    ProgramId::from_parts(ShardKey(0), bytes)
}
