//! Orders the runs that targets report.

use ebony_trace::StepKey;

use crate::hooks::TargetRun;
use crate::program_book::ProgramBook;

/// Merges the runs of all targets since the last report. The order of each target is kept; between targets it is
/// unknown, so that the earliest step goes first. A step that ran too early shows if the same target ran both steps, or
/// if there was a report between them.
pub(crate) fn merge_runs(book: &ProgramBook, runs: Vec<Vec<TargetRun>>) -> Vec<StepKey> {
    let steps = |list: Vec<TargetRun>| -> Vec<StepKey> {
        let steps = list.iter().filter_map(|run| step_of(book, run));
        steps.collect()
    };
    let mut lists: Vec<_> = runs
        .into_iter()
        .map(|list| steps(list).into_iter().peekable())
        .collect();
    let mut merged = Vec::new();
    loop {
        let heads = lists.iter_mut().enumerate();
        let first = heads
            .filter_map(|(index, list)| list.peek().map(|step| (*step, index)))
            .min();
        let Some((_, index)) = first else {
            return merged;
        };
        merged.extend(lists[index].next());
    }
}

fn step_of(book: &ProgramBook, run: &TargetRun) -> Option<StepKey> {
    match run {
        TargetRun::Model { digest } => book.step_of(digest),
        TargetRun::Service { path } => path.rsplit('/').next()?.parse().ok(),
    }
}
