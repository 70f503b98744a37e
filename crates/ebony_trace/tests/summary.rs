//! Tests the figures of a replay, the detection of violations and breaches, and the rendered reports.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ebony_trace::{
    CacheOutcome, CallOutcome, OutcomeVerdict, ProgramEnd, ProgramOutcome, ReplayReport, ReplaySummary,
    StepEnd, StepKey, render_html, render_json, render_text,
};
use ebony_types::{ProblemCode, RunVerdict};
use support::small_document;

fn open_summary(run: &str) -> ReplaySummary {
    ReplaySummary::open(run, Arc::new(small_document())).expect("the histogram's bounds are valid")
}

fn step(text: &str) -> StepKey {
    text.parse().expect("a valid step key")
}

fn refusal() -> StepEnd {
    StepEnd::Problem {
        code: ProblemCode::Overloaded,
        run: RunVerdict::NotRun,
        retry_after: None,
    }
}

/// Records the end of a call and, if it was answered, its run.
fn record(summary: &mut ReplaySummary, key: &str, end: StepEnd, will_retry: bool) {
    let key = step(key);
    if end == StepEnd::Answered {
        summary.record_run(key).expect("the step is known");
    }
    let outcome = CallOutcome {
        key,
        end,
        will_retry,
        first_token: (end == StepEnd::Answered).then_some(Duration::from_millis(40)),
    };
    summary.record_call(&outcome).expect("the step is known");
}

fn finish(summary: &mut ReplaySummary, program: u32, end: ProgramEnd, millis: u64) {
    let outcome = ProgramOutcome {
        program,
        end,
        latency: Duration::from_millis(millis),
    };
    summary
        .record_program(&outcome)
        .expect("the program has not ended");
}

const ALL_STEPS: [&str; 7] = [
    "0.0.model",
    "1.0.model",
    "0.1.model",
    "0.1.tool",
    "2.0.model",
    "0.2.model",
    "3.0.model",
];

fn good_report() -> ReplayReport {
    let mut summary = open_summary("scheduler");
    record(&mut summary, "0.0.model", refusal(), true);
    for key in ALL_STEPS {
        record(&mut summary, key, StepEnd::Answered, false);
    }
    for (program, millis) in [(0, 3_400), (1, 1_050), (2, 5_600), (3, 210)] {
        finish(&mut summary, program, ProgramEnd::Finished, millis);
    }
    summary.record_cache(CacheOutcome {
        filled_tokens: 2_000,
        evicted_unused_tokens: 100,
        never_reused_tokens: 300,
    });
    summary.report()
}

fn bad_report() -> ReplayReport {
    let mut summary = open_summary("round robin");
    for key in [
        "0.0.model",
        "1.0.model",
        "0.1.model",
        "0.1.tool",
        "0.1.tool",
        "3.0.model",
    ] {
        record(&mut summary, key, StepEnd::Answered, false);
    }
    let failure = StepEnd::Problem {
        code: ProblemCode::TargetFailed,
        run: RunVerdict::MayHaveRun,
        retry_after: None,
    };
    record(&mut summary, "0.2.model", failure, false);
    record(&mut summary, "2.0.model", StepEnd::Disconnected, true);
    record(&mut summary, "2.0.model", StepEnd::Corrupt, false);
    finish(
        &mut summary,
        0,
        ProgramEnd::Problem(ProblemCode::TargetFailed),
        9_000,
    );
    finish(&mut summary, 1, ProgramEnd::Finished, 2_500);
    finish(&mut summary, 2, ProgramEnd::Lost, 700);
    finish(&mut summary, 3, ProgramEnd::Finished, 800);
    summary.report()
}

/// Policies are chosen by these reports, so that a wrong figure or verdict would select the wrong one.
#[test]
fn reports_are_stable() {
    let reports = [good_report(), bad_report()];
    assert_eq!(reports[0].breaches().count(), 0);
    insta::assert_snapshot!("replay_text", render_text(&reports));
    insta::assert_snapshot!("replay_html", render_html(&reports));
    let json = render_json(&reports).expect("reports are plain data");
    let read: Vec<ReplayReport> = serde_json::from_str(&json).expect("the report reads back");
    assert_eq!(read, reports);
    let mut bad = bad_report();
    bad.latency.curve.truncate(2);
    bad.slowdown.curve.clear();
    bad.first_token.curve.clear();
    insta::assert_json_snapshot!("replay_json", bad);
}

/// The page must not load anything from the network, and must escape the name of a run.
#[test]
fn page_is_self_contained() {
    let page = render_html(&[open_summary("<script>alert('x')</script>").report()]);
    for forbidden in ["<script", "http:", "https:", "src=", "href=", "url(", "@import"] {
        assert!(!page.contains(forbidden), "{forbidden}");
    }
    for required in [
        "lang=\"en\"",
        "prefers-color-scheme: dark",
        "role=\"img\"",
        "<desc",
        "<caption>",
    ] {
        assert!(page.contains(required), "{required}");
    }
}

/// Returns the counts of lost calls, duplicated runs, order violations and false not-run verdicts after the given runs
/// and results of calls.
fn violations(runs: &[&str], ends: &[(&str, StepEnd, bool)]) -> [u64; 4] {
    let mut summary = open_summary("test");
    for key in runs {
        summary.record_run(step(key)).expect("the step is known");
    }
    for (key, end, will_retry) in ends {
        let outcome = CallOutcome {
            key: step(key),
            end: *end,
            will_retry: *will_retry,
            first_token: None,
        };
        summary.record_call(&outcome).expect("the step is known");
    }
    let counts = summary.report().violations;
    [counts.lost, counts.duplicated, counts.order, counts.false_not_run]
}

/// Each kind of violation must be detected, and allowed behaviour must not be counted.
#[test]
fn violations_are_found() {
    let answered = |key| (key, StepEnd::Answered, false);
    // Allowed: a call that may be retried runs twice, and a refused call runs on its retry.
    let repeated = [("0.0.model", refusal(), true), answered("0.0.model")];
    assert_eq!(violations(&["0.0.model", "0.0.model"], &repeated), [0; 4]);
    // Allowed: the answer to a call that must run at most once arrives on its retry.
    let resumed = [("0.1.tool", StepEnd::Disconnected, true), answered("0.1.tool")];
    assert_eq!(violations(&["0.1.tool"], &resumed), [0; 4]);

    assert_eq!(
        violations(&["0.1.tool", "0.1.tool"], &[answered("0.1.tool")]),
        [0, 1, 0, 0]
    );
    assert_eq!(violations(&["0.1.model", "0.0.model"], &[]), [0, 0, 1, 0]);
    assert_eq!(
        violations(&["0.0.model"], &[("0.0.model", refusal(), false)]),
        [0, 0, 0, 1]
    );
    assert_eq!(
        violations(&["0.0.model"], &[("0.0.model", StepEnd::Corrupt, false)]),
        [1, 0, 0, 0]
    );
    assert_eq!(
        violations(&[], &[("0.0.model", StepEnd::Disconnected, false)]),
        [1, 0, 0, 0]
    );
    // An answered call that no target ran counts as lost.
    assert_eq!(violations(&["0.0.model"], &[answered("0.1.model")]), [1, 0, 0, 0]);
}

/// Outcomes without data must not count as reached, and results of unknown steps or ended programs must be rejected.
#[test]
fn missing_and_unknown_reports_are_noticed() {
    let mut summary = open_summary("test");
    let report = summary.report();
    let verdicts = report.outcomes.iter().map(|outcome| outcome.verdict);
    assert!(
        verdicts
            .into_iter()
            .all(|verdict| verdict == OutcomeVerdict::NotMeasured)
    );
    for key in ["9.0.model", "0.3.model"] {
        assert!(summary.record_run(step(key)).is_err());
    }
    finish(&mut summary, 3, ProgramEnd::Finished, 300);
    let again = ProgramOutcome {
        program: 3,
        end: ProgramEnd::Finished,
        latency: Duration::ZERO,
    };
    assert!(summary.record_program(&again).is_err());
    assert_eq!(summary.report().programs.open, 3);
}
