//! Guards against calls placed on targets that must not run them, and against usable targets missing from the index.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_policy::cache_model::{CacheModel, CacheOptions};
use ebony_policy::placement::{
    CallWork, NewTarget, PlacementOptions, PlacementPlanner, PlacementRequest, PlacementRule, PoolName,
    TargetKey, TargetState,
};
use ebony_policy::speed::EngineSpeed;
use ebony_testkit::check_seeds;
use ebony_types::{ClockTime, DomainName, ModelName, ProgramId, ShardKey, TargetName};
use ebony_wire::LoadReport;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const RULES: [PlacementRule; 4] = [
    PlacementRule::FinishTime,
    PlacementRule::RoundRobin,
    PlacementRule::LeastOutstanding,
    PlacementRule::LastTarget,
];

fn model(name: &str) -> PoolName {
    PoolName::Model(ModelName::parse(name).expect("a valid name"))
}

fn program(number: u8) -> ProgramId {
    ProgramId::from_parts(ShardKey(0), [number; 14])
}

fn open(rule: PlacementRule) -> PlacementPlanner {
    let options = PlacementOptions {
        rule,
        ..PlacementOptions::default()
    };
    PlacementPlanner::open(options, EngineSpeed::default(), 0.5)
}

fn add(planner: &mut PlacementPlanner, number: u64, domain: u64, pools: Vec<PoolName>) -> TargetKey {
    let target = NewTarget {
        name: TargetName::parse(&format!("engine-{number}")).expect("a valid name"),
        domain: DomainName::parse(&format!("domain-{domain}")).expect("a valid name"),
        slots: 24,
        pools,
    };
    planner.add_target(target).expect("room in the table")
}

fn request<'a>(planner: &mut PlacementPlanner, pool: &str, avoid: &'a [TargetKey]) -> PlacementRequest<'a> {
    PlacementRequest {
        pool: planner.table_mut().pool(&model(pool)).expect("room in the table"),
        domain: planner
            .table_mut()
            .domain(&DomainName::parse("domain-0").expect("a valid name"))
            .expect("room in the table"),
        program: program(1),
        prompt_tokens: 4_000,
        output_tokens: None,
        last_target: None,
        retained: None,
        avoid,
    }
}

/// With targets that are added, removed, drained and given other models in any order, a call is placed only on a
/// serving target of its pool that it need not avoid, and is refused only if there is none.
#[test]
fn only_usable_targets_are_chosen() {
    check_seeds(48, 4_096, |input| {
        let rule = *input.choose(&RULES)?;
        let mut planner = open(rule);
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let cache = CacheModel::open(CacheOptions::default());
        let mut expected: BTreeMap<TargetKey, (TargetState, Vec<&str>)> = BTreeMap::new();
        for number in 0..120 {
            let keys: Vec<TargetKey> = expected.keys().copied().collect();
            let pools = input
                .choose(&[vec!["kalo"], vec!["modelli"], vec!["kalo", "modelli"]])?
                .clone();
            let names = || pools.iter().map(|name| model(name)).collect::<Vec<_>>();
            match input.int_in_range(0..=5)? {
                0 | 1 => {
                    let key = add(&mut planner, number, input.int_in_range(0..=3)?, names());
                    expected.insert(key, (TargetState::Serving, pools));
                }
                2 | 3 if !keys.is_empty() => {
                    let key = *input.choose(&keys)?;
                    let states = [
                        TargetState::Serving,
                        TargetState::Draining,
                        TargetState::Fenced,
                        TargetState::Failed,
                    ];
                    let state = *input.choose(&states)?;
                    assert!(planner.set_state(key, state));
                    expected.get_mut(&key).unwrap().0 = state;
                }
                4 if !keys.is_empty() => {
                    let key = *input.choose(&keys)?;
                    planner.set_pools(key, &names()).unwrap();
                    expected.get_mut(&key).unwrap().1 = pools;
                }
                5 if !keys.is_empty() => {
                    let key = *input.choose(&keys)?;
                    assert!(planner.remove_target(key));
                    expected.remove(&key);
                }
                _ => {}
            }
            let avoid: Vec<TargetKey> = keys.iter().copied().filter(|_| number % 7 == 0).take(2).collect();
            let mut request = request(&mut planner, "kalo", &avoid);
            request.last_target = keys.first().copied();
            request.retained = keys.last().copied();
            let usable = |key: &TargetKey| {
                let found = expected.get(key);
                let serves = found
                    .is_some_and(|(state, pools)| *state == TargetState::Serving && pools.contains(&"kalo"));
                serves && !avoid.contains(key)
            };
            match planner.place(&request, &cache, &mut rng) {
                Ok(choice) => assert!(usable(&choice.target)),
                Err(_) => assert!(!expected.keys().any(usable), "a usable target was missed"),
            }
        }
        Ok(())
    });
}

/// The planner must count its own dispatches between load reports. Otherwise it sends all calls of an interval to the
/// target with the lowest reported load.
#[test]
fn own_dispatches_count_between_reports() {
    let mut planner = open(PlacementRule::FinishTime);
    let keys: Vec<TargetKey> = (0..4)
        .map(|number| add(&mut planner, number, 0, vec![model("kalo")]))
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let cache = CacheModel::open(CacheOptions::default());
    let now = ClockTime::from_millis(10_000);
    let mut counts = BTreeMap::new();
    for _ in 0..80 {
        let request = request(&mut planner, "kalo", &[]);
        let choice = planner.place(&request, &cache, &mut rng).unwrap();
        let work = CallWork {
            uncached_tokens: choice.estimate.uncached_tokens,
            new_kv_tokens: 4_000,
        };
        planner.record_dispatch(choice.target, work, now);
        *counts.entry(choice.target).or_insert(0) += 1;
        for key in &keys {
            let report = LoadReport {
                target: planner.table().name(*key).unwrap().clone(),
                running: 0,
                queued: 0,
                pending_tokens: 0,
                kv_bytes_held: 0,
                kv_bytes_total: 100_000_000_000,
            };
            planner.apply_report(*key, &report, now);
        }
    }
    assert!(
        counts.values().all(|count| (15..=25).contains(count)),
        "{counts:?}"
    );
}

/// A call goes to the target that has its prefix cached until waiting there costs more than the refill. The refill
/// counts several times, because it also delays other calls.
#[test]
fn a_cached_prefix_is_weighed_against_the_queue() {
    let mut planner = open(PlacementRule::FinishTime);
    let home = add(&mut planner, 0, 0, vec![model("kalo")]);
    let other = add(&mut planner, 1, 0, vec![model("kalo")]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut cache = CacheModel::open(CacheOptions::default());
    let now = ClockTime::from_millis(0);
    cache.record_call(home, program(1), 40_000, now);
    let mut request = request(&mut planner, "kalo", &[]);
    request.prompt_tokens = 41_000;
    request.last_target = Some(home);
    let mut choices = Vec::new();
    for _ in 0..120 {
        let choice = planner.place(&request, &cache, &mut rng).unwrap();
        choices.push(choice.target);
        planner.record_dispatch(
            home,
            CallWork {
                uncached_tokens: 4_000,
                new_kv_tokens: 0,
            },
            now,
        );
    }
    assert_eq!(choices[0], home);
    assert_eq!(choices.last(), Some(&other));
}

/// A target that decodes slower than expected gets fewer calls.
#[test]
fn a_slow_target_is_avoided() {
    let mut planner = open(PlacementRule::FinishTime);
    let slow = add(&mut planner, 0, 0, vec![model("kalo")]);
    add(&mut planner, 1, 0, vec![model("kalo")]);
    for _ in 0..40 {
        planner.observe_call(slow, Duration::from_secs(40), Duration::from_secs(40), 294);
    }
    let cache = CacheModel::open(CacheOptions::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20 {
        let request = request(&mut planner, "kalo", &[]);
        assert_ne!(planner.place(&request, &cache, &mut rng).unwrap().target, slow);
    }
}
