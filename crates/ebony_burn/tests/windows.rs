//! Tests that windows neither keep stale buckets nor lose current ones, and that their memory is bounded.

use std::time::Duration;

use ebony_burn::{
    BurnEvent, BurnLedger, BurnWindow, CounterKind, GroupKey, LabelName, MAX_GROUPS, SloCatalog, WindowSpan,
};
use ebony_testkit::check_seeds;
use ebony_types::ClockTime;

const FIRST_TOKEN: BurnEvent = BurnEvent::FirstToken {
    wait: Duration::from_millis(1),
};

fn label(text: &str) -> LabelName {
    LabelName::parse(text).expect("a valid name")
}

fn open_ledger() -> BurnLedger {
    BurnLedger::open(label("calabash"), SloCatalog::default()).expect("a valid catalog")
}

fn counted(ledger: &BurnLedger, group: &str, span: WindowSpan, now: ClockTime) -> u64 {
    let key = GroupKey {
        deployment: label("calabash"),
        group: label(group),
    };
    let snapshot = ledger.snapshot(now);
    let counts = snapshot.counts(&key).map(|counts| counts.span(span));
    counts.map_or(0, |counts| counts.get(CounterKind::FirstTokenGood))
}

/// Bucket lengths as documented on [`WindowSpan`].
fn bucket_seconds(span: WindowSpan) -> u64 {
    match span {
        WindowSpan::Minutes5 | WindowSpan::Minutes30 | WindowSpan::Hour1 => 30,
        WindowSpan::Hours6 => 600,
        WindowSpan::Days3 => 3_600,
    }
}

/// Compares the windows with a plain list of events: the ring must not keep a bucket for another round or clear one too
/// early.
#[test]
fn windows_agree_with_a_list_of_events() {
    check_seeds(300, 256, |input| {
        let mut ledger = open_ledger();
        let group = label("one");
        let mut seconds = u64::from(input.arbitrary::<u16>()?);
        let mut events = Vec::new();
        while !input.is_empty() {
            let step = match input.arbitrary::<u8>()? % 4 {
                0 => 0,
                1 => u64::from(input.arbitrary::<u8>()?),
                2 => u64::from(input.arbitrary::<u16>()?),
                _ => u64::from(input.arbitrary::<u16>()?) * 9,
            };
            seconds += step;
            events.push(seconds);
            ledger.record(&group, FIRST_TOKEN, ClockTime::from_millis(seconds * 1_000));
        }
        seconds += u64::from(input.arbitrary::<u16>()?);
        let now = ClockTime::from_millis(seconds * 1_000);
        for span in WindowSpan::ALL {
            let width = bucket_seconds(span);
            let first = (seconds / width + 1).saturating_sub(span.seconds() / width);
            let expected = events.iter().filter(|event| **event / width >= first).count();
            assert_eq!(counted(&ledger, "one", span, now), expected as u64, "{span:?}");
        }
        Ok(())
    });
}

/// Callers read the clock before they take the lock, so an event can be older than the newest bucket.
#[test]
fn a_late_event_is_counted() {
    let mut ledger = open_ledger();
    let now = ClockTime::from_millis(7_200_000);
    ledger.record(&label("one"), FIRST_TOKEN, now);
    ledger.record(&label("one"), FIRST_TOKEN, ClockTime::from_millis(3_000));
    assert_eq!(counted(&ledger, "one", WindowSpan::Minutes5, now), 2);
}

/// Memory per group must not depend on traffic, and a full ledger must take only a small part of the 32 MB of a node.
#[test]
fn memory_is_fixed() {
    assert!(
        !std::mem::needs_drop::<BurnWindow>(),
        "the window owns heap memory"
    );
    assert_eq!(size_of::<BurnWindow>(), 228 * 48 + 3 * 8);
    assert!(size_of::<BurnWindow>() * (MAX_GROUPS + 1) < 1_000_000);
}

/// The entry process shares the ledger between threads behind a mutex.
#[test]
fn ledger_can_move_between_threads() {
    fn assert_send<T: Send>(_: &T) {}
    assert_send(&open_ledger());
}

/// Callers must not be able to grow the number of groups without limit, nor to occupy slots forever.
#[test]
fn groups_are_bounded_and_silent_ones_replaced() {
    let mut ledger = open_ledger();
    let start = ClockTime::from_millis(1_000);
    for number in 0..MAX_GROUPS + 6 {
        ledger.record(&label(&format!("group-{number}")), FIRST_TOKEN, start);
    }
    assert_eq!(ledger.groups(), MAX_GROUPS);
    assert_eq!(counted(&ledger, "other", WindowSpan::Hour1, start), 6);
    assert_eq!(counted(&ledger, "group-0", WindowSpan::Hour1, start), 1);

    let later = start + Duration::from_secs(73 * 3_600);
    ledger.record(&label("group-1"), FIRST_TOKEN, later);
    ledger.record(&label("late"), FIRST_TOKEN, later);
    assert_eq!(ledger.groups(), MAX_GROUPS);
    assert_eq!(counted(&ledger, "late", WindowSpan::Days3, later), 1);
    assert_eq!(counted(&ledger, "group-1", WindowSpan::Days3, later), 1);
    assert_eq!(ledger.snapshot(later).groups().count(), 2);

    // Events of a replaced group must not be counted in its former slot, which now belongs to another group.
    for number in 0..MAX_GROUPS {
        ledger.record(&label(&format!("group-{number}")), FIRST_TOKEN, later);
    }
    assert_eq!(ledger.groups(), MAX_GROUPS);
    assert_eq!(counted(&ledger, "late", WindowSpan::Days3, later), 1);
    assert_eq!(counted(&ledger, "group-1", WindowSpan::Days3, later), 2);
    assert_eq!(counted(&ledger, "other", WindowSpan::Days3, later), 1);
}
