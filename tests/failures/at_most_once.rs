//! Tests that non-idempotent calls run at most once, and that a call reported as "not run" did not run.

use crate::common::{assert_completed_without_violations, fast_fleet, plans, run_with_faults, wait_until};
use ebony_fleet::{RunningFleet, StopSignal};
use futures_util::future::join_all;

/// Guards against several runs when the same key arrives at three entries at once, as from a caller that retries too
/// early.
#[actix_web::test]
async fn a_key_at_several_entries_runs_once() {
    let fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    for round in 0..20 {
        let key = format!("race-{round}");
        let calls = (0..3).map(|entry| {
            let caller = fleet.caller(entry).expect("an entry");
            let key = key.clone();
            async move {
                caller
                    .service("POST", "orders/commit", None, Some(&key), "same")
                    .await
            }
        });
        let replies = join_all(calls).await;
        let answered = replies
            .iter()
            .flatten()
            .filter(|reply| reply.status == 200)
            .count();
        assert!(answered >= 1, "{replies:?}");
        for reply in replies.iter().flatten().filter(|reply| reply.status != 200) {
            assert_eq!(reply.code().as_deref(), Some("key_in_use"), "{reply:?}");
        }
        let runs = fleet
            .service(0)
            .expect("a service")
            .runs_of(&key)
            .await
            .expect("counts");
        assert_eq!(runs, 1, "{key}");
    }
}

/// Guards against a key that is reused for a different request: it must neither run nor receive the first answer.
#[actix_web::test]
async fn a_key_with_another_body_is_refused() {
    let fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let first = fleet.caller(0).expect("an entry");
    let reply = first
        .service("POST", "orders/commit", None, Some("reuse"), "first")
        .await
        .expect("an answer");
    assert_eq!(reply.status, 200, "{reply:?}");
    let second = fleet.caller(1).expect("an entry");
    let reply = second
        .service("POST", "orders/commit", None, Some("reuse"), "second")
        .await
        .expect("an answer");
    assert_eq!(
        (reply.status, reply.code().as_deref()),
        (409, Some("key_reused")),
        "{reply:?}"
    );
    assert_eq!(reply.verdict().as_deref(), Some("not_run"));
    let again = second
        .service("POST", "orders/commit", None, Some("reuse"), "first")
        .await
        .expect("an answer");
    assert_eq!(
        (again.status, &again.body),
        (200, &first_body(&fleet).await),
        "the stored answer"
    );
    assert_eq!(
        fleet
            .service(0)
            .expect("a service")
            .runs_of("reuse")
            .await
            .expect("counts"),
        1
    );
}

async fn first_body(fleet: &RunningFleet) -> bytes::Bytes {
    let caller = fleet.caller(2).expect("an entry");
    caller
        .service("POST", "orders/commit", None, Some("reuse"), "first")
        .await
        .expect("an answer")
        .body
}

/// Guards against a second run when the service's answer is lost after the run and the caller retries.
#[actix_web::test]
async fn a_lost_answer_does_not_run_the_call_again() {
    let fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let service = fleet.service(0).expect("a service");
    let mut faults = service.faults().await.expect("faults");
    faults.lose_replies = 1;
    service.set_faults(faults).await.expect("faults are set");
    let caller = fleet.caller(0).expect("an entry");
    for _ in 0..3 {
        let reply = caller
            .service("POST", "orders/commit", None, Some("lost"), "x")
            .await
            .expect("an answer");
        assert_eq!(reply.verdict().as_deref(), Some("may_have_run"), "{reply:?}");
    }
    assert_eq!(service.runs_of("lost").await.expect("counts"), 1);
}

/// Guards against a second run when the owner is killed between dispatch and answer and the caller retries at another
/// entry with the same key.
#[actix_web::test]
async fn an_owner_that_dies_after_dispatch_does_not_run_the_call_again() {
    let mut fleet = RunningFleet::start(fast_fleet()).await.expect("the fleet starts");
    let service = fleet.service(0).expect("a service");
    service
        .change(|settings| settings.hang_next = 1)
        .await
        .expect("settings are set");
    let caller = fleet.caller(0).expect("an entry");
    let program = caller
        .open_program(None, serde_json::json!({}))
        .await
        .expect("a program");
    let call = actix_web::rt::spawn(async move {
        caller
            .service("POST", "orders/commit", Some(program), Some("orphan"), "x")
            .await
    });
    wait_until("the service runs the call", async || {
        service.runs_of("orphan").await.expect("counts") == 1
    })
    .await;
    fleet.entry(0).signal(StopSignal::Kill).expect("the entry runs");
    let first = call.await.expect("the caller does not panic");
    assert!(first.is_err() || first.is_ok_and(|reply| reply.verdict().as_deref() == Some("may_have_run")));
    let other = fleet.caller(1).expect("an entry");
    wait_until("the program has a new owner", async || {
        other
            .show_program(program)
            .await
            .is_ok_and(|reply| reply.status == 200)
    })
    .await;
    for _ in 0..3 {
        let reply = other
            .service("POST", "orders/commit", Some(program), Some("orphan"), "x")
            .await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.verdict().as_deref(), Some("may_have_run"), "{reply:?}");
    }
    assert_eq!(service.runs_of("orphan").await.expect("counts"), 1);
}

/// Guards against orders that run twice when side processes of the service are killed repeatedly while orders run.
#[actix_web::test]
async fn side_processes_that_die_do_not_run_orders_twice() {
    let mut options = fast_fleet();
    options.services = 2;
    let mut fleet = RunningFleet::start(options).await.expect("the fleet starts");
    let mut orders = plans("side-death", 6, 12);
    for plan in &mut orders {
        plan.order_every = 1;
    }
    let logs = run_with_faults(&mut fleet, orders, async |fleet| {
        for round in 0..4 {
            crate::common::wait_for_runs(fleet, 2, 10 * (round + 1)).await;
            let side = 2 + usize::try_from(round % 2).unwrap_or(0);
            fleet
                .kill_and_restart_side(side)
                .await
                .expect("a new side process starts");
        }
    })
    .await;
    assert_completed_without_violations(&fleet, &logs).await;
}
