//! One run: programs, entries, side processes and engines in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use ebony_policy::options::PolicyOptions;
use ebony_policy::prelude::*;
use ebony_types::{CallId, ClockTime, ProgramId, RunVerdict, ShardKey};
use ebony_wire::{LoadReport, QueueRank};
use rand::Rng;

use crate::engine::{EngineEvent, EngineWork};
use crate::parts::{
    EntryParts, MODELS, SideParts, caller_name, model_name, pool_name, side_domains, target_name,
};
use crate::programs::{ProgramPlan, generate};
use crate::scenario::{ARRIVAL_SECONDS, DeploymentPlan, KV_TOKENS, SLOTS, ScenarioPlan, engine_speed};
use crate::summary::{RunSummary, summarize};

/// Seconds after which a run ends even if programs are left; they count with the time that they have had.
const LAST_SECOND: f64 = 4.0 * ARRIVAL_SECONDS;

/// Seconds between load reports, and by which they lag.
const REPORT_SECONDS: f64 = 0.5;

/// Seconds by which cache events lag.
const EVENT_LAG_SECONDS: f64 = 0.3;

/// Seconds between the vouching of an entry.
const VOUCH_SECONDS: u64 = 10;

/// The share of release orders that are lost.
const LOST_RELEASES: f64 = 0.02;

/// Seconds that loading a model takes.
const LOAD_SECONDS: f64 = 40.0;

/// How many times slower than usual a stalled engine is.
const STALLED_PACE: f64 = 1_000.0;

/// The timeout of a call, as `ebony_types::limits::DEFAULT_TIMEOUT_MS`.
const CALL_TIMEOUT_SECONDS: f64 = 120.0;

#[derive(Clone, Debug)]
enum Event {
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
    Pace {
        side: usize,
        pace: f64,
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
    pub(crate) is_lost: bool,
    children_left: usize,
    pause_start: Option<ClockTime>,
    pause_kind: u64,
    home: Option<usize>,
    visited: Vec<usize>,
}

struct CallState {
    program: usize,
    prompt_tokens: u64,
    output_tokens: u64,
    added_tokens: u64,
    issued: f64,
    tries: u32,
    avoid: Vec<TargetKey>,
    attempts: Vec<usize>,
    has_first_token: bool,
}

struct AttemptState {
    call: usize,
    side: usize,
    key: Option<QueueKey>,
    cost_tokens: u64,
    expected_uncached: u64,
    uncached: u64,
    started: f64,
    first_token: f64,
    is_live: bool,
}

/// Everything that one run holds.
pub(crate) struct Simulation {
    pub(crate) plans: Vec<ProgramPlan>,
    pub(crate) programs: Vec<ProgramState>,
    pub(crate) first_token_seconds: Vec<f64>,
    pub(crate) refusals: u64,
    pub(crate) expired: u64,
    pub(crate) hedges: u64,
    pub(crate) loads: u64,
    pub(crate) sides: Vec<SideParts>,
    pub(crate) seconds: f64,
    options: PolicyOptions,
    scenario: ScenarioPlan,
    entries: Vec<EntryParts>,
    ids: Vec<ProgramId>,
    by_id: HashMap<ProgramId, usize>,
    calls: Vec<CallState>,
    attempts: Vec<AttemptState>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    details: HashMap<u64, Event>,
    next_event: u64,
    unfinished: usize,
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
    let plans = generate(scenario.load_plan(deployment), engine_speed(), seed);
    let mut simulation = Simulation::open(deployment, scenario, options, plans, seed);
    simulation.run();
    summarize(&simulation)
}

impl Simulation {
    fn open(
        deployment: &DeploymentPlan,
        scenario: &ScenarioPlan,
        options: PolicyOptions,
        plans: Vec<ProgramPlan>,
        seed: u64,
    ) -> Self {
        let engines = side_domains(deployment).len();
        // In a scenario with two models, the last engine of each failure domain begins with the second one.
        let has_two_models = scenario.second_model != (0.0, 0.0);
        let domains = side_domains(deployment);
        let models: Vec<usize> = (0..engines)
            .map(|index| usize::from(has_two_models && domains.get(index + 1) != Some(&domains[index])))
            .collect();
        let entries = deployment.domains.iter().enumerate().map(|(index, (domain, _))| {
            EntryParts::open(&options, deployment, &models, domain, seed * 100 + index as u64)
        });
        let entries: Vec<EntryParts> = entries.collect();
        let ids: Vec<ProgramId> = (0..plans.len()).map(program_id).collect();
        let programs = (0..plans.len()).map(|index| ProgramState::open(index % entries.len(), &plans[index]));
        let mut simulation = Self {
            programs: programs.collect(),
            first_token_seconds: Vec::new(),
            refusals: 0,
            expired: 0,
            hedges: 0,
            loads: 0,
            sides: models
                .iter()
                .zip(&domains)
                .map(|(model, domain)| SideParts::open(&options, *model, domain))
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
            details: HashMap::new(),
            next_event: 0,
            plans,
        };
        // Sub-agents run at their parent's entry, which owns the shard of both.
        for index in 0..simulation.plans.len() {
            if let Some(parent) = simulation.plans[index].parent {
                simulation.programs[index].entry = simulation.programs[parent].entry;
            } else {
                simulation.at(simulation.plans[index].arrival, Event::Arrive(index));
            }
        }
        if let Some(slow) = scenario.slow {
            simulation.at(
                slow.from,
                Event::Pace {
                    side: 0,
                    pace: slow.pace,
                },
            );
            simulation.at(slow.until, Event::Pace { side: 0, pace: 1.0 });
        }
        if let Some(stall) = scenario.stall {
            let count = (ARRIVAL_SECONDS / stall.every_seconds) as usize;
            for number in 1..count {
                let (side, from) = (number % engines, stall.every_seconds * number as f64);
                simulation.at(
                    from,
                    Event::Pace {
                        side,
                        pace: STALLED_PACE,
                    },
                );
                simulation.at(from + stall.seconds, Event::Pace { side, pace: 1.0 });
            }
        }
        if let Some((from, until)) = scenario.outage {
            simulation.at(from, Event::Outage { is_over: false });
            simulation.at(until, Event::Outage { is_over: true });
        }
        simulation.at(0.1, Event::Report);
        simulation.at(1.0, Event::Poll);
        simulation
    }

    fn run(&mut self) {
        while self.unfinished > 0
            && let Some(Reverse((micros, number))) = self.events.pop()
        {
            self.seconds = micros as f64 / 1e6;
            if self.seconds > LAST_SECOND {
                break;
            }
            if let Some(event) = self.details.remove(&number) {
                self.handle(event);
            }
        }
        for side in &mut self.sides {
            side.engine.close();
        }
    }

    fn now(&self) -> ClockTime {
        ClockTime::from_micros((self.seconds * 1e6) as u64)
    }

    fn at(&mut self, seconds: f64, event: Event) {
        self.next_event += 1;
        let micros = (seconds.max(self.seconds) * 1e6).ceil() as u64;
        self.events.push(Reverse((micros, self.next_event)));
        self.details.insert(self.next_event, event);
    }

    fn after(&mut self, seconds: f64, event: Event) {
        self.at(self.seconds + seconds, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(program) => self.arrive(program),
            Event::Issue(program) => self.issue(program),
            Event::Dispatch(call) => self.dispatch(call),
            Event::Hedge(call) => self.hedge(call),
            Event::Engine { side, version } => {
                if self.sides[side].version == version {
                    self.sync(side);
                    self.pump(side);
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
            Event::Loaded { side, model } => self.loaded(side, model),
            Event::Outage { is_over } => self.outage(is_over),
            Event::Pace { side, pace } => {
                self.sync(side);
                self.sides[side].engine.pace = pace;
                self.pump(side);
            }
        }
    }

    fn arrive(&mut self, program: usize) {
        let arrival = ProgramArrival {
            program: self.ids[program],
            caller: caller_name(self.plans[program].caller),
            deadline: self.now() + Duration::from_secs_f64(CALL_TIMEOUT_SECONDS),
            prompt_tokens: self.plans[program].turns[0].added_tokens,
            is_admitted: self.plans[program].parent.is_some(),
        };
        let now = self.now();
        let decision = self.entries[self.programs[program].entry]
            .gate
            .arrive(&arrival, now);
        self.admit(program, decision);
    }

    fn admit(&mut self, program: usize, decision: AdmissionDecision) {
        match decision {
            AdmissionDecision::Admitted => self.issue(program),
            AdmissionDecision::Waiting => {}
            AdmissionDecision::Refused { retry_after_seconds } => {
                self.refuse(program, retry_after_seconds, Event::Arrive(program));
            }
        }
    }

    /// The caller comes back after the retry time, or gives up.
    fn refuse(&mut self, program: usize, retry_after_seconds: u32, again: Event) {
        self.refusals += 1;
        let state = &mut self.programs[program];
        state.refusals += 1;
        if state.refusals > self.scenario.patience && state.turn == 0 && self.plans[program].parent.is_none()
        {
            state.is_lost = true;
            self.end_program(program);
            return;
        }
        let jitter = self.entries[0].source.random_range(0.0..1.0);
        self.after(f64::from(retry_after_seconds) + jitter, again);
    }

    fn issue(&mut self, program: usize) {
        let turn = self.plans[program].turns[self.programs[program].turn];
        let now = self.now();
        let state = &mut self.programs[program];
        if let Some(start) = state.pause_start.take() {
            let kind = PauseKind {
                caller: caller_name(self.plans[program].caller),
                kind: state.pause_kind,
            };
            self.entries[state.entry].pauses.observe(&kind, now.since(start));
        }
        self.calls.push(CallState {
            program,
            prompt_tokens: state.history + turn.added_tokens,
            output_tokens: turn.output_tokens,
            added_tokens: turn.added_tokens,
            issued: self.seconds,
            tries: 0,
            avoid: Vec::new(),
            attempts: Vec::new(),
            has_first_token: false,
        });
        let entry = &mut self.entries[state.entry];
        entry.budget.record_first(now);
        let speed = engine_speed();
        let work = speed.service_tokens(turn.added_tokens, turn.output_tokens, SLOTS);
        let engine_seconds = speed.prefill_seconds(work);
        let model = model_name(self.plans[program].model);
        let domain = entry.domain_name.clone();
        entry.loader.record_demand(&domain, &model, engine_seconds, now);
        self.dispatch(self.calls.len() - 1);
    }

    fn dispatch(&mut self, call: usize) {
        if self.calls[call].has_first_token {
            return;
        }
        self.calls[call].tries += 1;
        let Some(choice) = self.place(call) else {
            self.calls[call].avoid.clear();
            self.after(3.0, Event::Dispatch(call));
            return;
        };
        let entry = &self.entries[self.programs[self.calls[call].program].entry];
        let delay = entry
            .hedge
            .delay(CallRepeat::RepeatableModel, choice.estimate.first_token);
        if let Some(delay) = delay.filter(|_| self.calls[call].attempts.is_empty()) {
            self.after(delay.as_secs_f64(), Event::Hedge(call));
        }
        self.send(call, choice);
    }

    fn place(&mut self, call: usize) -> Option<PlacementChoice> {
        let program = self.calls[call].program;
        let state = &self.programs[program];
        let entry = &mut self.entries[state.entry];
        let home = state.home.map(|side| entry.keys[side]);
        let request = PlacementRequest {
            pool: entry.pools[self.plans[program].model],
            domain: entry.domain,
            program: self.ids[program],
            prompt_tokens: self.calls[call].prompt_tokens,
            output_tokens: None,
            last_target: home,
            retained: home,
            avoid: &self.calls[call].avoid,
        };
        entry
            .planner
            .place(&request, &entry.cache, &mut entry.source)
            .ok()
    }

    fn send(&mut self, call: usize, choice: PlacementChoice) {
        let now = self.now();
        let entry = &mut self.entries[self.programs[self.calls[call].program].entry];
        let uncached_tokens = choice.estimate.uncached_tokens;
        let work = CallWork {
            uncached_tokens,
            new_kv_tokens: uncached_tokens,
        };
        entry.planner.record_dispatch(choice.target, work, now);
        let side = entry.sides[&choice.target];
        self.enqueue(call, side, uncached_tokens);
    }

    fn enqueue(&mut self, call: usize, side: usize, uncached: u64) {
        self.sync(side);
        let now = self.now();
        let CallState {
            program,
            output_tokens,
            issued,
            ..
        } = self.calls[call];
        let plan = &self.plans[program];
        let short = self.scenario.short_timeout.filter(|_| plan.caller % 4 == 1);
        let timeout = short.unwrap_or(CALL_TIMEOUT_SECONDS);
        let attempt = self.attempts.len();
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&(attempt as u64).to_be_bytes());
        let cost_tokens = engine_speed().service_tokens(uncached, output_tokens, SLOTS);
        let queued = QueuedCall {
            call: CallId::from_bytes(bytes),
            program: self.ids[program],
            caller: caller_name(plan.caller),
            rank: QueueRank {
                attained_tokens: self.programs[program].attained,
                blocks_parent: plan.parent.is_some(),
                program_age_ms: ((self.seconds - plan.arrival) * 1_000.0) as u64,
            },
            cost_tokens,
            deadline: ClockTime::from_micros(((issued + timeout) * 1e6) as u64),
        };
        let id = queued.call;
        let result = self.sides[side].queue.push(queued, now);
        self.attempts.push(AttemptState {
            call,
            side,
            key: result.as_ref().ok().copied(),
            cost_tokens,
            expected_uncached: uncached,
            uncached,
            started: self.seconds,
            first_token: self.seconds,
            is_live: true,
        });
        self.calls[call].attempts.push(attempt);
        match result {
            Ok(_) => {
                self.sides[side].waiting.insert(id, attempt);
                self.programs[program].visited.push(side);
                self.pump(side);
            }
            Err(
                QueueRefusal::Full { retry_after_seconds } | QueueRefusal::TooLate { retry_after_seconds },
            ) => {
                self.fail_attempt(attempt, retry_after_seconds);
            }
        }
    }

    /// An attempt did not run: it is retried elsewhere within the budget, or its caller is told.
    fn fail_attempt(&mut self, attempt: usize, retry_after_seconds: u32) {
        let AttemptState { call, side, .. } = self.attempts[attempt];
        self.end_attempt(attempt);
        let now = self.now();
        if self.calls[call].has_first_token || self.live_attempts(call) > 0 {
            return;
        }
        let program = self.calls[call].program;
        let entry = &mut self.entries[self.programs[program].entry];
        let key = entry.keys[side];
        let tries = self.calls[call].tries;
        match entry
            .budget
            .decide(RunVerdict::NotRun, tries, now, &mut entry.source)
        {
            RetryDecision::After(delay) => {
                self.calls[call].avoid.push(key);
                self.after(delay.as_secs_f64(), Event::Dispatch(call));
            }
            _ => {
                self.calls[call].avoid.clear();
                self.calls[call].tries = 0;
                self.calls[call].issued = self.seconds + f64::from(retry_after_seconds);
                self.refuse(program, retry_after_seconds, Event::Dispatch(call));
            }
        }
    }

    fn live_attempts(&self, call: usize) -> usize {
        let attempts = self.calls[call].attempts.iter();
        attempts
            .filter(|attempt| self.attempts[**attempt].is_live)
            .count()
    }

    fn end_attempt(&mut self, attempt: usize) {
        let AttemptState {
            call, side, is_live, ..
        } = self.attempts[attempt];
        if is_live {
            self.attempts[attempt].is_live = false;
            let now = self.now();
            let entry = &mut self.entries[self.programs[self.calls[call].program].entry];
            entry.planner.record_end(entry.keys[side], now);
        }
    }

    fn hedge(&mut self, call: usize) {
        let now = self.now();
        let program = self.calls[call].program;
        if self.calls[call].has_first_token || self.live_attempts(call) != 1 {
            return;
        }
        let last = self.calls[call].attempts.last().copied();
        let side = last.map(|attempt| self.attempts[attempt].side);
        let entry = &mut self.entries[self.programs[program].entry];
        self.calls[call].avoid.extend(side.map(|side| entry.keys[side]));
        let waited = Duration::from_secs_f64((self.seconds - self.calls[call].issued).max(0.0));
        let Some(choice) = self.place(call) else {
            return;
        };
        let entry = &mut self.entries[self.programs[program].entry];
        if entry.hedge.is_worthwhile(waited, choice.estimate.first_token) && entry.budget.spend_hedge(now) {
            self.hedges += 1;
            self.send(call, choice);
        }
    }

    /// Handles what the engine did up to now and schedules its next event.
    fn sync(&mut self, side: usize) {
        let events = self.sides[side].engine.advance(self.seconds);
        for event in events {
            match event {
                EngineEvent::FirstToken(work) => self.first_token(work.attempt),
                EngineEvent::Finished(work) => self.finish_call(work),
            }
        }
        self.send_cache_events(side);
    }

    fn schedule_engine(&mut self, side: usize) {
        self.sides[side].version += 1;
        let version = self.sides[side].version;
        if let Some(seconds) = self.sides[side].engine.next_event() {
            self.at(seconds + 2e-6, Event::Engine { side, version });
        }
    }

    /// Gives queued calls to the engine while it has room.
    fn pump(&mut self, side: usize) {
        let now = self.now();
        while !self.sides[side].is_loading && self.sides[side].engine.has_slot() {
            let mut queue = std::mem::replace(
                &mut self.sides[side].queue,
                CallQueue::open(QueueOptions::default()),
            );
            let popped = queue.pop_fitting(now, |call, waited| {
                let work = self.work_of(self.sides[side].waiting[&call.call]);
                self.make_room(side, &work, waited)
            });
            self.sides[side].queue = queue;
            let Some(call) = popped else {
                break;
            };
            let work = self.work_of(self.sides[side].waiting[&call.call]);
            self.start(side, work);
        }
        self.send_cache_events(side);
        self.schedule_engine(side);
    }

    fn work_of(&self, attempt: usize) -> EngineWork {
        let call = &self.calls[self.attempts[attempt].call];
        EngineWork {
            attempt,
            program: call.program,
            prompt_tokens: call.prompt_tokens,
            output_tokens: call.output_tokens,
            setup_seconds: 0.0,
        }
    }

    fn make_room(&mut self, side: usize, work: &EngineWork, waited: Duration) -> bool {
        let missing = self.sides[side].engine.missing_tokens(work);
        if missing > 0 && self.uses_retention() {
            let now = self.now();
            let program = self.ids[work.program];
            let orders = self.sides[side].held.make_room(program, missing, waited, now);
            self.carry_out(side, orders);
        }
        self.sides[side].engine.shortfall(work) == 0
    }

    fn uses_retention(&self) -> bool {
        self.options.retention.keep || self.options.retention.release_ended
    }

    fn start(&mut self, side: usize, mut work: EngineWork) {
        let now = self.now();
        let program = self.ids[work.program];
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&(work.attempt as u64).to_be_bytes());
        self.sides[side].waiting.remove(&CallId::from_bytes(bytes));
        if self.uses_retention() {
            for order in self.sides[side].held.start_call(program, now) {
                if order == HeldOrder::Import(program) {
                    let tokens = self.sides[side].engine.import(work.program);
                    let rate = self.options.retention.transfer_tokens_per_second;
                    work.setup_seconds = tokens as f64 / rate;
                }
            }
        }
        let cached = self.sides[side].engine.cached_tokens(work.program);
        let attempt = &mut self.attempts[work.attempt];
        attempt.key = None;
        attempt.started = self.seconds;
        attempt.uncached = work.prompt_tokens.saturating_sub(cached);
        self.sides[side].engine.start(work);
    }

    fn first_token(&mut self, attempt: usize) {
        let now = self.now();
        let AttemptState {
            call,
            side,
            expected_uncached,
            ..
        } = self.attempts[attempt];
        self.attempts[attempt].first_token = self.seconds;
        let CallState {
            program,
            issued,
            added_tokens,
            ..
        } = self.calls[call];
        let entry = &mut self.entries[self.programs[program].entry];
        let key = entry.keys[side];
        entry.planner.record_first_token(key, expected_uncached, now);
        if self.calls[call].has_first_token {
            return;
        }
        self.calls[call].has_first_token = true;
        let measured = self.seconds - issued;
        let sample = FirstTokenSample {
            measured: Duration::from_secs_f64(measured.max(0.0)),
            own_prefill: Duration::from_secs_f64(engine_speed().prefill_seconds(added_tokens)),
        };
        entry.gate.observe_first_token(sample, now);
        self.first_token_seconds.push(measured);
        for other in self.calls[call].attempts.clone() {
            if other != attempt && self.attempts[other].is_live {
                self.cancel(other);
            }
        }
    }

    fn cancel(&mut self, attempt: usize) {
        let side = self.attempts[attempt].side;
        let now = self.now();
        self.end_attempt(attempt);
        if let Some(key) = self.attempts[attempt].key {
            if let Some(removed) = self.sides[side].queue.remove(key, now) {
                self.sides[side].waiting.remove(&removed.call);
            }
            return;
        }
        self.sides[side].engine.cancel(attempt);
        let program = self.calls[self.attempts[attempt].call].program;
        let tokens = self.sides[side].engine.cached_tokens(program);
        self.sides[side].held.end_call(self.ids[program], tokens, now);
        self.schedule_engine(side);
    }

    fn finish_call(&mut self, work: EngineWork) {
        let now = self.now();
        let AttemptState {
            call,
            side,
            cost_tokens,
            uncached,
            started,
            first_token,
            ..
        } = self.attempts[work.attempt];
        let program = work.program;
        self.end_attempt(work.attempt);
        let tokens = work.prompt_tokens + work.output_tokens;
        let service = engine_speed().service_tokens(uncached, work.output_tokens, SLOTS);
        let caller = caller_name(self.plans[program].caller);
        self.sides[side].queue.settle(&caller, cost_tokens, service);
        let state = &mut self.programs[program];
        let entry = &mut self.entries[state.entry];
        let key = entry.keys[side];
        let in_slot = Duration::from_secs_f64(self.seconds - started);
        let decode = Duration::from_secs_f64(self.seconds - first_token);
        entry
            .planner
            .observe_call(key, in_slot, decode, work.output_tokens);
        entry.cache.record_call(key, self.ids[program], tokens, now);
        entry.gate.record_history(self.ids[program], tokens);
        state.history = tokens;
        state.attained += service;
        state.home = Some(side);
        state.turn += 1;
        let turn = state.turn;
        debug_assert!(self.calls[call].has_first_token);
        if self.uses_retention() {
            let orders = self.sides[side].held.end_call(self.ids[program], tokens, now);
            self.carry_out(side, orders);
        }
        let fan_out = self.plans[program]
            .fan_out
            .clone()
            .filter(|(after, _)| *after + 1 == turn);
        if let Some((_, children)) = fan_out {
            self.programs[program].children_left = children.len();
            self.pause(program, side, 1);
            children
                .into_iter()
                .for_each(|child| self.at(self.seconds, Event::Arrive(child)));
        } else {
            self.proceed(program, Some(side));
        }
    }

    /// Goes on to the next turn after a pause, or ends the program.
    fn proceed(&mut self, program: usize, side: Option<usize>) {
        let turn = self.programs[program].turn;
        if turn == self.plans[program].turns.len() {
            self.end_program(program);
            return;
        }
        let seconds = self.plans[program].turns[turn - 1].pause;
        if let Some(side) = side {
            self.pause(program, side, 0);
            self.after(seconds, Event::Issue(program));
        } else {
            self.at(self.seconds, Event::Issue(program));
        }
    }

    fn pause(&mut self, program: usize, side: usize, kind: u64) {
        let now = self.now();
        let state = &mut self.programs[program];
        state.pause_start = Some(now);
        state.pause_kind = kind;
        if !self.options.retention.keep {
            return;
        }
        let entry = &self.entries[state.entry];
        let pause_kind = PauseKind {
            caller: caller_name(self.plans[program].caller),
            kind,
        };
        let histogram = entry.pauses.histogram(&pause_kind);
        let load = entry.planner.table().load(entry.keys[side]);
        let pressure = MemoryPressure {
            used_share: load.map_or(0.0, |load| load.kv_used_share()),
        };
        let id = self.ids[program];
        let held = &mut self.sides[side].held;
        let orders = match entry.plan.decide(state.history, &histogram, pressure) {
            HoldDecision::Keep(expires) => held.retain(id, histogram.expected(), expires, now),
            HoldDecision::Export => held.export(id, now),
            HoldDecision::Leave => Vec::new(),
        };
        self.carry_out(side, orders);
    }

    fn end_program(&mut self, program: usize) {
        let now = self.now();
        let id = self.ids[program];
        self.programs[program].end = Some(self.seconds);
        self.unfinished -= 1;
        let entry = self.programs[program].entry;
        self.entries[entry].gate.finish(id, now);
        for side in &mut self.sides {
            side.engine.end_program(program);
        }
        let mut visited = std::mem::take(&mut self.programs[program].visited);
        visited.sort_unstable();
        visited.dedup();
        for side in visited {
            let key = self.entries[entry].keys[side];
            self.entries[entry].cache.forget_program(key, id);
            if self.options.retention.release_ended {
                let orders = self.sides[side].held.release(id, now);
                self.carry_out(side, orders);
            }
        }
        if let Some((_, children)) = self.plans[program]
            .fan_out
            .clone()
            .filter(|_| self.programs[program].is_lost)
        {
            // The sub-agents of a program that never started never start.
            self.unfinished -= children.len();
        }
        if let Some(parent) = self.plans[program].parent {
            self.programs[parent].children_left -= 1;
            if self.programs[parent].children_left == 0 {
                self.proceed(parent, None);
            }
        }
        self.admit_waiting(entry);
    }

    fn admit_waiting(&mut self, entry: usize) {
        let now = self.now();
        for outcome in self.entries[entry].gate.poll(now) {
            self.admit(self.by_id[&outcome.program], outcome.decision);
        }
    }

    fn carry_out(&mut self, side: usize, orders: Vec<HeldOrder>) {
        let mut orders = std::collections::VecDeque::from(orders);
        while let Some(order) = orders.pop_front() {
            let now = self.now();
            let parts = &mut self.sides[side];
            match order {
                HeldOrder::Pin(id) => parts.engine.pin(self.by_id[&id], true),
                HeldOrder::Unpin(id) => parts.engine.pin(self.by_id[&id], false),
                HeldOrder::Export(id) => {
                    parts.engine.export(self.by_id[&id]);
                    orders.extend(parts.held.finish_export(id, true, now));
                }
                HeldOrder::Import(_) => {}
                HeldOrder::DropExport(id) => parts.engine.drop_export(self.by_id[&id]),
                HeldOrder::Release(id) => {
                    if self.entries[0].source.random::<f64>() >= LOST_RELEASES {
                        parts.engine.release(self.by_id[&id]);
                        parts.held.confirm_release(id);
                    }
                }
            }
        }
    }

    fn send_cache_events(&mut self, side: usize) {
        for (program, tokens) in self.sides[side].engine.take_changes() {
            self.sides[side].event_sequence += 1;
            let sequence = self.sides[side].event_sequence;
            if self.entries[0].source.random::<f64>() >= self.scenario.event_loss {
                let event = Event::Cache {
                    side,
                    sequence,
                    program,
                    tokens,
                };
                self.after(EVENT_LAG_SECONDS, event);
            }
        }
    }

    fn report(&mut self) {
        for side in 0..self.sides.len() {
            self.sync(side);
            self.pump(side);
        }
        let bytes = engine_speed().kv_bytes_per_token;
        let reports = self.sides.iter().enumerate().map(|(index, side)| LoadReport {
            target: target_name(index),
            running: side.engine.running() as u32,
            queued: side.queue.len() as u32,
            pending_tokens: side.engine.pending_tokens() + side.queue.backlog_tokens(),
            kv_bytes_held: side.engine.held_tokens() * bytes,
            kv_bytes_total: side.engine.kv_tokens() * bytes,
        });
        let reports = reports.collect();
        self.after(REPORT_SECONDS, Event::Deliver(reports));
        self.after(REPORT_SECONDS, Event::Report);
    }

    fn deliver(&mut self, reports: &[LoadReport]) {
        let now = self.now();
        let serving = self.sides.iter().filter(|side| !side.is_loading).count();
        let entries = self.entries.len();
        for entry in &mut self.entries {
            let kv_limit = KV_TOKENS * serving as u64 / entries as u64;
            entry
                .gate
                .set_capacity(kv_limit, SLOTS * serving as u32 / entries as u32);
            for (side, report) in reports.iter().enumerate() {
                let key = entry.keys[side];
                entry.planner.apply_report(key, report, now);
                entry.cache.set_capacity(key, KV_TOKENS);
            }
        }
    }

    fn poll(&mut self) {
        let now = self.now();
        for side in 0..self.sides.len() {
            let expired = self.sides[side].queue.take_expired(now);
            for call in expired {
                self.expired += 1;
                if let Some(attempt) = self.sides[side].waiting.remove(&call.call) {
                    self.attempts[attempt].key = None;
                    self.fail_attempt(attempt, 1);
                }
            }
            if self.uses_retention() {
                let orders = self.sides[side].held.poll(now);
                self.carry_out(side, orders);
            }
        }
        if std::env::var("DBG").is_ok() && (self.seconds as u64).is_multiple_of(60) {
            let live = self
                .programs
                .iter()
                .zip(&self.plans)
                .filter(|(s, _)| s.end.is_none() && (s.turn > 0 || s.home.is_some()))
                .count();
            let hist: u64 = self
                .programs
                .iter()
                .filter(|s| s.end.is_none())
                .map(|s| s.history)
                .sum();
            let run: Vec<usize> = self.sides.iter().map(|s| s.engine.running()).collect();
            let q: Vec<usize> = self.sides.iter().map(|s| s.queue.len()).collect();
            let held: Vec<u64> = self.sides.iter().map(|s| s.engine.held_tokens() / 1000).collect();
            let exp: Vec<u64> = self
                .sides
                .iter()
                .map(|s| s.held.exported_tokens() / 1000)
                .collect();
            let (e, n) = self.sides.iter().fold((0, 0), |a, s| {
                (a.0 + s.engine.tally.evicted, a.1 + s.engine.tally.never_reused)
            });
            let gate: Vec<(usize, usize, u32)> = self
                .entries
                .iter()
                .map(|e| (e.gate.in_progress(), e.gate.waiting(), e.gate.limit()))
                .collect();
            eprintln!(
                "{:.0}s live {live} hist {}k run {run:?} q {q:?} held {held:?} exp {exp:?} evicted {}k never {}k gate {gate:?}",
                self.seconds,
                hist / 1000,
                e / 1000,
                n / 1000
            );
        }
        if (self.seconds as u64).is_multiple_of(VOUCH_SECONDS) {
            self.vouch();
        }
        for entry in 0..self.entries.len() {
            self.admit_waiting(entry);
            for decision in self.entries[entry].loader.plan(now) {
                self.begin_load(entry, &decision);
            }
        }
        self.after(1.0, Event::Poll);
    }

    fn vouch(&mut self) {
        let now = self.now();
        for program in 0..self.programs.len() {
            let state = &self.programs[program];
            if let Some(side) = state.home.filter(|_| state.end.is_none()) {
                self.sides[side].held.vouch(&[self.ids[program]], now);
            }
        }
    }

    fn begin_load(&mut self, entry: usize, decision: &LoadDecision) {
        self.loads += 1;
        let side = self.entries[entry].sides[&decision.target];
        let model = MODELS
            .iter()
            .position(|name| *name == decision.load.as_str())
            .unwrap_or(0);
        for entry in &mut self.entries {
            entry.planner.set_pools(entry.keys[side], &[]).expect("room");
        }
        self.sides[side].is_loading = true;
        self.bounce_queue(side);
        self.after(LOAD_SECONDS, Event::Loaded { side, model });
    }

    /// The engines of the first failure domain are lost with their caches, or come back empty.
    fn outage(&mut self, is_over: bool) {
        let lost = self.sides[0].domain.clone();
        let state = if is_over {
            TargetState::Serving
        } else {
            TargetState::Failed
        };
        let sides = (0..self.sides.len()).filter(|side| self.sides[*side].domain == lost);
        for side in sides.collect::<Vec<_>>() {
            self.sync(side);
            for entry in &mut self.entries {
                let key = entry.keys[side];
                entry.planner.set_state(key, state);
                entry.cache.forget_target(key);
            }
            self.sides[side].is_loading = !is_over;
            if !is_over {
                self.lose_calls(side);
                self.sides[side].engine.flush();
                self.sides[side].held = HeldTable::open(self.options.retention.clone());
            }
            self.pump(side);
        }
    }

    /// Calls in the queue did not run and are retried. Those on the engine may have run, so their callers decide:
    /// they send them again a second later.
    fn lose_calls(&mut self, side: usize) {
        self.bounce_queue(side);
        for attempt in self.sides[side].engine.fail() {
            self.end_attempt(attempt);
            let call = self.attempts[attempt].call;
            if self.live_attempts(call) == 0 {
                self.calls[call].has_first_token = false;
                self.calls[call].tries = 0;
                self.after(1.0, Event::Dispatch(call));
            }
        }
    }

    fn bounce_queue(&mut self, side: usize) {
        let now = self.now();
        while let Some(call) = self.sides[side].queue.pop(now) {
            if let Some(attempt) = self.sides[side].waiting.remove(&call.call) {
                self.attempts[attempt].key = None;
                self.fail_attempt(attempt, 1);
            }
        }
    }

    fn loaded(&mut self, side: usize, model: usize) {
        self.sync(side);
        self.sides[side].is_loading = false;
        self.sides[side].model = model;
        self.sides[side].engine.flush();
        for entry in &mut self.entries {
            let key = entry.keys[side];
            entry.planner.set_pools(key, &[pool_name(model)]).expect("room");
            let domain = self.sides[side].domain.clone();
            entry.loader.set_engine(key, domain, vec![model_name(model)]);
        }
        self.pump(side);
    }
}

impl ProgramState {
    fn open(entry: usize, _plan: &ProgramPlan) -> Self {
        Self {
            entry,
            turn: 0,
            history: 0,
            attained: 0,
            end: None,
            refusals: 0,
            is_lost: false,
            children_left: 0,
            pause_start: None,
            pause_kind: 0,
            home: None,
            visited: Vec::new(),
        }
    }
}

fn program_id(index: usize) -> ProgramId {
    let mut bytes = [0; 14];
    bytes[..8].copy_from_slice(&(index as u64).to_be_bytes());
    ProgramId::from_parts(ShardKey(0), bytes)
}
