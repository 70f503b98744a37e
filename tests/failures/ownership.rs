//! Tests order, histories and budgets of programs when their owner is killed, paused or replaced.

use ebony_fleet::{RunningFleet, StopSignal};
use serde_json::json;

use crate::common::{
    assert_completed_without_violations, plans, run_with_faults, slow_fleet, wait_for_runs, wait_until,
};

/// Guards against a lost history or turn when the owner is killed without notice while calls are running.
#[actix_web::test]
async fn programs_survive_the_death_of_their_owner() {
    let mut fleet = RunningFleet::start(slow_fleet()).await.expect("the fleet starts");
    let logs = run_with_faults(&mut fleet, plans("death", 9, 5), async |fleet| {
        wait_for_runs(fleet, 2, 12).await;
        fleet.entry(0).signal(StopSignal::Kill).expect("the entry runs");
        fleet.route_without(&[0]).expect("addresses");
    })
    .await;
    fleet.kill_and_restart_entry(0).await.expect("a new entry starts");
    fleet.wait_ready().await.expect("the new entry is ready");
    assert_completed_without_violations(&fleet, &logs).await;
}

/// Guards against a paused owner that resumes after its lease has expired, answers calls from its buffers and appends to a
/// history that has a new owner.
#[actix_web::test]
async fn a_paused_owner_does_no_harm_when_it_wakes() {
    let mut fleet = RunningFleet::start(slow_fleet()).await.expect("the fleet starts");
    let paused = fleet.caller(0).expect("an entry");
    let program = paused.open_program(None, json!({})).await.expect("a program");
    let logs = run_with_faults(&mut fleet, plans("pause", 9, 5), async |fleet| {
        wait_for_runs(fleet, 2, 12).await;
        fleet.entry(0).signal(StopSignal::Pause).expect("the entry runs");
        fleet.route_without(&[0]).expect("addresses");
        let other = fleet.caller(1).expect("an entry");
        wait_until("the paused owner's program has another owner", async || {
            let reply = other.show_program(program).await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await;
        fleet
            .entry(0)
            .signal(StopSignal::Resume)
            .expect("the entry is paused");
    })
    .await;
    fleet.route_to_all().expect("addresses");
    assert_completed_without_violations(&fleet, &logs).await;
    let after = run_with_faults(&mut fleet, plans("after-pause", 3, 2), async |_| {}).await;
    assert_completed_without_violations(&fleet, &after).await;
}

/// Guards against lost programs when the successor is killed while it takes them over.
#[actix_web::test]
async fn programs_survive_two_owners_in_a_row() {
    let mut fleet = RunningFleet::start(slow_fleet()).await.expect("the fleet starts");
    let logs = run_with_faults(&mut fleet, plans("twice", 9, 6), async |fleet| {
        wait_for_runs(fleet, 2, 12).await;
        fleet.entry(0).signal(StopSignal::Kill).expect("the entry runs");
        fleet.route_without(&[0]).expect("addresses");
        fleet.kill_and_restart_entry(0).await.expect("a new entry starts");
        fleet.entry(1).signal(StopSignal::Kill).expect("the entry runs");
        fleet.route_without(&[1]).expect("addresses");
        fleet.kill_and_restart_entry(1).await.expect("a new entry starts");
        fleet.wait_ready().await.expect("the new entries are ready");
        fleet.route_to_all().expect("addresses");
    })
    .await;
    assert_completed_without_violations(&fleet, &logs).await;
}
