//! Figures of a replay, and their check against stated outcomes.

use ebony_types::{ProblemCode, RunVerdict};
use serde::{Deserialize, Serialize};

use crate::format::{BoundLimit, OutcomeBound, OutcomeMeasure};
use crate::summary::distribution::{DistributionSummary, round_to_thousandths};
use crate::summary::fairness::CallerReport;
use crate::summary::outcome::CacheOutcome;

/// Numbers of programs by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgramCounts {
    /// Programs in the trace.
    pub total: u64,
    /// Programs that received their last answer.
    pub finished: u64,
    /// Programs that gave up.
    pub failed: u64,
    /// Programs that did not end: sub-agents that never started, and programs still running when the replay stopped.
    pub open: u64,
}

/// Numbers of sent calls by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallCounts {
    /// Sent calls, retries included.
    pub sent: u64,
    /// Calls with a complete answer.
    pub answered: u64,
    /// Calls that were rejected without being run.
    pub refused: u64,
    /// Calls that ended with another error or with a corrupt answer.
    pub failed: u64,
    /// Calls whose connection closed before the answer was complete.
    pub disconnected: u64,
}

/// Number of calls that ended with a problem of one code and verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CodeCount {
    /// The code.
    pub code: ProblemCode,
    /// The verdict.
    pub run: RunVerdict,
    /// The number of calls.
    pub calls: u64,
}

/// Violations of the guarantees for calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ViolationCounts {
    /// Calls that got neither a complete answer nor an error, and answered calls that no target ran.
    pub lost: u64,
    /// Repeated runs of calls that must run at most once.
    pub duplicated: u64,
    /// Runs of a program's step after a later step of the program had run.
    pub order: u64,
    /// Calls that ran although the caller was told that they had not.
    pub false_not_run: u64,
}

/// Whether a stated outcome was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeVerdict {
    /// The measured value is within the bound.
    Kept,
    /// The measured value is out of bounds.
    Breached,
    /// The driver did not report the data that the measure needs.
    NotMeasured,
}

/// A stated outcome with its measured value.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeResult {
    /// The measure.
    pub measure: OutcomeMeasure,
    /// Its bound.
    pub limit: BoundLimit,
    /// The measured value in the unit of the measure, if it could be measured.
    pub measured: Option<f64>,
    /// Whether the outcome was reached.
    pub verdict: OutcomeVerdict,
}

/// Figures of one replay. Latencies are in milliseconds of trace time, slowdowns in percent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ReplayReport {
    /// The name of the run, such as that of the policy.
    pub run: String,
    /// The name of the trace.
    pub trace: String,
    /// The deployment of the trace.
    pub deployment: String,
    /// How programs ended.
    pub programs: ProgramCounts,
    /// How sent calls ended.
    pub calls: CallCounts,
    /// Program latency of finished programs.
    pub latency: DistributionSummary,
    /// Latency of finished programs relative to the critical path on unloaded engines; 100 is unloaded.
    pub slowdown: DistributionSummary,
    /// Time to the first token.
    pub first_token: DistributionSummary,
    /// Time between tokens.
    #[serde(default)]
    pub token_interval: DistributionSummary,
    /// Use of cached tokens, if the driver reported it.
    pub cache: Option<CacheOutcome>,
    /// Calls with problems by code and verdict, in the order of [`ProblemCode::ALL`].
    pub problems: Vec<CodeCount>,
    /// Figures per caller, ordered by name.
    pub callers: Vec<CallerReport>,
    /// Jain's fairness index over the speeds of callers.
    pub fairness: f64,
    /// Violations of the guarantees for calls.
    pub violations: ViolationCounts,
    /// Whether targets reported their runs. If not, only lost calls are known.
    pub has_target_runs: bool,
    /// The stated outcomes.
    pub outcomes: Vec<OutcomeResult>,
}

impl ReplayReport {
    /// Returns the stated outcomes that were not reached or not measured.
    pub fn breaches(&self) -> impl Iterator<Item = &OutcomeResult> {
        let outcomes = self.outcomes.iter();
        outcomes.filter(|outcome| outcome.verdict != OutcomeVerdict::Kept)
    }

    /// Checks the report against a stated outcome.
    pub(super) fn check(&self, bound: &OutcomeBound) -> OutcomeResult {
        let measured = self.measured(bound.measure).map(round_to_thousandths);
        let verdict = match measured {
            None => OutcomeVerdict::NotMeasured,
            Some(value) if bound.limit.allows(value) => OutcomeVerdict::Kept,
            Some(_) => OutcomeVerdict::Breached,
        };
        OutcomeResult {
            measure: bound.measure,
            limit: bound.limit,
            measured,
            verdict,
        }
    }

    fn measured(&self, measure: OutcomeMeasure) -> Option<f64> {
        let has_finished = self.programs.finished > 0;
        let percent = |part: u64, whole: u64| (whole > 0).then(|| part as f64 * 100.0 / whole as f64);
        let of_targets = |count: u64| self.has_target_runs.then_some(count as f64);
        match measure {
            OutcomeMeasure::ProgramLatencyP95Ms => has_finished.then_some(self.latency.p95 as f64),
            OutcomeMeasure::SlowdownP95Percent => has_finished.then_some(self.slowdown.p95 as f64),
            OutcomeMeasure::RefusedPercent => percent(self.calls.refused, self.calls.sent),
            OutcomeMeasure::FailedProgramsPercent => {
                percent(self.programs.total - self.programs.finished, self.programs.total)
            }
            OutcomeMeasure::WastedCachePercent => self.cache?.wasted_percent(),
            OutcomeMeasure::FairnessPercent => (!self.callers.is_empty()).then_some(self.fairness * 100.0),
            OutcomeMeasure::LostCalls => (self.calls.sent > 0).then_some(self.violations.lost as f64),
            OutcomeMeasure::DuplicatedRuns => of_targets(self.violations.duplicated),
            OutcomeMeasure::OrderViolations => of_targets(self.violations.order),
            OutcomeMeasure::FalseNotRun => of_targets(self.violations.false_not_run),
        }
    }
}
