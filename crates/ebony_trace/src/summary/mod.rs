//! Figures of a replay, and their comparison with the outcomes that the trace states.

mod audit;
mod distribution;
mod fairness;
mod outcome;
mod replay_summary;
mod report;

pub use distribution::{CurvePoint, DistributionSummary};
pub use fairness::{CallerReport, jain_index};
pub use outcome::{CacheOutcome, CallOutcome};
pub use replay_summary::{ReplaySummary, Result, SummaryError};
pub use report::{
    CallCounts, CodeCount, OutcomeResult, OutcomeVerdict, ProgramCounts, ReplayReport, ViolationCounts,
};
