//! Scheduling decisions: queueing, placement, prefix cache model, admission, retention, retries and model loading.
//!
//! Every module takes events and the current time and returns decisions. This crate does no I/O, reads no clock and has
//! no random number generator of its own; decisions that sample take a seeded generator as an argument.

pub mod admission;
pub mod cache_model;
pub mod drain_rate;
pub mod loading;
pub mod options;
pub mod placement;
pub mod queue;
pub mod retention;
pub mod retry;
pub mod speed;

/// Re-exports the types that most users of this crate need.
pub mod prelude {
    pub use crate::admission::{
        AdmissionController, AdmissionDecision, AdmissionOptions, FirstTokenSample, ProgramArrival,
        WaitOutcome,
    };
    pub use crate::cache_model::{CacheModel, CacheOptions, CachedPrefix};
    pub use crate::loading::{LoadDecision, LoadPlanner, LoadingOptions};
    pub use crate::options::{PolicyName, PolicyOptions};
    pub use crate::placement::{
        CallWork, NewTarget, PlacementChoice, PlacementError, PlacementOptions, PlacementPlanner,
        PlacementRequest, PlacementRule, PoolName, TargetKey, TargetState,
    };
    pub use crate::queue::{CallQueue, QueueKey, QueueOptions, QueueOrder, QueueRefusal, QueuedCall};
    pub use crate::retention::{
        HeldOrder, HeldTable, HoldDecision, HoldPlan, ListedProgram, MemoryPressure, PauseKind, PauseModel,
        RetentionOptions,
    };
    pub use crate::retry::{CallRepeat, HedgeRule, RetryBudget, RetryDecision, RetryOptions};
    pub use crate::speed::EngineSpeed;
}

pub use prelude::*;
