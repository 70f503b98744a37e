//! Helpers that the failure tests share.

use std::time::Duration;

use ebony_fleet::{FleetOptions, ProgramLog, ProgramPlan, ProgramRunner, RunningFleet};
use futures_util::future::join_all;

/// The longest wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval at which a condition is polled.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns options for a small fleet of real processes with slow engines, so that faults occur while calls are running.
pub(crate) fn slow_fleet() -> FleetOptions {
    let mut options = fast_fleet();
    options.engine.decode_us_per_token = 3_000;
    options
}

/// Returns options for a small fleet of real processes whose engines decode in no time.
pub(crate) fn fast_fleet() -> FleetOptions {
    FleetOptions::small(env!("CARGO_BIN_EXE_ebonyswitch"))
}

/// Returns plans for programs that make orders and run sub-agents.
pub(crate) fn plans(name: &str, count: u32, turns: u32) -> Vec<ProgramPlan> {
    (0..count)
        .map(|number| ProgramPlan::mixed(format!("{name}-{number}"), turns))
        .collect()
}

/// Runs programs while a sequence of faults is injected, and returns the logs of their callers.
pub(crate) async fn run_with_faults(
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

/// Fails unless every program completed and the audit found no violated invariant.
pub(crate) async fn assert_completed_without_violations(fleet: &RunningFleet, logs: &[ProgramLog]) {
    let report = fleet.audit(logs).await.expect("the audit runs");
    assert_eq!(report.violations(), 0, "{report}");
    for log in logs {
        assert!(
            log.is_complete,
            "{} did not complete: {:?} {:?}",
            log.plan.label,
            log.turns.last(),
            log.orders.last()
        );
    }
}

/// Polls a condition until it holds. Panics after [`CONDITION_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(CONDITION_POLL_INTERVAL).await;
        }
    };
    assert!(
        tokio::time::timeout(CONDITION_TIMEOUT, waiting).await.is_ok(),
        "timed out: {what}"
    );
}

/// Waits until the first `engines` engines have together started at least `runs` runs.
pub(crate) async fn wait_for_runs(fleet: &RunningFleet, engines: usize, runs: u64) {
    wait_until("engines run calls", async || {
        let mut sum = 0;
        for engine in 0..engines {
            let stats = fleet
                .engine(engine)
                .expect("an engine")
                .stats()
                .await
                .expect("counts");
            sum += stats.counts.runs;
        }
        sum >= runs
    })
    .await;
}
