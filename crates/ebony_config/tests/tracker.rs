//! Guards against reports that lower a version, and against tables that grow when hosts are replaced.

use std::time::Duration;

use ebony_config::tracker::{FORGET_AFTER, MAX_PROCESSES};
use ebony_config::{ConfigTracker, StatusChange};
use ebony_types::ClockTime;

const START: ClockTime = ClockTime::from_millis(1);

fn at(seconds: u64) -> ClockTime {
    START + Duration::from_secs(seconds)
}

#[test]
fn old_reports_change_nothing_and_delays_are_counted() {
    let mut tracker = ConfigTracker::default();
    tracker.announce(7, at(0));
    let change = |from, to| {
        Some(StatusChange {
            process: "entry-1".to_owned(),
            from,
            to,
        })
    };
    assert_eq!(tracker.record("entry-1", 7, at(0)), change(0, 7));
    assert_eq!(
        tracker.record("entry-1", 6, at(1)),
        None,
        "an old report arrived late"
    );
    tracker.record("side-1", 7, at(1));
    tracker.record("side-2", 6, at(1));
    tracker.announce(8, at(2));
    tracker.announce(5, at(3));
    assert_eq!(tracker.record("entry-1", 8, at(3)), change(7, 8));
    tracker.record("side-2", 6, at(14));
    insta::assert_json_snapshot!(snapshot(&tracker, at(14)));
    assert_eq!(
        tracker.record("entry-1", 0, at(15)),
        change(8, 0),
        "a restarted process has no version"
    );
    tracker.forget("side-1");
    assert_eq!(tracker.report(at(15), 0).processes, 2);
}

fn snapshot(tracker: &ConfigTracker, now: ClockTime) -> serde_json::Value {
    let report = tracker.report(now, 10);
    let delays = |delays: &[ebony_config::ProcessDelay]| -> Vec<String> {
        let text = |delay: &ebony_config::ProcessDelay| {
            format!("{} at {} for {:?}", delay.process, delay.version, delay.duration)
        };
        delays.iter().map(text).collect()
    };
    serde_json::json!({
        "newest": report.newest, "in_force": report.in_force, "behind": report.behind, "silent": report.silent,
        "most_behind": delays(&report.most_behind), "most_silent": delays(&report.most_silent),
    })
}

#[test]
fn the_number_of_processes_is_bounded() {
    let mut tracker = ConfigTracker::default();
    for number in 0..MAX_PROCESSES + 100 {
        tracker.record(
            &format!("process-{number}"),
            1,
            START + Duration::from_micros(number as u64),
        );
    }
    assert_eq!(tracker.report(at(1), 0).processes, MAX_PROCESSES);
    assert!(
        tracker.record("process-0", 1, at(1)).is_some(),
        "the process that was silent longest was removed"
    );
    let later = at(2) + FORGET_AFTER;
    tracker.record("new", 1, later);
    assert_eq!(tracker.report(later, 0).processes, 1);
}
