//! Tests that a replay sends all calls, retries refused ones as stated, and detects wrong answers.

mod fake_entry;

use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use ebony_replay::hooks::Result as HookResult;
use ebony_replay::{
    CallerKeys, NoHooks, ReplayCommand, ReplayHooks, ReplayOptions, ReplayRun, TargetRun, replay, run_command,
};
use ebony_trace::{CacheOutcome, MarkerAction, TraceDocument, read_trace};
use fake_entry::{EntryFault, FakeEntry};

/// A parent with a call that must run at most once and a blocking sub-agent, and a program with a single call.
const TRACE: &str = concat!(
    r#"{"header":{"version":1,"name":"tiny","deployment":"loopback","seed":1,"description":"A parent, a child and another.","time_scale":{"wall_ms_per_second":10},"engine":{"engines":1,"batch_slots":4,"prefill_tokens_per_second":8000,"token_interval_us":30000,"cache_tokens":64000},"models":[{"model":"kalo","engines":1}],"services":["orders"],"domains":["one"],"outcomes":[{"measure":"lost_calls","limit":{"at_most":0}},{"measure":"failed_programs_percent","limit":{"at_most":0}}],"markers":0,"programs":3}}"#,
    "\n",
    r#"{"program":{"id":0,"caller":"shop","model":"kalo","origin":{"arrival":{"at_ms":0}},"shared_tokens":20,"turns":[{"new_tokens":30,"output_tokens":5,"pause_ms":100,"call":{"service":"orders","method":"POST","runs_once":true,"deadline_ms":60000}},{"new_tokens":30,"output_tokens":5}]}}"#,
    "\n",
    r#"{"program":{"id":1,"caller":"shop","model":"kalo","origin":{"child":{"parent":0,"after_turn":0,"is_blocking":true}},"turns":[{"new_tokens":30,"output_tokens":5}]}}"#,
    "\n",
    r#"{"program":{"id":2,"caller":"luthier","model":"kalo","origin":{"arrival":{"at_ms":100}},"turns":[{"new_tokens":30,"output_tokens":5}]}}"#,
    "\n",
);

fn tiny_trace() -> Arc<TraceDocument> {
    Arc::new(read_trace(TRACE.as_bytes()).expect("a trace"))
}

async fn run_against(entry: &FakeEntry) -> ReplayRun {
    let options = ReplayOptions::open("tiny run", vec![entry.url()], CallerKeys::same("shop-key"));
    replay(tiny_trace(), options, &mut NoHooks)
        .await
        .expect("a replay")
}

#[actix_rt::test]
async fn every_call_of_a_trace_is_sent_once_and_counted() {
    let entry = FakeEntry::spawn(EntryFault::None).await;
    let run = run_against(&entry).await;
    assert_eq!((run.report.calls.sent, run.report.calls.answered), (5, 5));
    assert_eq!(run.report.programs.finished, 3);
    assert_eq!(run.report.first_token.count, 4, "only model calls have tokens");
    assert!(
        run.report.breaches().next().is_none(),
        "{:?}",
        run.report.outcomes
    );

    let seen = entry.seen();
    assert_eq!(seen.calls.len(), 5, "{seen:?}");
    assert_eq!(seen.idempotency_keys, ["tiny-run-0.0.tool"]);
    let child = seen.opened.iter().filter(|parent| parent.is_some()).count();
    assert_eq!(
        (seen.opened.len(), child),
        (3, 1),
        "the sub-agent names its parent"
    );
    assert_eq!((seen.finished, seen.cancelled), (3, 0));
    let (first, second) = (seen.messages_of("0.0.model"), seen.messages_of("0.1.model"));
    assert_eq!(
        (first, second),
        (2, 4),
        "a turn repeats the conversation before it"
    );
}

#[actix_rt::test]
async fn a_refused_call_with_retry_after_is_retried() {
    let entry = FakeEntry::spawn(EntryFault::RefuseFirst("0.1.model")).await;
    let run = run_against(&entry).await;
    assert_eq!((run.report.calls.sent, run.report.calls.refused), (6, 1));
    assert_eq!((run.report.programs.finished, run.report.violations.lost), (3, 0));
    assert_eq!(
        entry.seen().messages_of("0.1.model"),
        4,
        "the retry sends the same messages"
    );
}

#[actix_rt::test]
async fn an_incomplete_answer_or_one_to_another_call_counts_as_lost() {
    let faults = [
        EntryFault::OtherAnswer("2.0.model"),
        EntryFault::ShortAnswer("2.0.model"),
        EntryFault::NoFinalMarker("2.0.model"),
        EntryFault::WrongEcho("0.0.tool"),
    ];
    for fault in faults {
        let entry = FakeEntry::spawn(fault).await;
        let run = run_against(&entry).await;
        assert_eq!(run.report.violations.lost, 1, "{fault:?}");
        assert!(run.report.breaches().next().is_some(), "{fault:?}");
    }
}

#[actix_rt::test]
async fn a_truncated_stream_is_retried_until_the_program_gives_up() {
    let entry = FakeEntry::spawn(EntryFault::CutAlways("2.0.model")).await;
    let run = run_against(&entry).await;
    assert_eq!(run.report.calls.disconnected, 4);
    assert_eq!((run.report.programs.failed, run.report.violations.lost), (1, 1));
    assert_eq!(entry.seen().cancelled, 1, "a program that gave up is cancelled");
}

#[actix_rt::test]
async fn a_problem_in_a_stream_is_an_error_and_not_a_loss() {
    let entry = FakeEntry::spawn(EntryFault::StreamProblem("2.0.model")).await;
    let run = run_against(&entry).await;
    assert_eq!((run.report.calls.failed, run.report.violations.lost), (1, 0));
    assert_eq!(run.report.programs.failed, 1);
}

/// Reports runs in reverse order, followed by further runs of the given steps.
struct LateRuns {
    entry: Rc<FakeEntry>,
    repeated: Vec<&'static str>,
}

#[async_trait(?Send)]
impl ReplayHooks for LateRuns {
    async fn on_marker(&mut self, _: &MarkerAction) -> HookResult<Option<Vec<String>>> {
        Ok(None)
    }

    async fn take_runs(&mut self) -> HookResult<Option<Vec<Vec<TargetRun>>>> {
        let mut runs = self.entry.take_runs();
        runs.reverse();
        let repeated = self.repeated.drain(..);
        runs.extend(repeated.map(|step| TargetRun::Service {
            path: format!("POST /replay/{step}"),
        }));
        Ok(Some(vec![runs]))
    }

    async fn read_cache(&mut self) -> HookResult<Option<CacheOutcome>> {
        Ok(None)
    }
}

#[actix_rt::test]
async fn late_reports_are_no_order_violations_but_repeated_runs_are() {
    for (repeated, expected) in [(vec![], (0, 0)), (vec!["0.0.tool"], (1, 1))] {
        let entry = Rc::new(FakeEntry::spawn(EntryFault::None).await);
        let options = ReplayOptions::open("tiny run", vec![entry.url()], CallerKeys::same("shop-key"));
        let mut hooks = LateRuns { entry, repeated };
        let run = replay(tiny_trace(), options, &mut hooks).await.expect("a replay");
        let violations = run.report.violations;
        assert_eq!((violations.duplicated, violations.order), expected);
        assert_eq!(violations.lost, 0, "every answered call has a reported run");
    }
}

#[actix_rt::test]
async fn the_exit_code_follows_the_stated_outcomes() {
    let folder = tempfile::tempdir().expect("a folder");
    let trace = folder.path().join("tiny.jsonl");
    std::fs::write(&trace, TRACE).expect("a trace file");
    let cases = [
        (EntryFault::None, ExitCode::SUCCESS),
        (EntryFault::OtherAnswer("2.0.model"), ExitCode::from(1)),
    ];
    for (fault, expected) in cases {
        let entry = FakeEntry::spawn(fault).await;
        let mut command = ReplayCommand::open(&trace, vec![entry.url()], CallerKeys::same("shop-key"));
        command.html = Some(folder.path().join("report.html"));
        let mut output = Vec::new();
        let code = run_command(&command, &mut output).await.expect("a report");
        assert_eq!(format!("{code:?}"), format!("{expected:?}"), "{fault:?}");
        let text = String::from_utf8(output).expect("text");
        assert!(text.contains("Stated outcomes"), "{text}");
        let page = std::fs::read_to_string(folder.path().join("report.html")).expect("a page");
        assert!(page.contains("<html"), "{page}");
    }
}
