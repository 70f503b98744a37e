//! Helpers to retry requests while the shard of a program moves to another entry.

use std::time::Duration;

use ebony_types::{ProblemCode, ProblemReport};

/// The delay between two attempts to reach an owner.
const ROUTE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Returns the problem of a request whose owner was not found in time.
pub(super) fn unknown_owner() -> ProblemReport {
    let detail = "the owner of the program is not known at present";
    ProblemReport::not_run(ProblemCode::OwnerUnavailable, detail).retry_after(1)
}

/// Returns `true` if a request did not run because its shard is moving.
pub(super) fn is_shard_moving(problem: &ProblemReport) -> bool {
    let is_moving = matches!(
        problem.code,
        ProblemCode::OwnerUnavailable | ProblemCode::Draining
    );
    is_moving && problem.run.is_safe_to_retry()
}

/// Waits before the owner is looked up again.
pub(super) async fn wait_before_retry() {
    tokio::time::sleep(ROUTE_RETRY_DELAY).await;
}
