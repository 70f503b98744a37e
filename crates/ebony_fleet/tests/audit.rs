//! Tests that the audit reports runs whose results contradict what callers were told.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebony_fleet::workload::TurnLog;
use ebony_fleet::{AuditReport, CallerOutcome, PlanEnding, ProgramLog, ProgramPlan};
use serde_json::json;

const DIGEST: &str = "0123456789abcdef";

fn refused() -> CallerOutcome {
    CallerOutcome::Problem {
        status: 503,
        code: "platform_unavailable".to_owned(),
        run: "not_run".to_owned(),
    }
}

fn log(ending: PlanEnding, outcome: CallerOutcome) -> ProgramLog {
    let mut plan = ProgramPlan::mixed("audit", 1);
    plan.ending = ending;
    let now = Instant::now();
    ProgramLog {
        plan,
        program: None,
        turns: vec![TurnLog {
            prompt: "audit/0/0".to_owned(),
            digest: DIGEST.to_owned(),
            news: outcome,
            began: now,
            told: now,
        }],
        orders: Vec::new(),
        children: Vec::new(),
        is_exhausted: false,
        is_ended: true,
        is_complete: true,
        latency: Duration::ZERO,
    }
}

fn turns_report(outcome: CallerOutcome, runs: u32) -> u64 {
    let mut report = AuditReport::default();
    let runs = BTreeMap::from([(DIGEST.to_owned(), runs)]);
    report.audit_turns(&log(PlanEnding::Finish, outcome), &runs);
    assert!(report.checks("answer") + report.checks("not-run") > 0);
    report.violations()
}

/// The audit must report a call that ran although it was refused as not run, and an answer that no engine produced.
#[test]
fn turns_are_compared_with_the_runs_of_engines() {
    assert_eq!(turns_report(refused(), 0), 0);
    assert_eq!(turns_report(refused(), 1), 1);
    assert_eq!(turns_report(CallerOutcome::Whole, 1), 0);
    assert_eq!(turns_report(CallerOutcome::Whole, 0), 1);
}

/// The audit must report a program whose state contradicts the ending that its caller was told, and a program planned
/// to exhaust its budget whose caller was not told that it did.
#[test]
fn programs_end_as_their_callers_were_told() {
    let violations = |ending, state: &str| {
        let mut report = AuditReport::default();
        report.audit_ending(&log(ending, CallerOutcome::Whole), &json!({"state": state}));
        report.violations()
    };
    assert_eq!(violations(PlanEnding::Finish, "finished"), 0);
    assert_eq!(violations(PlanEnding::Finish, "open"), 1);
    assert_eq!(violations(PlanEnding::Cancel, "finished"), 1);
    assert_eq!(
        violations(PlanEnding::Exhaust, "exhausted"),
        1,
        "the caller was not told"
    );
    assert_eq!(violations(PlanEnding::Open, "open"), 0);
}
