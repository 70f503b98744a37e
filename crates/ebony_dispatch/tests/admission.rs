//! The admission of programs, played against engines whose batches slow down: with three and four times the traffic that
//! they carry, as many programs end in time as at the best.

use std::collections::VecDeque;
use std::time::Duration;

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::{
    CallShape, DispatchOptions, ProgramAdmission, ProgramGate, RunKey, TargetBoard, TargetChange, TargetKey,
    TargetPhase, TargetRecord, place, service_load,
};
use ebony_types::{ClockTime, DomainName, ServiceName, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 4;
const SLOTS: u32 = 8;
/// A step of the play.
const STEP: Duration = Duration::from_millis(5);
/// The length of a play.
const STEPS: usize = 12_000;
/// Steps of a turn on an idle engine.
const TURN_STEPS: f64 = 40.0;
/// What each further call in a batch adds to the time of all.
const BATCH_COST: f64 = 0.06;
const TURNS: u32 = 4;
/// How much longer than on idle engines a program may take.
const AIM: f64 = 1.6;
/// Programs that begin in a step at the usual traffic, about half of what the engines carry.
const USUAL_RATE: f64 = 0.065;

struct Call {
    program: usize,
    run: RunKey,
    left: f64,
}

struct Program {
    began: usize,
    turns_left: u32,
}

struct Play {
    board: TargetBoard,
    engines: Vec<(TargetKey, Vec<Call>, VecDeque<Call>)>,
    programs: Vec<Program>,
    in_time: u32,
    service: ServiceName,
    domain: DomainName,
    options: DispatchOptions,
    gate: ProgramGate,
}

impl Play {
    fn open() -> Self {
        let service = ServiceName::parse("models").expect("a name");
        let domain = DomainName::parse("a").expect("a name");
        let mut board = TargetBoard::default();
        let engines = (0..ENGINES).map(|number| {
            let record = TargetRecord {
                name: TargetName::parse(&format!("engine-{number}")).expect("a name"),
                service: service.clone(),
                address: ([10, 0, 0, number as u8], 80).into(),
                domain: domain.clone(),
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
        let shape = CallShape {
            service: &self.service,
            domain: &self.domain,
            affinity: &format!("p{program}"),
            prompt: &[],
            tried: &[],
            most_connections: u32::MAX,
        };
        let target = place(&self.board, &shape, &self.options, Self::now(step)).expect("a target is ready");
        let run = self.board.begin(target, &[], None);
        let engine = self.engines.iter_mut().find(|(key, ..)| *key == target);
        let (_, _, queue) = engine.expect("the target is an engine");
        queue.push_back(Call {
            program,
            run,
            left: TURN_STEPS,
        });
    }

    /// Runs all engines for one step, and sends the next turns of programs.
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
            };
            self.board.record_notice(*key, notice, Self::now(step));
        }
        for (_, call) in ended {
            self.board.end(call.run);
            let program = &mut self.programs[call.program];
            program.turns_left -= 1;
            if program.turns_left > 0 {
                self.send_turn(call.program, step);
            } else if ((step - program.began) as f64) <= AIM * TURN_STEPS * f64::from(TURNS) {
                self.in_time += 1;
            }
        }
    }
}

/// Returns how many programs end in time at so many times the usual traffic.
fn in_time(times: f64, has_admission: bool) -> u32 {
    let mut source = ChaCha8Rng::seed_from_u64(7);
    let mut play = Play::open();
    for step in 0..STEPS {
        let arrivals = USUAL_RATE * times;
        let count = arrivals as usize + usize::from(source.random_bool(arrivals.fract()));
        for _ in 0..count {
            let admission = play.admit(1, step);
            if has_admission && admission != ProgramAdmission::Admitted {
                continue;
            }
            play.programs.push(Program {
                began: step,
                turns_left: TURNS,
            });
            play.send_turn(play.programs.len() - 1, step);
        }
        play.run_engines(step);
    }
    play.in_time
}

/// Guards against overloads in which every program that begins delays the others, so that none ends in time.
#[test]
fn goodput_holds_at_several_times_the_traffic() {
    let with_admission = [1.0, 2.0, 3.0, 4.0].map(|times| in_time(times, true));
    let highest = with_admission.into_iter().max().unwrap_or_default();
    for (times, programs) in (1..).zip(with_admission).skip(1) {
        assert!(
            programs * 10 >= highest * 9,
            "{times} times the traffic: {with_admission:?}"
        );
    }
    // The play is hard enough: without admission goodput collapses.
    assert!(in_time(4.0, false) * 2 < highest);
}

/// Guards against refusals below what the engines carry.
#[test]
fn the_usual_traffic_is_admitted() {
    assert_eq!(in_time(1.0, true), in_time(1.0, false));
}

/// Guards against an order in which less urgent programs begin before more urgent ones.
#[test]
fn urgent_programs_begin_at_loads_that_keep_others_out() {
    let options = DispatchOptions::default();
    let load = f64::midpoint(options.most_program_load, options.most_urgent_load);
    let mut gate = ProgramGate::open(Play::now(0));
    let later = Play::now(0) + 10 * options.load_memory;
    assert_eq!(gate.admit(load, 0, &options, later), ProgramAdmission::Admitted);
    assert_eq!(
        gate.admit(load, 1, &options, later),
        ProgramAdmission::Refused { load }
    );
}
