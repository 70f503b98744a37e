//! Tests that merging snapshots does not depend on the order, and that the decoder rejects invalid input.

use std::time::Duration;

use arbitrary::Unstructured;
use ebony_burn::snapshot::MAX_SNAPSHOT_GROUPS;
use ebony_burn::{
    BrokenPromise, BurnEvent, BurnLedger, BurnReport, BurnSnapshot, CallEnd, LabelName, SloCatalog,
};
use ebony_testkit::{Result, check_seeds};
use ebony_types::ClockTime;

fn label(text: &str) -> LabelName {
    LabelName::parse(text).expect("a valid name")
}

fn arbitrary_event(input: &mut Unstructured<'_>) -> Result<BurnEvent> {
    let millis = u64::from(input.arbitrary::<u16>()?);
    Ok(match input.arbitrary::<u8>()? % 6 {
        0 => BurnEvent::ProgramEnded {
            latency: Duration::from_millis(millis * 4),
        },
        1 => BurnEvent::FirstToken {
            wait: Duration::from_millis(millis % 2_000),
        },
        2 => BurnEvent::TokensArrived {
            interval: Duration::from_millis(millis % 80),
            tokens: 40,
        },
        3 => BurnEvent::CallEnded(CallEnd::Answered),
        4 => BurnEvent::CallEnded(CallEnd::Refused),
        _ => BurnEvent::CallEnded(CallEnd::Broken(BrokenPromise::IncompleteAnswer)),
    })
}

/// Returns the snapshot of one process with up to 70 events of arbitrary groups.
fn arbitrary_snapshot(input: &mut Unstructured<'_>) -> Result<BurnSnapshot> {
    let deployment = *input.choose(&["calabash", "fanghi", "other"])?;
    let mut ledger = BurnLedger::open(label(deployment), SloCatalog::default()).expect("a valid catalog");
    let mut millis = u64::from(input.arbitrary::<u32>()?);
    for _ in 0..input.int_in_range(0..=70)? {
        let group = label(&format!("g{}", input.arbitrary::<u8>()?));
        millis += u64::from(input.arbitrary::<u16>()?) * 60;
        ledger.record(&group, arbitrary_event(input)?, ClockTime::from_millis(millis));
    }
    Ok(ledger.snapshot(ClockTime::from_millis(millis)))
}

fn merged(left: &BurnSnapshot, right: &BurnSnapshot) -> BurnSnapshot {
    let mut sum = left.clone();
    sum.merge(right);
    sum
}

/// Entries answer in any order, so a report must not depend on the order in which snapshots arrive.
#[test]
fn merge_is_commutative_and_associative() {
    let mut full_count = 0;
    check_seeds(60, 16_384, |input| {
        let mut parts = Vec::new();
        for _ in 0..3 {
            let mut part = BurnSnapshot::default();
            for _ in 0..4 {
                part.merge(&arbitrary_snapshot(input)?);
            }
            parts.push(part);
        }
        let [a, b, c] = &parts[..] else { unreachable!() };
        assert_eq!(merged(a, b), merged(b, a));
        let sum = merged(&merged(a, b), c);
        assert_eq!(sum, merged(a, &merged(b, c)));
        let groups = sum.groups().count();
        assert!(groups <= MAX_SNAPSHOT_GROUPS + 1);
        full_count += usize::from(groups == MAX_SNAPSHOT_GROUPS + 1);
        Ok(())
    });
    assert!(
        full_count >= 10,
        "only {full_count} cases reached the maximum number of groups"
    );
}

/// A JSON encoding that loses counts would lower the reported burn rates.
#[test]
fn snapshots_survive_json() {
    check_seeds(100, 1_024, |input| {
        let snapshot = arbitrary_snapshot(input)?;
        let text = serde_json::to_string(&snapshot).unwrap();
        assert_eq!(serde_json::from_str::<BurnSnapshot>(&text).unwrap(), snapshot);
        Ok(())
    });
}

/// A snapshot from a faulty peer must not make the receiver panic or hold more than the maximum number of groups.
#[test]
fn faulty_snapshots_are_refused() {
    let mut ledger = BurnLedger::open(label("calabash"), SloCatalog::default()).unwrap();
    let event = BurnEvent::CallEnded(CallEnd::Answered);
    ledger.record(&label("one"), event, ClockTime::from_millis(5));
    let snapshot = ledger.snapshot(ClockTime::from_millis(5));
    let text = serde_json::to_string(&snapshot).unwrap();
    check_seeds(10_000, 64, |input| {
        let mut bytes = text.clone().into_bytes();
        for _ in 0..input.int_in_range(1..=6)? {
            let position = input.choose_index(bytes.len())?;
            bytes[position] = input.arbitrary()?;
        }
        if let Ok(snapshot) = serde_json::from_slice::<BurnSnapshot>(&bytes) {
            let report = BurnReport::of(&merged(&snapshot, &snapshot), &SloCatalog::default());
            assert!(report.groups.len() <= 1);
        }
        Ok(())
    });

    let row = text.trim_matches(['[', ']']);
    let twice = format!("[{row},{row}]");
    let too_old = text.replace("\"0\":", "\"72\":");
    let renamed = |number| row.replace("\"one\"", &format!("\"g{number}\""));
    let rows: Vec<String> = (0..=MAX_SNAPSHOT_GROUPS).map(renamed).collect();
    let too_many = format!("[{}]", rows.join(","));
    for faulty in [twice, too_old, too_many] {
        assert!(serde_json::from_str::<BurnSnapshot>(&faulty).is_err());
    }
}
