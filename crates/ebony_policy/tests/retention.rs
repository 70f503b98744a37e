//! Guards against KV cache that stays held for programs that no longer exist.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_policy::retention::{
    HeldOrder, HeldTable, HoldDecision, HoldPlan, ListedProgram, MemoryPressure, PauseKind, PauseModel,
    RetentionOptions,
};
use ebony_policy::speed::EngineSpeed;
use ebony_testkit::check_seeds;
use ebony_types::{CallerName, ClockTime, ProgramId, ShardKey};

fn program(number: u8) -> ProgramId {
    ProgramId::from_parts(ShardKey(0), [number; 14])
}

fn kind(caller: &str) -> PauseKind {
    PauseKind {
        caller: CallerName::parse(caller).expect("a name"),
        kind: 0,
    }
}

/// An engine that loses orders and answers.
#[derive(Default)]
struct LossyEngine {
    held: BTreeMap<ProgramId, u64>,
    exported: BTreeMap<ProgramId, u64>,
}

impl LossyEngine {
    /// Carries out orders, some of which are lost, or their confirmation is.
    fn carry_out(
        &mut self,
        table: &mut HeldTable,
        orders: Vec<HeldOrder>,
        now: ClockTime,
        mut is_lost: impl FnMut() -> bool,
    ) {
        let mut queue = std::collections::VecDeque::from(orders);
        while let Some(order) = queue.pop_front() {
            if let HeldOrder::DropExport(program) | HeldOrder::Import(program) = order {
                // The side process owns the exported copy: both orders consume it, whatever the engine does.
                self.exported.remove(&program);
                continue;
            }
            if is_lost() {
                continue;
            }
            match order {
                HeldOrder::Release(program) => {
                    self.held.remove(&program);
                    if !is_lost() {
                        table.confirm_release(program);
                    }
                }
                HeldOrder::Export(program) => {
                    let tokens = self.held.get(&program).copied();
                    if let Some(tokens) = tokens {
                        self.exported.insert(program, tokens);
                    }
                    queue.extend(table.finish_export(program, tokens.is_some(), now));
                }
                _ => {}
            }
        }
    }
}

/// Once all programs have ended and no more messages are lost, the engine, the export store and the table are empty.
/// Programs whose end is not reported are released when their lease expires.
#[test]
fn no_cache_stays_held_after_programs_end() {
    check_seeds(64, 8_192, |input| {
        let mut table = HeldTable::open(RetentionOptions {
            held_programs: 12,
            export_tokens: 30_000,
            ..RetentionOptions::default()
        });
        let mut engine = LossyEngine::default();
        let mut running: BTreeMap<ProgramId, u32> = BTreeMap::new();
        let mut time = 0;
        for _ in 0..250 {
            time += input.int_in_range(0..=3_000_u64)?;
            let now = ClockTime::from_millis(time);
            let program = program(input.int_in_range(0..=20)?);
            let action = input.int_in_range(0..=8)?;
            let orders = match action {
                0..=2 => {
                    *running.entry(program).or_default() += 1;
                    table.start_call(program, now)
                }
                3 | 4 => match running.pop_first() {
                    Some((program, calls)) => {
                        if calls > 1 {
                            running.insert(program, calls - 1);
                        }
                        let tokens = input.int_in_range(1..=20_000)?;
                        engine.held.insert(program, tokens);
                        let mut orders = table.end_call(program, tokens, now);
                        let expires = Duration::from_secs(input.int_in_range(1..=100)?);
                        orders.extend(table.retain(program, expires / 2, expires, now));
                        orders
                    }
                    None => Vec::new(),
                },
                5 => table.release(program, now),
                6 => table.make_room(
                    program,
                    input.int_in_range(0..=30_000)?,
                    Duration::from_secs(60),
                    now,
                ),
                7 => {
                    table.renew_leases(&[program], now);
                    table.poll(now)
                }
                _ => {
                    let held = engine.held.iter();
                    let listed = held.map(|(program, tokens)| ListedProgram {
                        program: *program,
                        tokens: *tokens,
                    });
                    let listed: Vec<ListedProgram> = listed.collect();
                    table.reconcile(&listed, now);
                    Vec::new()
                }
            };
            let mut losses = Vec::new();
            for _ in 0..8 {
                losses.push(input.ratio(1, 3)?);
            }
            engine.carry_out(&mut table, orders, now, || losses.pop().unwrap_or(false));
        }
        // All calls end, no program is vouched for, and the engine's list is fetched periodically.
        for (program, calls) in running {
            for _ in 0..calls {
                engine.held.insert(program, 1_000);
                let orders = table.end_call(program, 1_000, ClockTime::from_millis(time));
                engine.carry_out(&mut table, orders, ClockTime::from_millis(time), || false);
            }
        }
        for _ in 0..40 {
            time += 10_000;
            let now = ClockTime::from_millis(time);
            let held = engine.held.iter();
            let listed = held.map(|(program, tokens)| ListedProgram {
                program: *program,
                tokens: *tokens,
            });
            let listed: Vec<ListedProgram> = listed.collect();
            table.reconcile(&listed, now);
            let orders = table.poll(now);
            engine.carry_out(&mut table, orders, now, || false);
        }
        assert_eq!(table.held_programs(), 0);
        assert_eq!(table.exported_tokens(), 0);
        assert!(engine.held.is_empty(), "{:?}", engine.held);
        assert!(engine.exported.is_empty(), "{:?}", engine.exported);
        assert_eq!(table.next_poll(), None);
        Ok(())
    });
}

/// After a restart of the side process, held programs get one lease, and only those that are vouched for stay.
#[test]
fn restart_keeps_programs_that_are_vouched_for() {
    let mut table = HeldTable::open(RetentionOptions::default());
    let now = ClockTime::from_millis(0);
    let listed = [1, 2].map(|number| ListedProgram {
        program: program(number),
        tokens: 1_000,
    });
    table.reconcile(&listed, now);
    assert_eq!(table.held_programs(), 2);
    table.renew_leases(&[program(1)], now + Duration::from_secs(20));
    let orders = table.poll(now + Duration::from_secs(31));
    assert_eq!(orders, vec![HeldOrder::Release(program(2))]);
}

/// An expired pin only allows the engine to evict the KV cache; it is released when the lease expires.
#[test]
fn an_expired_pin_does_not_release_the_cache() {
    let mut table = HeldTable::open(RetentionOptions::default());
    let now = ClockTime::from_millis(0);
    table.start_call(program(1), now);
    table.end_call(program(1), 1_000, now);
    let seconds = Duration::from_secs;
    assert_eq!(
        table.retain(program(1), seconds(2), seconds(5), now),
        [HeldOrder::Pin(program(1))]
    );
    assert_eq!(table.poll(now + seconds(6)), [HeldOrder::Unpin(program(1))]);
    table.renew_leases(&[program(1)], now + seconds(20));
    assert_eq!(table.poll(now + seconds(31)), []);
    assert_eq!(table.poll(now + seconds(51)), [HeldOrder::Release(program(1))]);
}

/// Programs with the latest expected return are evicted first; the program that needs the memory keeps its own.
#[test]
fn programs_with_the_latest_return_are_evicted_first() {
    let mut table = HeldTable::open(RetentionOptions::default());
    let now = ClockTime::from_millis(0);
    for (number, seconds) in [(1, 20), (2, 5), (3, 10), (4, 25)] {
        table.start_call(program(number), now);
        table.end_call(program(number), 10_000, now);
        let expected = Duration::from_secs(seconds);
        table.retain(program(number), expected, Duration::from_secs(100), now);
    }
    let orders = table.make_room(program(4), 15_000, Duration::from_secs(60), now);
    assert_eq!(
        orders,
        vec![HeldOrder::Export(program(1)), HeldOrder::Export(program(3))]
    );
    assert_eq!(
        table.make_room(program(4), 15_000, Duration::from_secs(60), now),
        Vec::new(),
        "the remaining paused program does not free enough memory"
    );
}

/// The decisions of the plan by pause, memory pressure and latency weight.
#[test]
fn plan_by_pause_pressure_and_weight() {
    let options = RetentionOptions::default();
    let mut pauses = PauseModel::open(&options);
    for _ in 0..60 {
        pauses.observe(&kind("fast"), Duration::from_millis(1_500));
        pauses.observe(&kind("human"), Duration::from_secs(100));
        pauses.observe(&kind("mixed"), Duration::from_secs(1));
        pauses.observe(&kind("mixed"), Duration::from_secs(300));
    }
    let mut lines = Vec::new();
    for caller in ["fast", "human", "mixed", "unknown"] {
        for used_share in [0.5, 0.9, 1.0] {
            for weight in [0.0, 0.5, 1.0] {
                let plan = HoldPlan::open(options.clone(), EngineSpeed::default(), weight);
                let pressure = MemoryPressure { used_share };
                let decision = plan.decide(20_000, &pauses.histogram(&kind(caller)), pressure);
                let text = match decision {
                    HoldDecision::Keep(time) => format!("keep {} s", time.as_secs()),
                    other => format!("{other:?}").to_lowercase(),
                };
                lines.push(format!("{caller}, {used_share} used, weight {weight}: {text}"));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// The table of pauses is bounded and removes the least recently observed kind.
#[test]
fn learned_pauses_are_bounded() {
    let options = RetentionOptions {
        pause_kinds: 8,
        ..RetentionOptions::default()
    };
    let mut pauses = PauseModel::open(&options);
    for number in 0..100 {
        pauses.observe(&kind("kept"), Duration::from_secs(200));
        pauses.observe(&kind(&format!("other-{number}")), Duration::from_secs(1));
        assert!(pauses.len() <= 8);
    }
    assert!(pauses.histogram(&kind("kept")).expected() > Duration::from_secs(100));
    assert!(pauses.histogram(&kind("other-0")).expected() < Duration::from_secs(150));
}
