//! Guards against panics on extreme numbers, which malformed messages or faulty clocks may contain.

use std::time::Duration;

use ebony_policy::prelude::*;
use ebony_testkit::check_seeds;
use ebony_types::{CallId, CallerName, ClockTime, DomainName, ModelName, ProgramId, ShardKey, TargetName};
use ebony_wire::{LoadReport, QueueRank};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Returns small, large and extreme numbers with equal probability.
fn number(input: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<u64> {
    match input.int_in_range(0..=2)? {
        0 => input.int_in_range(0..=3),
        1 => input.int_in_range(0..=1_000_000),
        _ => Ok(u64::MAX - input.int_in_range(0..=3_u64)?),
    }
}

#[test]
fn side_process_modules_accept_extreme_numbers() {
    check_seeds(48, 8_192, |input| {
        let mut queue = CallQueue::open(QueueOptions {
            capacity: 40,
            bypass_calls: usize::MAX,
            ..QueueOptions::default()
        });
        let mut held = HeldTable::open(RetentionOptions::default());
        for step in 0..150 {
            let now = ClockTime::from_micros(number(input)?);
            let program = ProgramId::from_parts(ShardKey(0), [input.int_in_range(0..=3)?; 14]);
            let caller = CallerName::parse(if input.arbitrary()? { "a" } else { "b" }).unwrap();
            queue.set_weight(&caller, input.arbitrary()?);
            let call = QueuedCall {
                call: CallId::from_bytes([step; 16]),
                program,
                caller: caller.clone(),
                rank: QueueRank {
                    attained_tokens: number(input)?,
                    blocks_parent: input.arbitrary()?,
                    program_age_ms: number(input)?,
                },
                cost_tokens: number(input)?,
                deadline: ClockTime::from_micros(number(input)?),
            };
            let _ = queue.push(call, now);
            if input.arbitrary()? {
                queue.pop(now);
            }
            queue.settle(&caller, number(input)?, number(input)?);
            queue.take_expired(now);
            held.start_call(program, now);
            held.end_call(program, number(input)?, now);
            held.retain(program, Duration::MAX, Duration::MAX, now);
            held.reconcile(
                &[ListedProgram {
                    program,
                    tokens: number(input)?,
                }],
                now,
            );
            held.make_room(program, number(input)?, Duration::MAX, now);
            held.poll(now);
        }
        Ok(())
    });
}

#[test]
fn entry_modules_accept_extreme_numbers() {
    check_seeds(48, 8_192, |input| {
        let model = PoolName::Model(ModelName::parse("kalo").unwrap());
        let domain = DomainName::parse("a").unwrap();
        let name = TargetName::parse("engine").unwrap();
        let options = PlacementOptions::default();
        let mut planner = PlacementPlanner::open(options, EngineSpeed::default(), 0.5);
        let target = NewTarget {
            name: name.clone(),
            domain: domain.clone(),
            slots: input.arbitrary()?,
            pools: vec![model.clone()],
        };
        let target = planner.add_target(target).unwrap();
        let (pool, domain) = (
            planner.table_mut().pool(&model).unwrap(),
            planner.table_mut().domain(&domain).unwrap(),
        );
        let mut cache = CacheModel::open(CacheOptions::default());
        let mut controller = AdmissionController::open(AdmissionOptions::default(), 0.5);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for step in 0..100 {
            let now = ClockTime::from_micros(number(input)?);
            let program = ProgramId::from_parts(ShardKey(0), [step; 14]);
            let report = LoadReport {
                target: name.clone(),
                running: input.arbitrary()?,
                queued: input.arbitrary()?,
                pending_tokens: number(input)?,
                kv_bytes_held: number(input)?,
                kv_bytes_total: number(input)?,
            };
            planner.apply_report(target, &report, now);
            cache.record_call(target, program, number(input)?, now);
            cache.apply_event(target, program, number(input)?, number(input)?, now);
            cache.set_capacity(target, number(input)?);
            let request = PlacementRequest {
                pool,
                domain,
                program,
                prompt_tokens: number(input)?,
                output_tokens: Some(number(input)?),
                last_target: Some(target),
                retained: None,
                avoid: &[],
            };
            assert!(planner.place(&request, &cache, &mut rng).is_ok());
            let work = CallWork {
                uncached_tokens: number(input)?,
                new_kv_tokens: number(input)?,
            };
            planner.record_dispatch(target, work, now);
            planner.observe_call(target, Duration::MAX, Duration::MAX, number(input)?);
            controller.set_capacity(number(input)?, input.arbitrary()?);
            let arrival = ProgramArrival {
                program,
                caller: CallerName::parse("shop").unwrap(),
                deadline: ClockTime::from_micros(number(input)?),
                prompt_tokens: number(input)?,
                is_admitted: input.arbitrary()?,
            };
            controller.arrive(&arrival, now);
            controller.record_history(program, number(input)?);
            controller.poll(now);
            if input.arbitrary()? {
                controller.finish(program, now);
            }
        }
        Ok(())
    });
}
