//! Tests alerts, the classification of call outcomes, and the rendered reports.

use std::time::Duration;

use ebony_burn::{
    AlertLevel, BrokenPromise, BurnEvent, BurnLedger, BurnReport, CallEnd, GroupKey, GroupObjectives,
    LabelName, LatencyTarget, ObjectiveException, ObjectiveKind, SloCatalog, render_html, render_json,
    render_text,
};
use ebony_types::{ClockTime, ProblemCode, ProblemReport, RunVerdict};

const HOUR_MS: u64 = 3_600_000;

fn label(text: &str) -> LabelName {
    LabelName::parse(text).expect("a valid name")
}

fn key(group: &str) -> GroupKey {
    GroupKey {
        deployment: label("calabash"),
        group: label(group),
    }
}

fn catalog() -> SloCatalog {
    let program_latency = LatencyTarget {
        bound_ms: 30_000,
        good_ppm: 990_000,
    };
    let objectives = GroupObjectives {
        program_latency,
        ..GroupObjectives::default()
    };
    let exceptions = vec![ObjectiveException {
        key: key("workshops"),
        objectives,
    }];
    SloCatalog {
        exceptions,
        ..SloCatalog::default()
    }
}

/// Two days of steady traffic; in the last hour, `workshops` is slow and loses answers.
fn example_report() -> BurnReport {
    let mut ledger = BurnLedger::open(label("calabash"), catalog()).expect("a valid catalog");
    for minute in 0..48 * 60 {
        let now = ClockTime::from_millis(minute * 60_000);
        let is_slow = minute >= 47 * 60;
        for name in ["markets", "workshops"] {
            let is_affected = is_slow && name == "workshops";
            let latency = Duration::from_secs(if is_affected { 45 } else { 12 });
            let wait = Duration::from_millis(if is_affected && minute % 2 == 0 {
                1_400
            } else {
                300
            });
            let interval = Duration::from_millis(if minute % 15 == 0 { 55 } else { 30 });
            let end = match (is_affected, minute % 20) {
                (true, 0) => CallEnd::Broken(BrokenPromise::LostAnswer),
                (true, 1) => CallEnd::Broken(BrokenPromise::UncertainRun),
                (true, 2) => CallEnd::Refused,
                _ => CallEnd::Answered,
            };
            let events = [
                BurnEvent::ProgramEnded { latency },
                BurnEvent::FirstToken { wait },
                BurnEvent::TokensArrived {
                    interval,
                    tokens: 120,
                },
                BurnEvent::CallEnded(end),
            ];
            for event in events {
                ledger.record(&label(name), event, now);
            }
        }
    }
    let now = ClockTime::from_millis(48 * HOUR_MS - 1);
    BurnReport::of(&ledger.snapshot(now), &catalog())
}

/// A wrong cell, rate or alert in a report would direct operators to the wrong group.
#[test]
fn reports_are_stable() {
    let report = example_report();
    insta::assert_snapshot!("report_text", render_text(&report));
    insta::assert_snapshot!("report_json", render_json(&report).unwrap());
    insta::assert_snapshot!("report_html", render_html(&report));
    let read: BurnReport = serde_json::from_str(&render_json(&report).unwrap()).unwrap();
    assert_eq!(read, report);
}

/// The page must load without network access, and group names must be escaped.
#[test]
fn page_is_self_contained() {
    let mut ledger = BurnLedger::open(label("calabash"), SloCatalog::default()).unwrap();
    let name = label("<script>alert('x')</script>");
    ledger.record(
        &name,
        BurnEvent::CallEnded(CallEnd::Answered),
        ClockTime::default(),
    );
    let snapshot = ledger.snapshot(ClockTime::default());
    let page = render_html(&BurnReport::of(&snapshot, &SloCatalog::default()));
    for forbidden in ["<script", "http:", "https:", "src=", "href=", "url(", "@import"] {
        assert!(!page.contains(forbidden), "{forbidden}");
    }
    let required = [
        "lang=\"en\"",
        "prefers-color-scheme: dark",
        "role=\"img\"",
        "<desc",
        "<caption>",
        "scope=\"row\"",
    ];
    for part in required {
        assert!(page.contains(part), "{part}");
    }
}

fn promise_alert(bad_minutes: std::ops::Range<u64>, end_minute: u64) -> AlertLevel {
    let mut ledger = BurnLedger::open(label("calabash"), SloCatalog::default()).expect("a valid catalog");
    for minute in 0..end_minute {
        let now = ClockTime::from_millis(minute * 60_000);
        let bad = u32::from(bad_minutes.contains(&minute)) * 2;
        for call in 0..100 {
            let end = match call < bad {
                true => CallEnd::Broken(BrokenPromise::InternalError),
                false => CallEnd::Answered,
            };
            ledger.record(&label("one"), BurnEvent::CallEnded(end), now);
        }
    }
    let now = ClockTime::from_millis(end_minute * 60_000 - 1);
    let report = BurnReport::of(&ledger.snapshot(now), &SloCatalog::default());
    let objective = report.objective("calabash", "one", ObjectiveKind::KeptPromises);
    objective.expect("a recorded group").alert
}

/// An alert requires that both windows exceed the threshold. 2% of bad calls against a budget of 0.1% give a burn rate
/// of 20.
#[test]
fn alerts_need_both_windows() {
    assert_eq!(promise_alert(0..0, 600), AlertLevel::Fine);
    // Short burn: the 5-minute window is above the threshold, the 1-hour window is not.
    assert_eq!(promise_alert(595..600, 600), AlertLevel::Fine);
    assert_eq!(promise_alert(540..600, 600), AlertLevel::Page);
    // Burn that has ended: the 1-hour window is still above the threshold, the 5-minute window is not.
    assert_eq!(promise_alert(530..580, 600), AlertLevel::Ticket);
    // Slow burn: 30 minutes in 6 hours use up the budget of 3 days, which needs a ticket but no page.
    assert_eq!(promise_alert(300..330, 600), AlertLevel::Ticket);
}

/// A broken promise counted as a refusal, or a refusal counted as a broken promise, would falsify the objective.
#[test]
fn problems_are_classified() {
    let mut lines = Vec::new();
    for code in ProblemCode::ALL {
        for run in [RunVerdict::NotRun, RunVerdict::MayHaveRun, RunVerdict::Ran] {
            let problem = ProblemReport::new(*code, run, "");
            let ends = [true, false].map(|must_run_once| CallEnd::of_problem(&problem, must_run_once));
            lines.push(format!(
                "{} {}: once {:?}, repeatable {:?}",
                code.as_str(),
                run.as_str(),
                ends[0],
                ends[1]
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// A target of 100% leaves no error budget, so that burn rates would be infinite.
#[test]
fn targets_without_budget_are_refused() {
    for good_ppm in [0, 1_000_000, u32::MAX] {
        let mut catalog = catalog();
        catalog.default.kept_promises_ppm = good_ppm;
        assert!(catalog.check().is_err());
        assert!(BurnLedger::open(label("calabash"), catalog).is_err());
    }
    let mut catalog = catalog();
    catalog.exceptions.push(catalog.exceptions[0].clone());
    let error = catalog.check().unwrap_err();
    assert_eq!(error.to_string(), "calabash/workshops has two exceptions");
}
