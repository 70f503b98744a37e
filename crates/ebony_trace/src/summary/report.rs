//! The figures of a replay.

use ebony_types::{ProblemCode, RunVerdict};
use serde::{Deserialize, Serialize};

use crate::format::{BoundLimit, OutcomeBound, OutcomeMeasure};
use crate::summary::distribution::{DistributionSummary, round_figure};
use crate::summary::fairness::CallerReport;
use crate::summary::outcome::CacheOutcome;

/// How programs ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgramCounts {
    /// Programs in the trace.
    pub total: u64,
    /// Programs that got their last answer.
    pub finished: u64,
    /// Programs that gave up.
    pub failed: u64,
    /// Programs without an end: sub-agents that never started, or programs that the driver left open.
    pub open: u64,
}

/// How sent calls ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallCounts {
    /// Sent calls, repeats included.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Calls rejected as not run.
    pub refused: u64,
    /// Calls that ended with another error.
    pub failed: u64,
    /// Connections that ended before the answer did.
    pub disconnected: u64,
}

/// The number of problems with one code and verdict.
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

/// Broken promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ViolationCounts {
    /// Calls without a whole answer and without an error, and answered calls that no target ran.
    pub lost: u64,
    /// Repeated runs of calls that must run at most once.
    pub duplicated: u64,
    /// Runs of a program's step after a later step.
    pub order: u64,
    /// Calls that ran although the caller was told that they did not.
    pub false_not_run: u64,
}

/// Whether a stated outcome was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeVerdict {
    /// The bound is kept.
    Kept,
    /// The bound is broken.
    Breached,
    /// The driver did not report what the measure needs.
    NotMeasured,
}

/// One stated outcome and what was measured.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeResult {
    /// The measure.
    pub measure: OutcomeMeasure,
    /// Its bound.
    pub limit: BoundLimit,
    /// The measured value, in the unit of the measure.
    pub measured: Option<f64>,
    /// Whether the bound is kept.
    pub verdict: OutcomeVerdict,
}

/// The figures of one replay. Latencies are in milliseconds of the trace, slowdowns in percent.
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
    /// Latency over the critical path at an unloaded engine, of finished programs; 100 is unloaded.
    pub slowdown: DistributionSummary,
    /// Time to the first token.
    pub first_token: DistributionSummary,
    /// Time between tokens.
    #[serde(default)]
    pub token_interval: DistributionSummary,
    /// What became of cached tokens, if the driver reported it.
    pub cache: Option<CacheOutcome>,
    /// Problems by code and verdict, in the order of the documentation of codes.
    pub problems: Vec<CodeCount>,
    /// Callers, in the order of their names.
    pub callers: Vec<CallerReport>,
    /// Jain's fairness index over the speeds of callers.
    pub fairness: f64,
    /// Broken promises.
    pub violations: ViolationCounts,
    /// Whether targets reported what they ran. Without it, only lost calls are known.
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

    /// Compares the report with a stated outcome.
    pub(super) fn check(&self, bound: &OutcomeBound) -> OutcomeResult {
        let measured = self.measured(bound.measure).map(round_figure);
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
