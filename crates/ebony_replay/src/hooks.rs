//! Hooks that connect a replay to the deployment that it runs against.

use async_trait::async_trait;
use ebony_trace::{CacheOutcome, MarkerAction};

/// The result of a hook.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

/// A call that a target began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetRun {
    /// A model call.
    Model {
        /// The digest of its messages, as [`ebony_standins::engine::ChatRequest::messages_digest`] defines it.
        digest: String,
    },
    /// A call to a service.
    Service {
        /// Method and path, such as `POST /replay/ours/12.3.tool`.
        path: String,
    },
}

/// Access of a replay to the deployment.
#[async_trait(?Send)]
pub trait ReplayHooks {
    /// Injects a fault or repairs it. Returns the URLs of the entries to use from now on, if they have changed.
    async fn on_marker(&mut self, action: &MarkerAction) -> Result<Option<Vec<String>>>;

    /// Returns the calls that targets began to run since the previous poll, usually in one list per target. Each list is
    /// in the order of its runs. `None` if targets don't report runs.
    async fn take_runs(&mut self) -> Result<Option<Vec<Vec<TargetRun>>>>;

    /// Returns the cache figures after the last call of the replay. `None` if engines don't report them.
    async fn read_cache(&mut self) -> Result<Option<CacheOutcome>>;
}

/// Hooks without access to the deployment: faults are not injected, and only answers are checked.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoHooks;

#[async_trait(?Send)]
impl ReplayHooks for NoHooks {
    async fn on_marker(&mut self, _: &MarkerAction) -> Result<Option<Vec<String>>> {
        Ok(None)
    }

    async fn take_runs(&mut self) -> Result<Option<Vec<Vec<TargetRun>>>> {
        Ok(None)
    }

    async fn read_cache(&mut self) -> Result<Option<CacheOutcome>> {
        Ok(None)
    }
}
