//! Collects what a driver reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ebony_types::{CallerName, ProblemCode, RunVerdict};

use crate::format::TraceDocument;
use crate::plan::{ProgramEnd, ProgramOutcome, StepEnd, StepKey};
use crate::summary::audit::RunAudit;
use crate::summary::distribution::{ValueRecorder, round_figure};
use crate::summary::fairness::{CallerSums, jain_index};
use crate::summary::outcome::{CacheOutcome, CallOutcome};
use crate::summary::report::{CallCounts, CodeCount, ProgramCounts, ReplayReport};
use crate::timeline::TraceTimeline;

/// The slowdown of an unloaded engine.
const UNLOADED_PERCENT: u128 = 100;

/// Says why a report of a driver is refused.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SummaryError {
    /// The trace has no such step.
    #[error("the trace has no call {0}")]
    UnknownStep(StepKey),
    /// The trace has no such program, or its end was reported before.
    #[error("program {0} is unknown or has ended before")]
    UnknownProgram(u32),
    /// A histogram could not be made.
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// The result of a report.
pub type Result<T, E = SummaryError> = std::result::Result<T, E>;

/// Collects the outcomes of a replay. Its memory is bounded by the size of the trace.
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
/// summary.record_call(&CallOutcome { key, end: StepEnd::Answered, is_repeated: false, first_token })?;
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
    /// Calls by the positions of code and verdict, which bound the table.
    problems: BTreeMap<(usize, usize), u64>,
    callers: BTreeMap<CallerName, CallerSums>,
    audit: RunAudit,
    has_target_runs: bool,
}

/// Verdicts in the order of reports.
const VERDICTS: [RunVerdict; 3] = [RunVerdict::NotRun, RunVerdict::MayHaveRun, RunVerdict::Ran];

impl ReplaySummary {
    /// Creates an empty summary of a run.
    ///
    /// # Errors
    ///
    /// Returns [`SummaryError::Histogram`] if a histogram cannot be made, which its fixed bounds rule out.
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

    /// Takes that a target began to run a step. The order of these reports for one program is that of the runs.
    ///
    /// # Errors
    ///
    /// Returns [`SummaryError::UnknownStep`] if the trace has no such step.
    pub fn record_run(&mut self, key: StepKey) -> Result<()> {
        let is_known = self.audit.record_run(key);
        self.has_target_runs |= is_known;
        is_known.then_some(()).ok_or(SummaryError::UnknownStep(key))
    }

    /// Takes the end of a sent call.
    ///
    /// # Errors
    ///
    /// Returns [`SummaryError::UnknownStep`] if the trace has no such step.
    pub fn record_call(&mut self, outcome: &CallOutcome) -> Result<()> {
        let is_known = self
            .audit
            .record_end(outcome.key, outcome.end, outcome.is_repeated);
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

    /// Takes tokens of an answer that arrived together, and the time for each of them since those before, in the time of
    /// the replay.
    pub fn record_tokens(&mut self, interval: Duration, tokens: u32) {
        let interval = self.document.header().time_scale.to_trace(interval);
        self.token_interval
            .record_times(interval.as_millis() as u64, u64::from(tokens));
    }

    /// Takes the end of a program.
    ///
    /// # Errors
    ///
    /// Returns [`SummaryError::UnknownProgram`] if the trace has no such program or it has ended before.
    pub fn record_program(&mut self, outcome: &ProgramOutcome) -> Result<()> {
        let position = outcome.program as usize;
        match self.has_ended.get_mut(position) {
            Some(has_ended) if !*has_ended => *has_ended = true,
            _ => return Err(SummaryError::UnknownProgram(outcome.program)),
        }
        let program = &self.document.programs()[position];
        let path = self.timeline.paths[position];
        let sums = self.callers.entry(program.caller.clone()).or_default();
        sums.programs += 1;
        if outcome.end != ProgramEnd::Finished {
            self.programs.failed += 1;
            return Ok(());
        }
        self.programs.finished += 1;
        sums.finished += 1;
        sums.path += path;
        sums.latency += outcome.latency;
        self.latency.record(outcome.latency.as_millis() as u64);
        let slowdown = outcome.latency.as_micros() * UNLOADED_PERCENT / path.as_micros().max(1);
        self.slowdown.record(u64::try_from(slowdown).unwrap_or(u64::MAX));
        Ok(())
    }

    /// Adds what became of the tokens in one engine's prefix cache.
    pub fn record_cache(&mut self, outcome: CacheOutcome) {
        self.cache = Some(self.cache.unwrap_or_default().plus(outcome));
    }

    /// Returns the figures so far.
    pub fn report(&self) -> ReplayReport {
        let header = self.document.header();
        let callers = self.callers.iter();
        let callers: Vec<_> = callers.map(|(caller, sums)| sums.report(caller)).collect();
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
            fairness: round_figure(jain_index(&speeds)),
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
