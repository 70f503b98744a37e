//! Entries of targets that the store writes late, after later entries of the same target.

use std::collections::HashSet;
use std::time::Duration;

use ebony_dispatch::{TargetBoard, TargetChange, TargetPhase, TargetRecord};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: ClockTime = ClockTime::from_millis(1_000);

/// The most by which the store performs a write late.
const LATE_MS: u64 = 6_000;

fn name() -> TargetName {
    TargetName::parse("engine-1").expect("a valid name")
}

fn record(born: u64, phase: TargetPhase) -> TargetRecord {
    TargetRecord {
        name: name(),
        service: ServiceName::parse("models").expect("a valid name"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: DomainName::parse("a").expect("a valid name"),
        version: SoftwareVersion::parse("v1").expect("a version"),
        slots: 8,
        phase,
        born,
    }
}

fn accepts_calls(board: &TargetBoard) -> bool {
    board
        .targets()
        .any(|(_, target)| target.record.phase == TargetPhase::Ready)
}

/// Guards against calls to a draining target after an earlier heartbeat of it was performed late (review, case 4).
#[test]
fn a_late_heartbeat_does_not_make_a_draining_target_ready() {
    let mut board = TargetBoard::default();
    board.apply(record(1, TargetPhase::Ready));
    board.apply(record(1, TargetPhase::Draining));
    board.apply(record(1, TargetPhase::Ready));
    assert!(!accepts_calls(&board));
}

/// Guards against calls to a target that drained and left, when a heartbeat from before is performed after its removal.
#[test]
fn a_late_heartbeat_after_the_removal_does_not_make_a_drained_target_ready() {
    let mut board = TargetBoard::default();
    // A gateway that starts while the target drains sees it in this phase first.
    board.apply(record(1, TargetPhase::Draining));
    board.remove(&name(), NOW);
    board.apply(record(1, TargetPhase::Ready));
    assert!(!accepts_calls(&board));
    board.apply(record(2, TargetPhase::Ready));
    assert!(accepts_calls(&board), "a restarted target is used");
}

/// Guards against calls to an earlier incarnation whose heartbeat is performed after the later one was removed.
#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_is_ignored_after_the_removal_of_the_later_one() {
    let mut board = TargetBoard::default();
    board.apply(record(2, TargetPhase::Ready));
    board.remove(&name(), NOW);
    assert_eq!(board.apply(record(1, TargetPhase::Ready)), TargetChange::Outdated);
    assert!(!accepts_calls(&board));
    // A host whose clock is behind may start the target again.
    board.remove_expired(NOW + Duration::from_secs(60));
    board.apply(record(1, TargetPhase::Ready));
    assert!(accepts_calls(&board));
}

/// Guards against a removal being taken for leaving: entries lapse during outages of the store.
#[test]
fn a_target_whose_entry_lapsed_is_used_again() {
    let mut board = TargetBoard::default();
    board.apply(record(1, TargetPhase::Ready));
    board.remove(&name(), NOW);
    board.apply(record(1, TargetPhase::Ready));
    assert!(accepts_calls(&board));
}

/// Guards against a target without a start time never being used again after it drained and was restarted.
#[test]
fn a_target_without_a_start_time_is_used_again_after_it_drained() {
    let mut board = TargetBoard::default();
    board.apply(record(0, TargetPhase::Draining));
    board.apply(record(0, TargetPhase::Ready));
    assert!(accepts_calls(&board));
    board.apply(record(0, TargetPhase::Draining));
    board.remove(&name(), NOW);
    board.apply(record(0, TargetPhase::Ready));
    assert!(accepts_calls(&board));
}

/// Guards against a gateway that read of the draining in the store not passing on the announcement to gateways that do
/// not reach the store.
#[test]
fn an_announcement_is_new_after_the_entry_said_the_same() {
    let mut board = TargetBoard::default();
    let draining = record(1, TargetPhase::Draining);
    board.apply(draining.clone());
    assert!(board.record_leaving(&name(), draining.incarnation()));
    assert!(!board.record_leaving(&name(), draining.incarnation()));
}

/// Heartbeats, removals and restarts in any order, with writes that are performed up to [`LATE_MS`] late. An
/// incarnation that was seen draining is never ready again, an earlier one is not used after a later one, and the target
/// is used after a heartbeat of a ready incarnation in time.
#[test]
fn late_entries_never_make_a_target_ready_that_left() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut board = TargetBoard::default();
        let mut late: Vec<(u64, TargetRecord)> = Vec::new();
        let mut drained = HashSet::new();
        let mut latest_seen = 0;
        let (mut now_ms, mut born, mut phase) = (1_000_u64, 1_u64, TargetPhase::Ready);
        for _ in 0..60 {
            now_ms += rng.random_range(1..1_200);
            let now = ClockTime::from_millis(now_ms);
            board.remove_expired(now);
            let (due, pending): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, _)| *at <= now_ms);
            late = pending;
            let mut deliver = |board: &mut TargetBoard, record: TargetRecord| {
                if record.phase == TargetPhase::Draining {
                    drained.insert(record.born);
                }
                latest_seen = record.born.max(latest_seen);
                board.apply(record);
                for (_, target) in board.targets() {
                    let is_drained = drained.contains(&target.record.born);
                    assert!(
                        !(is_drained && target.record.phase == TargetPhase::Ready),
                        "seed {seed}"
                    );
                    assert!(target.record.born >= latest_seen, "seed {seed}");
                }
            };
            due.into_iter()
                .for_each(|(_, record)| deliver(&mut board, record));
            match rng.random_range(0..12) {
                0 => phase = TargetPhase::Draining,
                1 => {
                    // The late writes of the process that ended remain under way.
                    (born, phase) = (born + 1, TargetPhase::Ready);
                    deliver(&mut board, record(born, phase));
                }
                2 => {
                    board.remove(&name(), now);
                }
                3..6 => late.push((now_ms + rng.random_range(1..LATE_MS), record(born, phase))),
                _ => {
                    deliver(&mut board, record(born, phase));
                    assert_eq!(accepts_calls(&board), phase == TargetPhase::Ready, "seed {seed}");
                }
            }
        }
    }
}
