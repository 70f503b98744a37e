//! Measures placement decisions, load reports and the queue of a target.

use ebony_policy::{
    CacheModel, CacheOptions, CallQueue, CallWork, EngineSpeed, NewTarget, PlacementOptions,
    PlacementPlanner, PlacementRequest, PoolName, QueueOptions, QueuedCall, TargetKey,
};
use ebony_types::{CallId, CallerName, ClockTime, DomainName, ModelName, TargetName};
use ebony_wire::{LoadReport, QueueRank};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::owner_bench::program_id;
use crate::report::CapacityReport;
use crate::sample::{cpu_micros, repeat_measurement};

/// Engines of a pool that an entry knows.
const ENGINE_COUNTS: [usize; 4] = [10, 100, 1_000, 12_000];

/// Failure domains at the scale that the system is designed for.
const DOMAIN_COUNT: usize = 7;

const CALLS_PER_REPETITION: usize = 20_000;

/// Calls waiting in the queue of a target.
const WAITING_COUNTS: [usize; 4] = [10, 100, 1_000, 12_000];

/// Number of callers of the waiting calls.
const CALLER_COUNT: usize = 16;

pub(crate) fn measure(report: &mut CapacityReport) {
    measure_placement(report);
    measure_reports(report);
    measure_queue(report);
}

fn planner(engines: usize) -> (PlacementPlanner, Vec<TargetKey>) {
    let mut planner = PlacementPlanner::open(PlacementOptions::default(), EngineSpeed::default(), 0.5);
    let mut keys = Vec::with_capacity(engines);
    for number in 0..engines {
        let target = NewTarget {
            name: TargetName::parse(&format!("engine-{number}")).expect("the name is visible"),
            domain: DomainName::parse(&format!("domain-{}", number % DOMAIN_COUNT))
                .expect("the name is visible"),
            slots: 24,
            pools: vec![model()],
        };
        keys.push(planner.add_target(target).expect("there is room"));
    }
    (planner, keys)
}

fn model() -> PoolName {
    PoolName::Model(ModelName::parse("kalo-7b").expect("the name is visible"))
}

fn measure_placement(report: &mut CapacityReport) {
    let points = ENGINE_COUNTS.map(|size| {
        let (mut planner, _) = planner(size);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let cache = CacheModel::open(CacheOptions::default());
        let pool = planner.table_mut().pool(&model()).expect("there is room");
        let domain = DomainName::parse("domain-0").expect("the name is visible");
        let domain = planner.table_mut().domain(&domain).expect("there is room");
        repeat_measurement(size, || {
            let time = cpu_micros(|| {
                let mut last_target = None;
                for number in 0..CALLS_PER_REPETITION {
                    let request = PlacementRequest {
                        pool,
                        domain,
                        program: program_id(number),
                        prompt_tokens: 2_000,
                        output_tokens: None,
                        last_target,
                        retained: None,
                        avoid: &[],
                    };
                    let now = ClockTime::from_millis(number as u64);
                    let choice = planner.place(&request, &cache, &mut rng);
                    let target = choice.expect("an engine serves").target;
                    planner.record_dispatch(target, CallWork::default(), now);
                    planner.record_end(target, now);
                    last_target = Some(target);
                }
            });
            time / CALLS_PER_REPETITION as f64
        })
    });
    report.add("policy: placing one call", ("engine", "µs"), points.to_vec());
}

fn measure_reports(report: &mut CapacityReport) {
    let points = ENGINE_COUNTS.map(|size| {
        let (mut planner, keys) = planner(size);
        let load = load_report();
        repeat_measurement(size, || {
            cpu_micros(|| {
                for key in &keys {
                    planner.apply_report(*key, &load, ClockTime::from_millis(1));
                }
            })
        })
    });
    report.add(
        "policy: one load report of each engine",
        ("engine", "µs"),
        points.to_vec(),
    );
}

/// Returns a report of a busy engine.
pub(crate) fn load_report() -> LoadReport {
    LoadReport {
        target: TargetName::parse("kalo-engine-00001").expect("the name is visible"),
        running: 24,
        queued: 12,
        pending_tokens: 48_000,
        kv_bytes_held: 60_000_000_000,
        kv_bytes_total: 80_000_000_000,
    }
}

fn queued_call(number: usize) -> QueuedCall {
    let mut bytes = [0; 16];
    bytes[8..].copy_from_slice(&(number as u64).to_be_bytes());
    QueuedCall {
        call: CallId::from_bytes(bytes),
        program: program_id(number),
        caller: CallerName::parse(&format!("caller-{}", number % CALLER_COUNT)).expect("the name is visible"),
        rank: QueueRank {
            attained_tokens: (number * 7_919 % 540_000) as u64,
            ..QueueRank::default()
        },
        cost_tokens: 1_000,
        deadline: ClockTime::from_millis(600_000_000 + number as u64),
    }
}

fn measure_queue(report: &mut CapacityReport) {
    let points = WAITING_COUNTS.map(|size| {
        let options = QueueOptions {
            capacity: size + 1,
            ..QueueOptions::default()
        };
        let mut queue = CallQueue::open(options);
        let now = ClockTime::from_millis(0);
        // The queue limits each caller to its share, so that some calls are refused.
        for number in 0..size {
            let _ = queue.push(queued_call(number), now);
        }
        let calls: Vec<_> = (0..CALLS_PER_REPETITION)
            .map(|number| queued_call(size + number))
            .collect();
        repeat_measurement(size, || {
            let calls = calls.clone();
            let time = cpu_micros(|| {
                for call in calls {
                    drop(queue.pop(now));
                    let _ = queue.push(call, now);
                }
            });
            time / CALLS_PER_REPETITION as f64
        })
    });
    report.add(
        "policy: one pop and push of a queue",
        ("waiting call", "µs"),
        points.to_vec(),
    );
}
