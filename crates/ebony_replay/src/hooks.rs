//! Connects a replay to the deployment that it runs against.

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

/// What a replay asks of the deployment.
#[async_trait(?Send)]
pub trait ReplayHooks {
    /// Causes a fault. Returns the URLs of entries to use from now on, if they have changed.
    async fn on_marker(&mut self, action: &MarkerAction) -> Result<Option<Vec<String>>>;

    /// Returns what targets began to run since the last time: a list for each target, in the order of its runs. `None`
    /// if targets don't tell.
    async fn take_runs(&mut self) -> Result<Option<Vec<Vec<TargetRun>>>>;

    /// Returns what became of the tokens in prefix caches, after the last call. `None` if engines don't tell.
    async fn read_cache(&mut self) -> Result<Option<CacheOutcome>>;
}

/// Knows nothing of the deployment, as a caller from outside: faults are left out, and only answers are checked.
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
