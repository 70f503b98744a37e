//! Measures a placement decision by the number of engines, and queue operations by the length of the queue.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ebony_policy::prelude::*;
use ebony_types::{CallId, CallerName, ClockTime, DomainName, ModelName, ProgramId, ShardKey, TargetName};
use ebony_wire::QueueRank;
use rand::RngCore;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Numbers of engines, up to the number in docs/design.md, section 1.3.
const ENGINES: [usize; 4] = [10, 100, 1_000, 12_000];

/// Numbers of waiting calls.
const CALLS: [u64; 3] = [10, 100, 1_000];

/// Programs in the cache model for each engine.
const PROGRAMS_PER_ENGINE: usize = 27;

/// Number of failure domains (docs/design.md, section 1.3).
const DOMAINS: usize = 7;

fn program(number: u64) -> ProgramId {
    let mut bytes = [0; 14];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    ProgramId::from_parts(ShardKey(0), bytes)
}

fn domain(number: usize) -> DomainName {
    DomainName::parse(&format!("domain-{number}")).expect("a valid name")
}

fn planner_of(engines: usize) -> (PlacementPlanner, Vec<TargetKey>) {
    let model = PoolName::Model(ModelName::parse("kalo").expect("a valid name"));
    let options = PlacementOptions::default();
    let mut planner = PlacementPlanner::open(options, EngineSpeed::default(), 0.5);
    let keys = (0..engines).map(|number| {
        let target = NewTarget {
            name: TargetName::parse(&format!("engine-{number}")).expect("a valid name"),
            domain: domain(number % DOMAINS),
            slots: 32,
            pools: vec![model.clone()],
        };
        planner.add_target(target).expect("room")
    });
    let keys = keys.collect();
    (planner, keys)
}

/// Measures the choice, dispatch and end of one call.
fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for engines in ENGINES {
        let (mut planner, keys) = planner_of(engines);
        let mut cache = CacheModel::open(CacheOptions::default());
        let now = ClockTime::from_millis(1_000);
        let programs = engines * PROGRAMS_PER_ENGINE;
        for number in 0..programs {
            cache.record_call(keys[number % engines], program(number as u64), 20_000, now);
        }
        let pool = PoolName::Model(ModelName::parse("kalo").expect("a valid name"));
        let pool = planner.table_mut().pool(&pool).expect("room");
        let own_domain = planner.table_mut().domain(&domain(0)).expect("room");
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                let number = rng.next_u64() % programs as u64;
                let home = keys[number as usize % engines];
                let request = PlacementRequest {
                    pool,
                    domain: own_domain,
                    program: program(number),
                    prompt_tokens: 21_000,
                    output_tokens: None,
                    last_target: Some(home),
                    retained: Some(home),
                    avoid: &[],
                };
                let choice = planner.place(&request, &cache, &mut rng).expect("targets serve");
                planner.record_dispatch(choice.target, CallWork::default(), now);
                planner.record_end(choice.target, now);
                black_box(choice)
            });
        });
    }
    group.finish();
}

/// Measures one push and one pop.
fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    for calls in CALLS {
        let mut queue = CallQueue::open(QueueOptions {
            capacity: 4_096,
            ..QueueOptions::default()
        });
        let callers: Vec<CallerName> = (0..64)
            .map(|number| CallerName::parse(&format!("caller-{number}")).expect("a valid name"))
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut now = 0;
        let mut next_call = || {
            let number = rng.next_u64();
            QueuedCall {
                call: CallId::random(&mut rng),
                program: program(number % 10_000),
                caller: callers[(number % 64) as usize].clone(),
                rank: QueueRank {
                    attained_tokens: number % 300_000,
                    ..QueueRank::default()
                },
                cost_tokens: 3_000,
                deadline: ClockTime::from_millis(u64::MAX / 2_000),
            }
        };
        for _ in 0..calls {
            queue
                .push(next_call(), ClockTime::from_millis(now))
                .expect("room");
        }
        group.bench_function(BenchmarkId::from_parameter(calls), |bencher| {
            bencher.iter(|| {
                now += 1;
                let time = ClockTime::from_millis(now);
                queue.push(next_call(), time).expect("room");
                black_box(queue.pop(time))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, placement, queue);
criterion_main!(benches);
