//! Orders the runs that targets report.

use std::collections::{BTreeMap, BTreeSet};

use ebony_trace::StepKey;

use crate::hooks::TargetRun;
use crate::program_book::ProgramBook;

/// The runs of one program.
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

    /// Takes the runs in front of which no run is missing.
    fn take_ready(&mut self) -> Vec<StepKey> {
        let missing = self.answered.difference(&self.seen).next().copied();
        let is_ready = |key: &StepKey| missing.is_none_or(|missing| *key < missing);
        let ready = self.pending.iter().take_while(|key| is_ready(key)).count();
        self.pending.drain(..ready).collect()
    }
}

/// Puts the runs of different targets in order. Its size is that of the trace, and of the runs.
///
/// Targets are read one after another, so that a step may be reported before an earlier one. An answered step ran
/// before its answer, and later steps were sent after it: its first run goes in front of theirs, which wait for it.
/// Further runs of a step, and runs of steps without an answer, stay where they were reported.
#[derive(Debug, Default)]
pub(crate) struct RunOrder {
    programs: BTreeMap<u32, ProgramRuns>,
}

impl RunOrder {
    /// Notes that a step was answered.
    pub(crate) fn note_answer(&mut self, key: StepKey) {
        self.programs.entry(key.program).or_default().answered.insert(key);
    }

    /// Takes what targets reported and returns the runs whose order is known.
    pub(crate) fn take(&mut self, book: &ProgramBook, runs: Vec<Vec<TargetRun>>) -> Vec<StepKey> {
        for run in runs.iter().flatten() {
            if let Some(key) = step_of(book, run) {
                self.programs.entry(key.program).or_default().add(key);
            }
        }
        let programs = self.programs.values_mut();
        programs.flat_map(ProgramRuns::take_ready).collect()
    }

    /// Returns the remaining runs, at the end.
    pub(crate) fn finish(&mut self) -> Vec<StepKey> {
        let programs = self.programs.values_mut();
        let pending = programs.map(|program| std::mem::take(&mut program.pending));
        pending.flatten().collect()
    }
}

fn step_of(book: &ProgramBook, run: &TargetRun) -> Option<StepKey> {
    match run {
        TargetRun::Model { digest } => book.step_of(digest),
        TargetRun::Service { path } => path.rsplit('/').next()?.parse().ok(),
    }
}
