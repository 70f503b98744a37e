//! Stated outcomes of a replay.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is measured. The name states the unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeMeasure {
    /// Program latency at the 95th percentile, in milliseconds of the trace.
    ProgramLatencyP95Ms,
    /// Latency of a program over its critical path at an unloaded engine, at the 95th percentile; 100 is unloaded.
    SlowdownP95Percent,
    /// The share of sent calls that were rejected as not run.
    RefusedPercent,
    /// The share of programs that did not end with their last answer.
    FailedProgramsPercent,
    /// The share of cached tokens that were evicted unused or never reused.
    WastedCachePercent,
    /// Jain's fairness index over callers; 100 is equal treatment.
    FairnessPercent,
    /// Calls without a whole answer and without an error.
    LostCalls,
    /// Repeated runs of calls that must run at most once.
    DuplicatedRuns,
    /// Runs of a program's step after a later step.
    OrderViolations,
    /// Calls that ran although the caller was told that they did not.
    FalseNotRun,
}

impl OutcomeMeasure {
    /// Returns the name for people.
    pub fn title(self) -> &'static str {
        match self {
            Self::ProgramLatencyP95Ms => "program latency p95 (ms)",
            Self::SlowdownP95Percent => "slowdown p95 (%)",
            Self::RefusedPercent => "refused calls (%)",
            Self::FailedProgramsPercent => "failed programs (%)",
            Self::WastedCachePercent => "wasted cache (%)",
            Self::FairnessPercent => "fairness between callers (%)",
            Self::LostCalls => "lost calls",
            Self::DuplicatedRuns => "duplicated runs",
            Self::OrderViolations => "order violations",
            Self::FalseNotRun => "false not-run verdicts",
        }
    }
}

/// The bound on a measure, in its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoundLimit {
    /// The measure must not be higher.
    AtMost(u32),
    /// The measure must not be lower.
    AtLeast(u32),
}

impl BoundLimit {
    /// Returns `true` if `measured` keeps the bound.
    ///
    /// ```
    /// use ebony_trace::BoundLimit;
    ///
    /// assert!(BoundLimit::AtMost(5).allows(5.0));
    /// assert!(!BoundLimit::AtLeast(80).allows(79.9));
    /// assert!(!BoundLimit::AtMost(5).allows(f64::NAN));
    /// ```
    pub fn allows(self, measured: f64) -> bool {
        match self {
            Self::AtMost(limit) => measured <= f64::from(limit),
            Self::AtLeast(limit) => measured >= f64::from(limit),
        }
    }
}

impl fmt::Display for BoundLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(limit) => write!(formatter, "at most {limit}"),
            Self::AtLeast(limit) => write!(formatter, "at least {limit}"),
        }
    }
}

/// One stated outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeBound {
    /// What is measured.
    pub measure: OutcomeMeasure,
    /// Its bound.
    pub limit: BoundLimit,
}

impl OutcomeBound {
    /// Creates an upper bound.
    pub const fn at_most(measure: OutcomeMeasure, limit: u32) -> Self {
        Self {
            measure,
            limit: BoundLimit::AtMost(limit),
        }
    }

    /// Creates a lower bound.
    pub const fn at_least(measure: OutcomeMeasure, limit: u32) -> Self {
        Self {
            measure,
            limit: BoundLimit::AtLeast(limit),
        }
    }
}
