//! Collects the results that a driver reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ebony_types::{CallerName, ProblemCode, RunVerdict};

use crate::format::TraceDocument;
use crate::plan::{ProgramEnd, ProgramOutcome, StepEnd, StepKey};
use crate::summary::audit::RunAudit;
use crate::summary::distribution::{ValueRecorder, round_to_thousandths};
use crate::summary::fairness::{CallerTotals, jain_index};
use crate::summary::outcome::{CacheOutcome, CallOutcome};
use crate::summary::report::{CallCounts, CodeCount, ProgramCounts, ReplayReport};
use crate::timeline::TraceTimeline;

/// Slowdown on unloaded engines, in percent.
const UNLOADED_PERCENT: u128 = 100;

/// Reasons why a reported result is rejected.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SummaryError {
    /// The trace has no such step.
    #[error("the trace has no call {0}")]
    UnknownStep(StepKey),
    /// The trace has no such program, or its end was already reported.
    #[error("the trace has no program {0}, or its end was already reported")]
    UnknownProgram(u32),
    /// A histogram could not be created.
    #[error("cannot create a histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// The result of recording.
pub type Result<T, E = SummaryError> = std::result::Result<T, E>;

/// Collects the results of a replay. Its memory is bounded by the size of the trace.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use ebony_trace::prelude::*;
///
/// let document = Arc::new(TraceGenerator::open(DeploymentKind::Fanghi).generate(TraceScenario::Burst)?);
/// let mut summary = ReplaySummary::open("round robin", document)?;
/// let key = "0.0.model".parse()?;
/// summary.record_run(key)?;
/// let first_token = Some(Duration::from_millis(30));
/// summary.record_call(&CallOutcome { key, end: StepEnd::Answered, will_retry: false, first_token })?;
/// let latency = Duration::from_secs(20);
/// summary.record_program(&ProgramOutcome { program: 0, end: ProgramEnd::Finished, latency })?;
/// let report = summary.report();
/// assert_eq!(report.programs.finished, 1);
/// assert_eq!(report.first_token.max, 300);
/// assert!(report.breaches().count() > 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct ReplaySummary {
    run: String,
    document: Arc<TraceDocument>,
    timeline: TraceTimeline,
    has_ended: Vec<bool>,
    programs: ProgramCounts,
    calls: CallCounts,
    latency: ValueRecorder,
    slowdown: ValueRecorder,
    first_token: ValueRecorder,
    token_interval: ValueRecorder,
    cache: Option<CacheOutcome>,
    /// Number of calls by index in [`ProblemCode::ALL`] and in [`VERDICTS`], which bound the table.
    problems: BTreeMap<(usize, usize), u64>,
    callers: BTreeMap<CallerName, CallerTotals>,
    audit: RunAudit,
    has_target_runs: bool,
}

/// Verdicts in the order in which reports list them.
const VERDICTS: [RunVerdict; 3] = [RunVerdict::NotRun, RunVerdict::MayHaveRun, RunVerdict::Ran];

impl ReplaySummary {
    /// Creates an empty summary of a run.
    ///
    /// # Errors
    ///
    /// Returns [`SummaryError::Histogram`] if a histogram cannot be created. Its fixed bounds rule this out.
    pub fn open(run: &str, document: Arc<TraceDocument>) -> Result<Self> {
        let total = document.programs().len();
        Ok(Self {
            run: run.to_owned(),
            timeline: TraceTimeline::of(&document),
            has_ended: vec![false; total],
            programs: ProgramCounts {
                total: total as u64,
                ..ProgramCounts::default()
            },
            calls: CallCounts::default(),
            latency: ValueRecorder::open()?,
            slowdown: ValueRecorder::open()?,
            first_token: ValueRecorder::open()?,
            token_interval: ValueRecorder::open()?,
            cache: None,
            problems: BTreeMap::new(),
            callers: BTreeMap::new(),
            audit: RunAudit::open(&document),
            has_target_runs: false,
            document,
        })
    }

    /// Records that a target began to run a step. Runs of one program must be recorded in the order in which they began.
    ///
    /// # Errors
    ///
    /// Returns [`SummaryError::UnknownStep`] if the trace has no such step.
    pub fn record_run(&mut self, key: StepKey) -> Result<()> {
        let is_known = self.audit.record_run(key);
        self.has_target_runs |= is_known;
        is_known.then_some(()).ok_or(SummaryError::UnknownStep(key))
    }

    /// Records the end of a call that was sent.
    ///
    /// # Errors
    ///
    /// Returns [`SummaryError::UnknownStep`] if the trace has no such step.
    pub fn record_call(&mut self, outcome: &CallOutcome) -> Result<()> {
        let is_known = self
            .audit
            .record_end(outcome.key, outcome.end, outcome.will_retry);
        if !is_known {
            return Err(SummaryError::UnknownStep(outcome.key));
        }
        self.calls.sent += 1;
        match outcome.end {
            StepEnd::Answered => self.calls.answered += 1,
            StepEnd::Problem { code, run, .. } => self.count_problem(code, run),
            StepEnd::Disconnected => self.calls.disconnected += 1,
            StepEnd::Corrupt => self.calls.failed += 1,
        }
        if let Some(wait) = outcome.first_token {
            let wait = self.document.header().time_scale.to_trace(wait);
            self.first_token.record(wait.as_millis() as u64);
        }
        Ok(())
    }

    /// Records tokens of an answer that arrived together. `interval` is the time per token since the previous tokens, in
    /// replay time.
    pub fn record_tokens(&mut self, interval: Duration, tokens: u32) {
        let interval = self.document.header().time_scale.to_trace(interval);
        self.token_interval
            .record_times(interval.as_millis() as u64, u64::from(tokens));
    }

    /// Records the end of a program.
    ///
    /// # Errors
    ///
    /// Returns [`SummaryError::UnknownProgram`] if the trace has no such program or its end was already recorded.
    pub fn record_program(&mut self, outcome: &ProgramOutcome) -> Result<()> {
        let position = outcome.program as usize;
        match self.has_ended.get_mut(position) {
            Some(has_ended) if !*has_ended => *has_ended = true,
            _ => return Err(SummaryError::UnknownProgram(outcome.program)),
        }
        let program = &self.document.programs()[position];
        let path = self.timeline.paths[position];
        let totals = self.callers.entry(program.caller.clone()).or_default();
        totals.programs += 1;
        if outcome.end != ProgramEnd::Finished {
            self.programs.failed += 1;
            return Ok(());
        }
        self.programs.finished += 1;
        totals.finished += 1;
        totals.path += path;
        totals.latency += outcome.latency;
        self.latency.record(outcome.latency.as_millis() as u64);
        let slowdown = outcome.latency.as_micros() * UNLOADED_PERCENT / path.as_micros().max(1);
        self.slowdown.record(u64::try_from(slowdown).unwrap_or(u64::MAX));
        Ok(())
    }

    /// Adds the cache figures of one engine.
    pub fn record_cache(&mut self, outcome: CacheOutcome) {
        self.cache = Some(self.cache.unwrap_or_default().plus(outcome));
    }

    /// Returns the figures so far.
    pub fn report(&self) -> ReplayReport {
        let header = self.document.header();
        let callers = self.callers.iter();
        let callers: Vec<_> = callers.map(|(caller, totals)| totals.report(caller)).collect();
        let speeds: Vec<f64> = callers.iter().map(|caller| caller.speed).collect();
        let ended = self.programs.finished + self.programs.failed;
        let mut report = ReplayReport {
            run: self.run.clone(),
            trace: header.name.clone(),
            deployment: header.deployment.clone(),
            programs: ProgramCounts {
                open: self.programs.total - ended,
                ..self.programs
            },
            calls: self.calls,
            latency: self.latency.summary(),
            slowdown: self.slowdown.summary(),
            first_token: self.first_token.summary(),
            token_interval: self.token_interval.summary(),
            cache: self.cache,
            problems: self.problem_counts(),
            callers,
            fairness: round_to_thousandths(jain_index(&speeds)),
            violations: self.audit.violations(),
            has_target_runs: self.has_target_runs,
            outcomes: Vec::new(),
        };
        report.outcomes = header.outcomes.iter().map(|bound| report.check(bound)).collect();
        report
    }

    fn count_problem(&mut self, code: ProblemCode, run: RunVerdict) {
        match run {
            RunVerdict::NotRun => self.calls.refused += 1,
            RunVerdict::MayHaveRun | RunVerdict::Ran => self.calls.failed += 1,
        }
        let code = ProblemCode::ALL.iter().position(|other| *other == code);
        let run = VERDICTS.iter().position(|other| *other == run);
        if let (Some(code), Some(run)) = (code, run) {
            *self.problems.entry((code, run)).or_default() += 1;
        }
    }

    fn problem_counts(&self) -> Vec<CodeCount> {
        let count = |((code, run), calls): (&(usize, usize), &u64)| CodeCount {
            code: ProblemCode::ALL[*code],
            run: VERDICTS[*run],
            calls: *calls,
        };
        self.problems.iter().map(count).collect()
    }
}
