//! Guards against a cache model that grows without bound or is too confident in outdated prefixes.

use ebony_policy::cache_model::{CacheModel, CacheOptions};
use ebony_policy::placement::TargetKey;
use ebony_testkit::check_seeds;
use ebony_types::{ClockTime, ProgramId, ShardKey};
use slotmap::SlotMap;

fn program(number: u8) -> ProgramId {
    ProgramId::from_parts(ShardKey(0), [number; 14])
}

fn seconds(number: u64) -> ClockTime {
    ClockTime::from_millis(number * 1_000)
}

/// Calls and events in any order keep both bounds, and the confidence is a probability.
#[test]
fn entries_stay_bounded() {
    check_seeds(32, 4_096, |input| {
        let mut keys: SlotMap<TargetKey, ()> = SlotMap::with_key();
        let target = keys.insert(());
        let mut model = CacheModel::open(CacheOptions {
            programs_per_target: 16,
            ..CacheOptions::default()
        });
        model.set_capacity(target, 100_000);
        for step in 0..300 {
            let program = program(input.int_in_range(0..=40)?);
            let tokens = input.int_in_range(0..=20_000)?;
            match input.int_in_range(0..=3)? {
                0 | 1 => model.record_call(target, program, tokens, seconds(step)),
                2 => model.apply_event(
                    target,
                    program,
                    input.int_in_range(0..=500)?,
                    tokens,
                    seconds(step),
                ),
                _ => model.forget_program(target, program),
            }
            assert!(model.program_count(target) <= 16);
            let held: u64 = (0..=40)
                .map(|number| model.prefix(target, self::program(number)).tokens)
                .sum();
            assert!(held <= 100_000);
            let confidence = model.prefix(target, program).confidence;
            assert!((0.0..=1.0).contains(&confidence));
        }
        Ok(())
    });
}

/// Lost events lower the confidence in prefixes that are not confirmed afterwards; a new call restores it.
#[test]
fn lost_events_lower_the_confidence() {
    let mut keys: SlotMap<TargetKey, ()> = SlotMap::with_key();
    let target = keys.insert(());
    let mut model = CacheModel::open(CacheOptions::default());
    model.record_call(target, program(1), 1_000, seconds(0));
    model.record_call(target, program(2), 1_000, seconds(0));
    model.apply_event(target, program(2), 1, 1_000, seconds(2));
    model.apply_event(target, program(2), 41, 1_000, seconds(3));
    assert!(model.prefix(target, program(1)).confidence < 0.5);
    assert_eq!(model.prefix(target, program(2)).confidence, 1.0);
    model.record_call(target, program(1), 2_000, seconds(4));
    assert_eq!(model.prefix(target, program(1)).confidence, 1.0);
}

/// A late event that describes the state before the last call does not replace the prefix that the call left.
#[test]
fn late_events_do_not_undo_a_call() {
    let mut keys: SlotMap<TargetKey, ()> = SlotMap::with_key();
    let target = keys.insert(());
    let mut model = CacheModel::open(CacheOptions::default());
    model.record_call(target, program(1), 9_000, seconds(10));
    model.apply_event(target, program(1), 5, 4_000, ClockTime::from_millis(10_400));
    assert_eq!(model.prefix(target, program(1)).expected_tokens(9_000), 4_500);
    model.apply_event(target, program(1), 4, 0, seconds(20));
    assert_eq!(model.prefix(target, program(1)).tokens, 9_000);
    model.apply_event(target, program(1), 6, 0, seconds(21));
    assert_eq!(model.prefix(target, program(1)).tokens, 0);
}

/// Events of programs of other entries do not displace the entry's own programs.
#[test]
fn events_of_other_programs_are_ignored() {
    let mut keys: SlotMap<TargetKey, ()> = SlotMap::with_key();
    let target = keys.insert(());
    let mut model = CacheModel::open(CacheOptions::default());
    model.set_capacity(target, 10_000);
    model.record_call(target, program(1), 9_000, seconds(0));
    for number in 2..40 {
        model.apply_event(target, program(number), u64::from(number), 5_000, seconds(10));
    }
    assert_eq!(model.program_count(target), 1);
    assert_eq!(model.prefix(target, program(1)).tokens, 9_000);
}
