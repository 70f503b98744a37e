//! Compares the runs that targets report with the results that callers received.

use crate::format::TraceDocument;
use crate::plan::{StepEnd, StepKey, StepKind};
use crate::summary::report::ViolationCounts;
use ebony_types::RunVerdict;

/// Runs and results of one step.
#[derive(Clone, Copy, Debug, Default)]
struct StepRecord {
    runs: u32,
    /// Attempts that ended.
    attempts: u32,
    /// Attempts that ended with an error stating that the call was not run.
    not_run_attempts: u32,
    is_answered: bool,
    is_lost: bool,
}

/// The steps of one program. Model and tool calls alternate, see [`step_index`].
#[derive(Clone, Debug)]
struct ProgramRecord {
    steps: Vec<StepRecord>,
    /// Whether each step must run at most once.
    runs_once: Vec<bool>,
    /// Highest index of a step that ran.
    last_run: usize,
}

/// Records runs and results of steps. Its memory is proportional to the size of the trace.
#[derive(Clone, Debug)]
pub(super) struct RunAudit {
    programs: Vec<ProgramRecord>,
    order_violations: u64,
    has_runs: bool,
}

impl RunAudit {
    pub(super) fn open(document: &TraceDocument) -> Self {
        let record = |program: &crate::format::TraceProgram| ProgramRecord {
            steps: vec![StepRecord::default(); program.turns.len() * 2],
            runs_once: program
                .turns
                .iter()
                .flat_map(|turn| [false, turn.call.as_ref().is_some_and(|call| call.runs_once)])
                .collect(),
            last_run: 0,
        };
        Self {
            programs: document.programs().iter().map(record).collect(),
            order_violations: 0,
            has_runs: false,
        }
    }

    /// Records that a target began to run a step. Returns `false` if the trace has no such step.
    pub(super) fn record_run(&mut self, key: StepKey) -> bool {
        let Some(program) = self.programs.get_mut(key.program as usize) else {
            return false;
        };
        let index = step_index(key);
        let Some(step) = program.steps.get_mut(index) else {
            return false;
        };
        step.runs += 1;
        self.has_runs = true;
        self.order_violations += u64::from(index < program.last_run);
        program.last_run = program.last_run.max(index);
        true
    }

    /// Records the end of an attempt. Returns `false` if the trace has no such step.
    pub(super) fn record_end(&mut self, key: StepKey, end: StepEnd, will_retry: bool) -> bool {
        let program = self.programs.get_mut(key.program as usize);
        let Some(step) = program.and_then(|program| program.steps.get_mut(step_index(key))) else {
            return false;
        };
        step.attempts += 1;
        match end {
            StepEnd::Answered => step.is_answered = true,
            StepEnd::Problem {
                run: RunVerdict::NotRun,
                ..
            } => step.not_run_attempts += 1,
            StepEnd::Problem { .. } => {}
            StepEnd::Corrupt => step.is_lost = true,
            StepEnd::Disconnected => step.is_lost |= !will_retry,
        }
        true
    }

    /// Counts violations. Results are checked against runs only if any runs were recorded.
    pub(super) fn violations(&self) -> ViolationCounts {
        let mut counts = ViolationCounts {
            order: self.order_violations,
            ..ViolationCounts::default()
        };
        for program in &self.programs {
            for (step, runs_once) in program.steps.iter().zip(&program.runs_once) {
                let never_ran = self.has_runs && step.is_answered && step.runs == 0;
                counts.lost += u64::from(step.is_lost || never_ran);
                if *runs_once {
                    counts.duplicated += u64::from(step.runs.saturating_sub(1));
                }
                let is_reported_not_run = step.attempts > 0 && step.not_run_attempts == step.attempts;
                counts.false_not_run += u64::from(is_reported_not_run && step.runs > 0);
            }
        }
        counts
    }
}

fn step_index(key: StepKey) -> usize {
    usize::from(key.turn) * 2 + usize::from(key.kind == StepKind::Tool)
}
