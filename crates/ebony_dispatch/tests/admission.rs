//! Simulates the admission of programs to engines that get slower as their batches grow. At two to four times the usual
//! traffic, at least 90 % as many programs must finish in time as at the best load.

use std::collections::VecDeque;
use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::{
    DispatchOptions, PlacementRequest, ProgramAdmission, ProgramGate, RunKey, TargetBoard, TargetChange,
    TargetKey, TargetPhase, TargetRecord, VersionRule, place, service_load,
};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 4;
const SLOTS: u32 = 8;
/// The simulated time of one step.
const STEP: Duration = Duration::from_millis(5);
/// The steps of one simulation.
const STEPS: usize = 12_000;
/// The steps that a turn takes on an idle engine.
const TURN_STEPS: f64 = 40.0;
/// The slow-down of a batch for each call after the first, as a share of the time on an idle engine.
const BATCH_COST: f64 = 0.06;
const TURNS: u32 = 4;
/// A program is in time if it takes at most this many times its duration on idle engines.
const MAX_STRETCH: f64 = 1.6;
/// Programs that arrive per step at the usual traffic, about half of what the engines can carry.
const USUAL_RATE: f64 = 0.065;

struct Call {
    program: usize,
    run: RunKey,
    left: f64,
}

struct Program {
    started_at: usize,
    turns_left: u32,
}

struct Simulation {
    board: TargetBoard,
    engines: Vec<(TargetKey, Vec<Call>, VecDeque<Call>)>,
    programs: Vec<Program>,
    in_time: u32,
    service: ServiceName,
    domain: DomainName,
    options: DispatchOptions,
    gate: ProgramGate,
}

impl Simulation {
    fn open() -> Self {
        let service = ServiceName::parse("models").expect("a valid name");
        let domain = DomainName::parse("a").expect("a valid name");
        let mut board = TargetBoard::default();
        let engines = (0..ENGINES).map(|number| {
            let record = TargetRecord {
                name: TargetName::parse(&format!("engine-{number}")).expect("a valid name"),
                service: service.clone(),
                address: ([10, 0, 0, number as u8], 80).into(),
                domain: domain.clone(),
                version: SoftwareVersion::parse("v1").expect("a version"),
                slots: SLOTS,
                phase: TargetPhase::Ready,
                born: 1,
            };
            match board.apply(record) {
                TargetChange::Added(key) => (key, Vec::new(), VecDeque::new()),
                change => panic!("{change:?}"),
            }
        });
        Self {
            engines: engines.collect(),
            board,
            programs: Vec::new(),
            in_time: 0,
            service,
            domain,
            options: DispatchOptions::default(),
            gate: ProgramGate::open(Self::now(0)),
        }
    }

    fn now(step: usize) -> ClockTime {
        ClockTime::default() + STEP * step as u32
    }

    fn admit(&mut self, urgency: u8, step: usize) -> ProgramAdmission {
        let now = Self::now(step);
        let load = service_load(&self.board, &self.service, &self.options, now);
        self.gate.admit(load, urgency, &self.options, now)
    }

    fn send_turn(&mut self, program: usize, step: usize) {
        let request = PlacementRequest {
            service: &self.service,
            domain: &self.domain,
            affinity: &format!("p{program}"),
            is_sticky: false,
            prompt: &[],
            tried: &[],
            max_connections: u32::MAX,
            max_permit_wait: None,
            versions: VersionRule::Any,
        };
        let target = place(&self.board, &request, &self.options, Self::now(step)).expect("a target is ready");
        let run = self.board.begin(target, &[], None);
        let engine = self.engines.iter_mut().find(|(key, ..)| *key == target);
        let (_, _, queue) = engine.expect("the target is an engine");
        queue.push_back(Call {
            program,
            run,
            left: TURN_STEPS,
        });
    }

    /// Runs all engines for one step and sends the next turns of programs.
    fn run_engines(&mut self, step: usize) {
        let mut ended = Vec::new();
        for (key, running, queue) in &mut self.engines {
            while running.len() < SLOTS as usize {
                let Some(call) = queue.pop_front() else { break };
                running.push(call);
            }
            let speed = 1.0 / (1.0 + BATCH_COST * (running.len().max(1) - 1) as f64);
            running.iter_mut().for_each(|call| call.left -= speed);
            let done = running.extract_if(.., |call| call.left <= 0.0);
            ended.extend(done.map(|call| (*key, call)));
            let notice = LoadNotice {
                running: running.len() as u32,
                waiting: queue.len() as u32,
                slots: SLOTS,
                ..LoadNotice::default()
            };
            self.board.record_notice(*key, notice, Self::now(step));
        }
        for (_, call) in ended {
            self.board.end(call.run);
            let program = &mut self.programs[call.program];
            program.turns_left -= 1;
            if program.turns_left > 0 {
                self.send_turn(call.program, step);
            } else if ((step - program.started_at) as f64) <= MAX_STRETCH * TURN_STEPS * f64::from(TURNS) {
                self.in_time += 1;
            }
        }
    }
}

/// Returns how many programs finish in time at a multiple of the usual traffic.
fn count_in_time(multiple: f64, has_admission: bool) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut simulation = Simulation::open();
    for step in 0..STEPS {
        let arrivals = USUAL_RATE * multiple;
        let count = arrivals as usize + usize::from(rng.random_bool(arrivals.fract()));
        for _ in 0..count {
            let admission = simulation.admit(1, step);
            if has_admission && admission != ProgramAdmission::Admitted {
                continue;
            }
            simulation.programs.push(Program {
                started_at: step,
                turns_left: TURNS,
            });
            simulation.send_turn(simulation.programs.len() - 1, step);
        }
        simulation.run_engines(step);
    }
    simulation.in_time
}

/// Guards against a collapse under overload, in which every program that starts delays the others until none finishes
/// in time.
#[test]
fn goodput_holds_at_several_times_the_traffic() {
    let with_admission = [1.0, 2.0, 3.0, 4.0].map(|multiple| count_in_time(multiple, true));
    let highest = with_admission.into_iter().max().unwrap_or_default();
    for (multiple, programs) in (1..).zip(with_admission).skip(1) {
        assert!(
            programs * 10 >= highest * 9,
            "{multiple} times the traffic: {with_admission:?}"
        );
    }
    // Shows that the load is high enough to matter: without admission control, goodput collapses.
    assert!(count_in_time(4.0, false) * 2 < highest);
}

/// Guards against refusals while the engines have capacity left.
#[test]
fn the_usual_traffic_is_admitted() {
    assert_eq!(count_in_time(1.0, true), count_in_time(1.0, false));
}

/// Guards against less urgent programs being admitted ahead of more urgent ones.
#[test]
fn urgent_programs_begin_at_loads_that_keep_others_out() {
    let options = DispatchOptions::default();
    let load = f64::midpoint(options.max_program_load, options.max_urgent_load);
    let mut gate = ProgramGate::open(Simulation::now(0));
    let later = Simulation::now(0) + 10 * options.load_time_constant;
    assert_eq!(gate.admit(load, 0, &options, later), ProgramAdmission::Admitted);
    assert_eq!(
        gate.admit(load, 1, &options, later),
        ProgramAdmission::Refused { load }
    );
}
