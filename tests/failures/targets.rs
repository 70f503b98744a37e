//! Tests targets: requests that crash them, memory that they hold, lost failure domains and planned departures.

use ebony_fleet::caller::chat_body;
use ebony_fleet::{RunningFleet, StopSignal};
use serde_json::json;

use crate::common::{
    assert_completed_without_violations, fast_fleet, plans, run_with_faults, slow_fleet, wait_for_runs,
    wait_until,
};

/// Guards against a request that crashes each target that runs it and is sent again through other entries.
#[actix_web::test]
async fn a_crashing_request_stops_after_two_targets() {
    let mut options = fast_fleet();
    options.engines = 4;
    options.engine.crash_down_ms = 50;
    let fleet = RunningFleet::start(options).await.expect("the fleet starts");
    let body = chat_body("kalo", "please [[crash-engine]] now", 5, false);
    let mut last = None;
    for attempt in 0..12 {
        let caller = fleet.caller(attempt % 3).expect("an entry");
        last = caller.chat(None, &body).await.ok();
    }
    let mut crashes = 0;
    for engine in 0..4 {
        crashes += fleet
            .engine(engine)
            .expect("an engine")
            .stats()
            .await
            .expect("counts")
            .counts
            .crashes;
    }
    assert_eq!(crashes, 2, "the request ran on two targets and on no third");
    let last = last.expect("an answer");
    assert_eq!(last.code().as_deref(), Some("crashing_request"), "{last:?}");
    let other = chat_body("kalo", "an innocent request", 5, false);
    let mut reply = fleet
        .caller(0)
        .expect("an entry")
        .chat(None, &other)
        .await
        .expect("an answer");
    wait_until("an innocent request is served", async || {
        reply = fleet
            .caller(0)
            .expect("an entry")
            .chat(None, &other)
            .await
            .expect("an answer");
        reply.status == 200
    })
    .await;
}

/// Guards against engine memory that stays held for finished programs, also after their owner was killed.
#[actix_web::test]
async fn engines_hold_nothing_for_programs_that_are_gone() {
    let mut fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let logs = run_with_faults(&mut fleet, plans("memory", 6, 3), async |fleet| {
        wait_for_runs(fleet, 2, 10).await;
        fleet.entry(0).signal(StopSignal::Kill).expect("the entry runs");
        fleet.route_without(&[0]).expect("addresses");
    })
    .await;
    let caller = fleet.caller(1).expect("an entry");
    for log in &logs {
        let program = log.program.expect("a program");
        wait_until("the program is finished", async || {
            let reply = caller.finish_program(program).await;
            reply.is_ok_and(|reply| reply.status == 200 || reply.code().as_deref() == Some("program_ended"))
        })
        .await;
    }
    for engine in 0..2 {
        let engine = fleet.engine(engine).expect("an engine");
        wait_until("the engine holds nothing", async || {
            engine.stats().await.expect("counts").held_tokens == 0
        })
        .await;
    }
}

/// Guards against lost programs when a failure domain fails at once, with its entry and the side processes beside its
/// targets.
#[actix_web::test]
async fn a_lost_failure_domain_loses_no_program() {
    let mut options = slow_fleet();
    options.engines = 3;
    options.services = 3;
    let mut fleet = RunningFleet::start(options).await.expect("the fleet starts");
    let logs = run_with_faults(&mut fleet, plans("domain", 9, 5), async |fleet| {
        wait_for_runs(fleet, 3, 12).await;
        fleet.lose_domain(1).await.expect("the failure domain is lost");
        fleet.route_without(&[1]).expect("addresses");
    })
    .await;
    assert_completed_without_violations(&fleet, &logs).await;
}

/// Guards against new work for a target that is leaving before the host list says so.
#[actix_web::test]
async fn a_leaving_target_gets_no_new_work() {
    let mut fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    fleet
        .side(0)
        .signal(StopSignal::Terminate)
        .expect("the side process runs");
    let limit = std::time::Duration::from_secs(60);
    let status = fleet.side(0).wait(limit).await.expect("it stops");
    assert!(status.success(), "{status}");
    let caller = fleet.caller(0).expect("an entry");
    let program = caller.open_program(None, json!({})).await.expect("a program");
    let before = fleet
        .engine(0)
        .expect("an engine")
        .stats()
        .await
        .expect("counts")
        .counts
        .runs;
    for turn in 0..10 {
        let body = chat_body("kalo", &format!("turn {turn}"), 5, false);
        let reply = caller.chat(Some(program), &body).await.expect("an answer");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let after = fleet
        .engine(0)
        .expect("an engine")
        .stats()
        .await
        .expect("counts")
        .counts
        .runs;
    assert_eq!(before, after);
}
