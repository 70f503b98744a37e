//! Tests that planned stops fail no call, with a rolling replacement of every process under load.

use crate::common::{assert_completed_without_violations, plans, run_with_faults, slow_fleet};
use ebony_fleet::{CallerOutcome, ProgramLog, RunningFleet};

/// Returns the failed attempts of turns and orders.
fn failures(logs: &[ProgramLog]) -> Vec<String> {
    let turns = logs
        .iter()
        .flat_map(|log| log.turns.iter().map(|turn| &turn.news));
    let orders = logs
        .iter()
        .flat_map(|log| log.orders.iter().flat_map(|order| &order.attempts));
    let failed = turns
        .chain(orders)
        .filter(|outcome| !matches!(outcome, CallerOutcome::Whole | CallerOutcome::NotSent));
    failed.map(|outcome| format!("{outcome:?}")).collect()
}

/// Guards against a planned stop that cuts a stream, loses a call, or refuses work that another process could do.
#[actix_web::test]
async fn rolling_replacement_of_all_processes_fails_no_call() {
    let mut options = slow_fleet();
    options.engines = 3;
    options.services = 2;
    let mut fleet = RunningFleet::start(options).await.expect("the fleet starts");
    let mut load = plans("rolling", 8, 40);
    for plan in &mut load {
        plan.order_every = 3;
    }
    let logs = run_with_faults(&mut fleet, load, async |fleet| {
        for entry in 0..3 {
            fleet.route_without(&[entry]).expect("addresses");
            fleet
                .restart_entry_gracefully(entry)
                .await
                .expect("the entry is replaced");
            fleet.route_to_all().expect("addresses");
        }
        for side in 0..5 {
            fleet
                .restart_side_gracefully(side)
                .await
                .expect("the side process is replaced");
        }
    })
    .await;
    assert_completed_without_violations(&fleet, &logs).await;
    assert_eq!(failures(&logs), Vec::<String>::new());
}
