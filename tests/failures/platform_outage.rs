//! Tests guarantees while the platform's table and object services are down, slow, or lose replies.

use crate::common::{
    assert_completed_without_violations, fast_fleet, plans, run_with_faults, wait_for_runs, wait_until,
};
use ebony_fleet::caller::chat_body;
use ebony_fleet::{RunningFleet, StopSignal};
use ebony_standins::{FaultSettings, OutageMode};

async fn set_faults(fleet: &RunningFleet, faults: FaultSettings) {
    fleet
        .table()
        .expect("a table")
        .set_faults(faults)
        .await
        .expect("faults are set");
    fleet
        .objects()
        .expect("objects")
        .set_faults(faults)
        .await
        .expect("faults are set");
}

/// Guards against an outage that stops idempotent calls, and against a non-idempotent call that runs without a durable
/// intent.
#[actix_web::test]
async fn an_outage_stops_only_what_needs_the_platform() {
    let mut fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let caller = fleet.caller(0).expect("an entry");
    let program = caller
        .open_program(None, serde_json::json!({}))
        .await
        .expect("a program");
    let first = caller
        .chat(Some(program), &chat_body("kalo", "before", 10, false))
        .await
        .expect("an answer");
    assert_eq!(first.status, 200, "{first:?}");

    let down = FaultSettings {
        outage: OutageMode::Refuse,
        ..FaultSettings::default()
    };
    set_faults(&fleet, down).await;
    let during = caller
        .chat(Some(program), &chat_body("kalo", "during", 10, true))
        .await
        .expect("an answer");
    assert!(during.is_done(), "an idempotent call goes on: {during:?}");
    let order = caller
        .service("POST", "orders/commit", Some(program), Some("outage"), "x")
        .await;
    let order = order.expect("an answer");
    assert_eq!(order.code().as_deref(), Some("platform_unavailable"), "{order:?}");
    assert_eq!(order.verdict().as_deref(), Some("not_run"));
    assert_eq!(
        fleet
            .service(0)
            .expect("a service")
            .runs_of("outage")
            .await
            .expect("counts"),
        0
    );

    set_faults(&fleet, FaultSettings::default()).await;
    let logs = run_with_faults(&mut fleet, plans("after", 3, 3), async |_| {}).await;
    assert_completed_without_violations(&fleet, &logs).await;
    let view = caller.show_program(program).await.expect("a view").json();
    assert_eq!(
        view["turns"], 2,
        "the turn of the outage is in the history: {view}"
    );
    let order = caller
        .service("POST", "orders/commit", Some(program), Some("outage"), "x")
        .await;
    assert_eq!(order.expect("an answer").status, 200, "the key may run now");
}

/// Guards against lost or repeated work when replies are lost after writes took effect: a writer may then take its own row
/// for that of a successor.
#[actix_web::test]
async fn lost_replies_of_the_platform_lose_and_repeat_nothing() {
    let mut fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let logs = run_with_faults(&mut fleet, plans("lost-replies", 6, 6), async |fleet| {
        for round in 1..=6 {
            wait_for_runs(fleet, 2, 5 * round).await;
            set_faults(
                fleet,
                FaultSettings {
                    lose_replies: 2,
                    ..FaultSettings::default()
                },
            )
            .await;
        }
    })
    .await;
    assert_completed_without_violations(&fleet, &logs).await;
}

/// Guards against lost work while the platform is slow. Calls may wait or be refused.
#[actix_web::test]
async fn a_slow_platform_loses_nothing() {
    let mut fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let logs = run_with_faults(&mut fleet, plans("slow", 6, 4), async |fleet| {
        wait_for_runs(fleet, 2, 4).await;
        set_faults(
            fleet,
            FaultSettings {
                latency_ms: 300,
                ..FaultSettings::default()
            },
        )
        .await;
        wait_for_runs(fleet, 2, 14).await;
        set_faults(fleet, FaultSettings::default()).await;
    })
    .await;
    assert_completed_without_violations(&fleet, &logs).await;
}

/// Guards against the loss of turns when the owner is killed during an outage, after it completed answers whose turns the
/// platform has not stored.
#[actix_web::test]
async fn a_turn_of_an_outage_survives_the_death_of_its_owner() {
    let mut fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let caller = fleet.caller(0).expect("an entry");
    let program = caller
        .open_program(None, serde_json::json!({}))
        .await
        .expect("a program");
    let down = FaultSettings {
        outage: OutageMode::Refuse,
        ..FaultSettings::default()
    };
    set_faults(&fleet, down).await;
    for turn in 0..3 {
        let body = chat_body("kalo", &format!("turn {turn}"), 10, true);
        let reply = caller.chat(Some(program), &body).await.expect("an answer");
        assert!(reply.is_done(), "{reply:?}");
    }
    fleet.entry(0).signal(StopSignal::Kill).expect("the entry runs");
    set_faults(&fleet, FaultSettings::default()).await;
    let other = fleet.caller(1).expect("an entry");
    let mut turns = serde_json::Value::Null;
    wait_until("the program has a new owner", async || {
        let reply = other.show_program(program).await;
        turns = reply.map_or(serde_json::Value::Null, |reply| reply.json()["turns"].clone());
        turns.is_number()
    })
    .await;
    assert_eq!(turns, 3, "the turns of the outage are in the history");
}
