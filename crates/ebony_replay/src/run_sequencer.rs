//! Restores the order of the runs that targets report.

use std::collections::{BTreeMap, BTreeSet};

use ebony_trace::StepKey;

use crate::hooks::TargetRun;
use crate::program_table::ProgramTable;

/// Reported runs of one program.
#[derive(Debug, Default)]
struct ProgramRuns {
    answered: BTreeSet<StepKey>,
    seen: BTreeSet<StepKey>,
    pending: Vec<StepKey>,
}

impl ProgramRuns {
    fn add(&mut self, key: StepKey) {
        let is_first = self.seen.insert(key);
        let later = self.pending.iter().position(|pending| *pending > key);
        match later {
            Some(position) if is_first && self.answered.contains(&key) => self.pending.insert(position, key),
            _ => self.pending.push(key),
        }
    }

    /// Removes and returns the runs that no missing run of an answered step precedes.
    fn take_ready(&mut self) -> Vec<StepKey> {
        let missing = self.answered.difference(&self.seen).next().copied();
        let is_ready = |key: &StepKey| missing.is_none_or(|missing| *key < missing);
        let ready = self.pending.iter().take_while(|key| is_ready(key)).count();
        self.pending.drain(..ready).collect()
    }
}

/// Brings the runs that different targets report into order. Its memory is proportional to the size of the trace and the
/// number of pending runs.
///
/// Targets are polled one after another, so that a run may be reported before that of an earlier step. An answered step
/// must have run before its answer, and later steps were sent only after the answer. Its first run is therefore placed
/// before those of later steps, which are held back until it is reported. Further runs of a step, and runs of steps
/// without an answer, stay in the reported order.
#[derive(Debug, Default)]
pub(crate) struct RunSequencer {
    programs: BTreeMap<u32, ProgramRuns>,
}

impl RunSequencer {
    /// Records that a step was answered.
    pub(crate) fn record_answer(&mut self, key: StepKey) {
        self.programs.entry(key.program).or_default().answered.insert(key);
    }

    /// Adds reported runs, and removes and returns the runs whose order is known.
    pub(crate) fn take(&mut self, table: &ProgramTable, runs: Vec<Vec<TargetRun>>) -> Vec<StepKey> {
        for run in runs.iter().flatten() {
            if let Some(key) = step_of(table, run) {
                self.programs.entry(key.program).or_default().add(key);
            }
        }
        let programs = self.programs.values_mut();
        programs.flat_map(ProgramRuns::take_ready).collect()
    }

    /// Removes and returns the remaining runs at the end of the replay.
    pub(crate) fn finish(&mut self) -> Vec<StepKey> {
        let programs = self.programs.values_mut();
        let pending = programs.map(|program| std::mem::take(&mut program.pending));
        pending.flatten().collect()
    }
}

fn step_of(table: &ProgramTable, run: &TargetRun) -> Option<StepKey> {
    match run {
        TargetRun::Model { digest } => table.step_of(digest),
        TargetRun::Service { path } => path.rsplit('/').next()?.parse().ok(),
    }
}
