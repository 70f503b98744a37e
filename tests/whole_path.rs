//! End-to-end tests with real processes: streamed and plain model calls, service calls, and calls of programs.

use ebony_fleet::caller::chat_body;
use ebony_fleet::{FleetOptions, RunningFleet};
use ebony_standins::engine::{ChatRequest, EchoAnswer};
use serde_json::json;

fn daemon() -> &'static str {
    env!("CARGO_BIN_EXE_ebonyswitch")
}

/// Fails unless the text is the complete answer to this request.
fn assert_complete_answer(text: &str, body: &serde_json::Value) {
    let request = ChatRequest::parse(body.to_string().as_bytes()).expect("a chat request");
    EchoAnswer::check(text, &request).expect("the complete answer to this request");
}

#[actix_web::test]
async fn calls_are_served_across_processes() {
    let fleet = RunningFleet::start(FleetOptions::small(daemon()))
        .await
        .expect("the fleet starts");
    let caller = fleet.caller(0).expect("an entry");

    let plain = chat_body("kalo", "bula vinaka", 40, false);
    let reply = caller.chat(None, &plain).await.expect("an answer");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_complete_answer(&reply.answer_text(), &plain);

    let streamed = chat_body("kalo", "tell me about gourds", 200, true);
    let reply = caller.chat(None, &streamed).await.expect("an answer");
    assert!(reply.is_done(), "{reply:?}");
    assert_complete_answer(&reply.answer_text(), &streamed);

    let reply = caller
        .service(
            "POST",
            "orders/commit?x=1",
            None,
            Some("order-1"),
            "{\"drum\": 1}",
        )
        .await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.json()["path"], "/commit?x=1");
    assert_eq!(
        fleet
            .service(0)
            .expect("a service")
            .runs_of("order-1")
            .await
            .expect("counts"),
        1
    );
}

#[actix_web::test]
async fn a_program_with_a_sub_agent_is_served_from_any_entry() {
    let fleet = RunningFleet::start(FleetOptions::small(daemon()))
        .await
        .expect("the fleet starts");
    let budget = json!({"tokens": 10_000, "calls": 10});
    let program = fleet
        .caller(0)
        .expect("an entry")
        .open_program(None, budget)
        .await
        .expect("a program");
    let child = fleet
        .caller(1)
        .expect("an entry")
        .open_program(Some(program), json!({}))
        .await
        .expect("a child");
    assert_eq!(child.shard(), program.shard());

    for (turn, entry) in [0, 1, 2, 0].into_iter().enumerate() {
        let body = chat_body("kalo", &format!("turn {turn}"), 20, turn % 2 == 0);
        let reply = fleet
            .caller(entry)
            .expect("an entry")
            .chat(Some(program), &body)
            .await
            .expect("an answer");
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_complete_answer(&reply.answer_text(), &body);
    }
    let body = chat_body("kalo", "look the depth up", 20, false);
    let reply = fleet
        .caller(2)
        .expect("an entry")
        .chat(Some(child), &body)
        .await
        .expect("an answer");
    assert_eq!(reply.status, 200, "{reply:?}");

    let view = fleet
        .caller(1)
        .expect("an entry")
        .show_program(program)
        .await
        .expect("a view")
        .json();
    assert_eq!(view["turns"], 4, "{view}");
    assert_eq!(view["used"]["calls"], 5, "the child's call counts: {view}");
    let history = view["history"].as_array().expect("a history");
    let prompts: Vec<&str> = history
        .iter()
        .filter_map(|turn| turn["messages"][0]["content"].as_str())
        .collect();
    assert_eq!(prompts, ["turn 0", "turn 1", "turn 2", "turn 3"]);

    let other = fleet
        .caller_with(0, ebony_fleet::OTHER_CALLER_KEY)
        .expect("an entry");
    let reply = other.show_program(program).await.expect("an answer");
    assert!(
        reply.status == 403 || reply.status == 404,
        "another caller's program: {reply:?}"
    );

    let reply = fleet
        .caller(2)
        .expect("an entry")
        .finish_program(program)
        .await
        .expect("an answer");
    assert_eq!(reply.status, 200, "{reply:?}");
    let body = chat_body("kalo", "too late", 20, false);
    let reply = fleet
        .caller(1)
        .expect("an entry")
        .chat(Some(program), &body)
        .await
        .expect("an answer");
    assert_eq!(
        (reply.status, reply.verdict().as_deref()),
        (409, Some("not_run")),
        "{reply:?}"
    );
}
