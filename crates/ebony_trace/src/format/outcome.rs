//! Outcomes that a trace states for its replay: measures and their bounds.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A measured quantity. Names end in the unit; those without one are counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeMeasure {
    /// 95th percentile of program latency, in milliseconds of trace time.
    ProgramLatencyP95Ms,
    /// 95th percentile of program latency relative to the critical path on unloaded engines; 100 is unloaded.
    SlowdownP95Percent,
    /// Share of sent calls that were rejected without being run.
    RefusedPercent,
    /// Share of programs that did not receive their last answer.
    FailedProgramsPercent,
    /// Share of cached tokens that were evicted unused or never reused.
    WastedCachePercent,
    /// Jain's fairness index over callers; 100 is equal treatment.
    FairnessPercent,
    /// Calls that got neither a complete answer nor an error.
    LostCalls,
    /// Repeated runs of calls that must run at most once.
    DuplicatedRuns,
    /// Runs of a program's step after a later step of the program had run.
    OrderViolations,
    /// Calls that ran although the caller was told that they had not.
    FalseNotRun,
}

impl OutcomeMeasure {
    /// Returns the display name.
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
    /// Returns `true` if `measured` is within the bound. NaN never is.
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

/// A stated outcome: a measure and its bound.
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
