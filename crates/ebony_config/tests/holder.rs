//! Guards against decreasing versions, processes that serve too early, and malformed updates.

mod common;

use std::time::Duration;

use common::sample;
use ebony_config::{
    ChangeRecord, ConfigAudience, ConfigDelta, ConfigDocument, ConfigHolder, ConfigPatch, ConfigUpdate,
    OfferOutcome, PROPAGATION_DEADLINE, ServeBlock, VersionSource, rebuild,
};
use ebony_testkit::check_seeds;
use ebony_types::ClockTime;

const START: ClockTime = ClockTime::from_millis(1);

/// The highest version of the generated updates.
const HIGHEST: u64 = 40;

fn version(version: u64) -> ConfigDocument {
    let mut document = sample();
    document.version = version;
    document.defaults.budget.tokens = 1_000 + version;
    document
}

fn full(number: u64) -> ConfigUpdate {
    ConfigUpdate::Full(Box::new(version(number)))
}

fn delta(number: u64) -> ConfigUpdate {
    let patch = ConfigPatch::diff(&version(number - 1), &version(number));
    ConfigUpdate::Delta(Box::new(ConfigDelta {
        version: number,
        patch,
    }))
}

#[test]
fn reordered_duplicated_and_stale_deliveries_never_lower_the_version() {
    let documents: Vec<_> = (0..=HIGHEST).map(version).collect();
    let fulls: Vec<_> = (0..=HIGHEST).map(|number| full(number).encode()).collect();
    let deltas: Vec<_> = (0..=HIGHEST)
        .map(|number| delta(number.max(1)).encode())
        .collect();
    check_seeds(1_000, 64, |input| {
        let mut holder = ConfigHolder::open(ConfigAudience::Entry, START);
        holder.observe_version(1, VersionSource::Table);
        holder.offer(full(1)).unwrap();
        let mut holder = holder.into_serving(START).unwrap();
        let cell = holder.cell();
        let (mut highest_offered, mut last) = (1, 1);
        while !input.is_empty() {
            // Versions near the one in force, so that many changes apply.
            let number = input.int_in_range(1..=last + 3)?.min(HIGHEST);
            let encoded = if input.arbitrary()? { &fulls } else { &deltas };
            let update = ConfigUpdate::decode(&encoded[number as usize]).unwrap();
            let is_applicable =
                number > last && (matches!(update, ConfigUpdate::Full(_)) || number == last + 1);
            let outcome = holder.offer(update, START).unwrap();
            assert_eq!(matches!(outcome, OfferOutcome::Accepted(_)), is_applicable);
            highest_offered = highest_offered.max(number);
            assert!(holder.version() >= last, "the version decreased");
            last = holder.version();
            // The content of a version does not depend on the updates that led to it.
            assert_eq!(*cell.load(), documents[last as usize]);
            let highest_seen = holder.lag(START).map_or(last, |lag| lag.highest_seen);
            assert_eq!(highest_seen, highest_offered);
        }
        Ok(())
    });
}

#[test]
fn a_process_serves_only_with_the_newest_version_it_heard_of() {
    let late = START + PROPAGATION_DEADLINE;
    let holder = ConfigHolder::open(ConfigAudience::Entry, START);
    let mut holder = blocked(holder, late, ServeBlock::NoDocument);
    holder.offer(full(3)).unwrap();
    let mut holder = blocked(holder, late, ServeBlock::Unconfirmed);
    holder.observe_version(4, VersionSource::Peer);
    let mut holder = blocked(
        holder,
        late,
        ServeBlock::Behind {
            known: 3,
            highest_seen: 4,
        },
    );
    holder.offer(delta(4)).unwrap();
    // Without the table service, peers count only after the time within which a change reaches them.
    let holder = blocked(holder, START, ServeBlock::Unconfirmed);
    assert_eq!(holder.into_serving(late).unwrap().version(), 4);
    let mut side = ConfigHolder::open(ConfigAudience::Side, START);
    side.observe_version(4, VersionSource::Peer);
    side.offer(full(4).for_side()).unwrap();
    assert_eq!(side.into_serving(START).unwrap().version(), 4);
}

fn blocked(
    holder: ConfigHolder<ebony_config::LearningState>,
    now: ClockTime,
    reason: ServeBlock,
) -> ConfigHolder<ebony_config::LearningState> {
    let blocked = holder.into_serving(now).expect_err("the process may not serve");
    assert_eq!(blocked.reason, reason);
    blocked.holder
}

#[test]
fn lag_is_measured_from_the_last_progress() {
    let mut holder = ConfigHolder::open(ConfigAudience::Entry, START);
    holder.observe_version(1, VersionSource::Table);
    holder.offer(full(1)).unwrap();
    let mut holder = holder.into_serving(START).unwrap();
    assert_eq!(holder.lag(START), None);
    holder.observe_version(3, START);
    let later = START + Duration::from_secs(4);
    assert_eq!(
        holder.offer(delta(3), later),
        Ok(OfferOutcome::Gap { known: 1, offered: 3 })
    );
    assert!(!holder.lag(later).unwrap().is_overdue());
    let overdue = START + Duration::from_secs(6);
    assert!(holder.lag(overdue).unwrap().is_overdue());
    holder.offer(delta(2), overdue).unwrap();
    assert!(!holder.lag(overdue).unwrap().is_overdue());
    holder.offer(delta(3), overdue).unwrap();
    assert_eq!(holder.lag(overdue), None);
}

#[test]
fn an_invalid_update_is_refused_as_a_whole() {
    let mut holder = ConfigHolder::open(ConfigAudience::Entry, START);
    holder.observe_version(1, VersionSource::Table);
    holder.offer(full(1)).unwrap();
    let mut holder = holder.into_serving(START).unwrap();
    let broken = r#"{ "delta": { "version": 2, "patch": {
        "models": ["kalo"], "defaults": { "budget": { "tokens": 0 } }, "callers": { "remove": ["nobody"] } } } }"#;
    let update = ConfigUpdate::decode(broken.as_bytes()).unwrap();
    insta::assert_snapshot!(holder.offer(update, START).unwrap_err());
    let unknown_model = r#"{ "delta": { "version": 2, "patch": { "models": [] } } }"#;
    let update = ConfigUpdate::decode(unknown_model.as_bytes()).unwrap();
    insta::assert_snapshot!(holder.offer(update, START).unwrap_err());
    assert_eq!(*holder.document(), version(1));
    assert_eq!(holder.lag(START).map(|lag| lag.highest_seen), Some(2));
}

#[test]
fn arbitrary_bytes_never_panic() {
    let record = r#"{ "version": 2, "nonce": "00000000000000000000000000000009", "author": "sela", "time": 5,
        "checkpoint": { "version": 1, "nonce": "00000000000000000000000000000008" }, "patch": { "models": ["kalo"] } }"#;
    assert!(ChangeRecord::decode(record.as_bytes()).is_ok());
    let seeds = [full(2).encode(), delta(2).encode(), record.as_bytes().to_vec()];
    let mut holder = ConfigHolder::open(ConfigAudience::Entry, START);
    holder.offer(full(1)).unwrap();
    check_seeds(10_000, 64, |input| {
        let mut bytes = input.choose(&seeds)?.clone();
        for _ in 0..input.int_in_range(1..=4)? {
            let place = input.choose_index(bytes.len())?;
            match input.int_in_range(0..=2)? {
                0 => bytes[place] = input.arbitrary()?,
                1 => bytes.truncate(place.max(1)),
                _ => {
                    bytes.splice(place..place, input.bytes(4)?.iter().copied());
                }
            }
        }
        if let Ok(update) = ConfigUpdate::decode(&bytes) {
            let _ = holder.offer(update);
        }
        if let Ok(record) = ChangeRecord::decode(&bytes) {
            let _ = rebuild(version(1), &[record], 3);
        }
        let _ = ConfigUpdate::decode(input.bytes(input.len())?);
        Ok(())
    });
}

#[test]
fn a_change_leads_from_any_document_to_any_other() {
    let mut small = sample();
    small.callers = Default::default();
    small.exceptions = Default::default();
    small.models.clear();
    let mut other = sample();
    other.callers = common::callers(10).into();
    other.defaults.policy.latency_weight = 0.75;
    other.objectives.clear();
    let documents = [sample(), small, other, ConfigDocument::default()];
    for base in &documents {
        for next in &documents {
            let patch = ConfigPatch::diff(base, next);
            let patch = ConfigPatch::decode(&patch.encode()).unwrap();
            let expected = ConfigDocument {
                version: base.version + 1,
                ..next.clone()
            };
            assert_eq!(patch.apply(base), Ok(expected));
        }
    }
}
