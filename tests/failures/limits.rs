//! Tests the enforcement of budgets and deadlines, and the rejection of bad requests.

use std::time::Duration;

use ebony_fleet::RunningFleet;
use ebony_fleet::caller::chat_body;
use serde_json::json;

use crate::common::fast_fleet;

/// Guards against a program that loops without end and exceeds its budget, by itself or through sub-agents.
#[actix_web::test]
async fn a_program_that_loops_ends_at_its_budget() {
    let fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let caller = fleet.caller(0).expect("an entry");
    let program = caller
        .open_program(None, json!({"calls": 7}))
        .await
        .expect("a program");
    let child = caller
        .open_program(Some(program), json!({"calls": 100}))
        .await
        .expect("a child");
    let mut served = 0;
    let mut last = None;
    for number in 0..20 {
        let caller_program = if number % 2 == 0 { program } else { child };
        let body = chat_body("kalo", &format!("loop {number}"), 5, false);
        let reply = fleet
            .caller(number % 3)
            .expect("an entry")
            .chat(Some(caller_program), &body)
            .await
            .expect("an answer");
        if reply.status == 200 {
            served += 1;
        } else {
            last = Some(reply);
        }
    }
    assert_eq!(served, 7, "the budget holds for parent and child together");
    let last = last.expect("a refusal");
    assert_eq!(last.verdict().as_deref(), Some("not_run"), "{last:?}");
    assert_eq!(last.code().as_deref(), Some("budget_exhausted"), "{last:?}");
}

/// Guards against a hung tool whose caller waits beyond the deadline or is told that the call did not run.
#[actix_web::test]
async fn a_hung_tool_ends_at_its_deadline() {
    let fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let service = fleet.service(0).expect("a service");
    service
        .change(|settings| settings.is_hung = true)
        .await
        .expect("settings are set");
    let caller = fleet
        .caller(0)
        .expect("an entry")
        .with_timeout(Duration::from_millis(400));
    let reply = caller
        .service("POST", "orders/commit", None, Some("hung"), "x")
        .await
        .expect("an answer");
    assert_eq!(reply.code().as_deref(), Some("deadline_exceeded"), "{reply:?}");
    assert_eq!(reply.verdict().as_deref(), Some("may_have_run"), "{reply:?}");
    let again = caller
        .service("POST", "orders/commit", None, Some("hung"), "x")
        .await
        .expect("an answer");
    assert_eq!(again.verdict().as_deref(), Some("may_have_run"), "{again:?}");
    assert_eq!(service.runs_of("hung").await.expect("counts"), 1);
}

/// Guards against malformed, unknown or too large requests that reach a target or get an answer without a verdict.
#[actix_web::test]
async fn bad_requests_are_refused_and_reach_no_target() {
    let fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let caller = fleet.caller(0).expect("an entry");
    let stranger = fleet.caller_with(0, "no-such-key").expect("an entry");
    let large = "x".repeat(5 * 1024 * 1024);
    let chat = "/v1/chat/completions";
    let good = chat_body("kalo", "hello", 5, false).to_string();
    let unknown = chat_body("no-such-model", "hello", 5, false).to_string();
    let cases = [
        ("no key", &stranger, "POST", chat, good.as_str()),
        ("no JSON", &caller, "POST", chat, "{"),
        ("no model", &caller, "POST", chat, "{\"messages\": []}"),
        (
            "no messages",
            &caller,
            "POST",
            chat,
            "{\"model\": \"kalo\", \"messages\": []}",
        ),
        (
            "bad role",
            &caller,
            "POST",
            chat,
            "{\"model\": \"kalo\", \"messages\": [{\"role\": 1}]}",
        ),
        ("unknown model", &caller, "POST", chat, unknown.as_str()),
        ("too large", &caller, "POST", chat, large.as_str()),
        ("wrong method", &caller, "GET", chat, ""),
        ("no route", &caller, "GET", "/v2/nothing", ""),
        ("unknown service", &caller, "POST", "/v1/services/nothing/x", "x"),
        ("unknown program", &caller, "GET", "/v1/programs/p-0000-00", ""),
        (
            "bad budget",
            &caller,
            "POST",
            "/v1/programs",
            "{\"budget\": {\"calls\": -1}}",
        ),
    ];
    let mut lines = Vec::new();
    for (name, client, method, path, body) in cases {
        let reply = client
            .send(method, path, None, None, body.to_owned().into())
            .await
            .expect("an answer");
        let (code, run) = (
            reply.code().unwrap_or_default(),
            reply.verdict().unwrap_or_default(),
        );
        lines.push(format!("{name}: {} {code} {run}", reply.status));
    }
    insta::assert_snapshot!(lines.join("\n"));
    for engine in 0..2 {
        let stats = fleet
            .engine(engine)
            .expect("an engine")
            .stats()
            .await
            .expect("counts");
        assert_eq!(stats.counts.runs, 0);
    }
}
