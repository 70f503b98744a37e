//! What the failure tests share.

use std::time::Duration;

use ebony_fleet::{FleetOptions, ProgramLog, ProgramPlan, ProgramRunner, RunningFleet};
use futures_util::future::join_all;

/// The longest wait for a condition.
const CONDITION_LIMIT: Duration = Duration::from_secs(60);

/// The pause between two looks at a condition.
const CONDITION_POLL: Duration = Duration::from_millis(10);

/// Returns a small fleet of real processes whose engines take long enough that faults meet calls under way.
pub(crate) fn slow_fleet() -> FleetOptions {
    let mut options = fast_fleet();
    options.engine.decode_us_per_token = 3_000;
    options
}

/// Returns a small fleet of real processes whose engines take no time.
pub(crate) fn fast_fleet() -> FleetOptions {
    FleetOptions::small(env!("CARGO_BIN_EXE_ebonyswitch"))
}

/// Returns plans of programs with orders and sub-agents.
pub(crate) fn plans(name: &str, count: u32, turns: u32) -> Vec<ProgramPlan> {
    (0..count)
        .map(|number| ProgramPlan::mixed(format!("{name}-{number}"), turns))
        .collect()
}

/// Runs programs beside a sequence of faults and returns what their callers saw.
pub(crate) async fn run_beside(
    fleet: &mut RunningFleet,
    plans: Vec<ProgramPlan>,
    faults: impl AsyncFnOnce(&mut RunningFleet),
) -> Vec<ProgramLog> {
    let directory = fleet.directory();
    let runners = plans.into_iter().enumerate().map(|(number, plan)| {
        let seed = u64::try_from(number).unwrap_or(0);
        actix_web::rt::spawn(ProgramRunner::new(plan, directory.clone(), seed).run())
    });
    let runners: Vec<_> = runners.collect();
    faults(fleet).await;
    join_all(runners)
        .await
        .into_iter()
        .map(|log| log.expect("a runner does not panic"))
        .collect()
}

/// Fails unless every program ended well and no invariant was violated.
pub(crate) async fn assert_sound(fleet: &RunningFleet, logs: &[ProgramLog]) {
    let report = fleet.audit(logs).await.expect("the audit runs");
    assert_eq!(report.violations(), 0, "{report}");
    for log in logs {
        assert!(
            log.is_complete,
            "{} did not end: {:?} {:?}",
            log.plan.label,
            log.turns.last(),
            log.orders.last()
        );
    }
}

/// Waits for a condition.
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(CONDITION_POLL).await;
        }
    };
    assert!(
        tokio::time::timeout(CONDITION_LIMIT, waiting).await.is_ok(),
        "waited too long: {what}"
    );
}

/// Waits until the engines of the fleet have begun the given number of runs in all.
pub(crate) async fn wait_for_runs(fleet: &RunningFleet, engines: usize, runs: u64) {
    wait_until("engines run calls", async || {
        let mut sum = 0;
        for engine in 0..engines {
            let seen = fleet
                .engine(engine)
                .expect("an engine")
                .seen()
                .await
                .expect("counts");
            sum += seen.counts.runs;
        }
        sum >= runs
    })
    .await;
}
