//! The memory of engines, in tokens of the calls that they run.
//!
//! An engine crashes if the calls that it holds exceed its memory.

use crate::board::{RunKey, TargetBoard, TargetEntry};
use crate::expected_time::ServiceView;
use crate::placement::{PlacementRequest, prompt_tokens};
use crate::prompt::PromptPart;

/// Whether a target has memory for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryRoom {
    /// It has, if other entries' calls are like the entry's own.
    Free,
    /// It may not have.
    Doubtful,
    /// The entry's own calls would exceed it.
    None,
}

/// Returns whether the target has memory for the call, given its capacity.
pub(crate) fn memory_room(
    target: &TargetEntry,
    call: &PlacementRequest<'_>,
    max_output: u64,
    capacity: u64,
    view: &ServiceView<'_>,
) -> MemoryRoom {
    let own = target.load.own_tokens();
    let needed = own + prompt_tokens(call) + max_output;
    let others = view.other_calls(target) * view.call_tokens;
    match () {
        // A call that exceeds the memory of an idle target is left to the target to refuse.
        () if own == 0 && others < 1.0 => MemoryRoom::Free,
        () if needed > capacity && own > 0 => MemoryRoom::None,
        () if needed as f64 + others > capacity as f64 => MemoryRoom::Doubtful,
        () => MemoryRoom::Free,
    }
}

impl TargetBoard {
    /// Records the memory that a call needs at its target: its prompt and its longest answer. A prompt part that
    /// programs share counts only if it is not cached yet, because the engine keeps it once.
    pub fn hold_tokens(&mut self, run: RunKey, prompt: &[PromptPart], max_output: u64) {
        let Some(run) = self.runs.get_mut(run) else { return };
        let Some(target) = self.targets.get_mut(run.target) else {
            return;
        };
        let own: u64 = prompt.iter().skip(1).map(|part| u64::from(part.tokens)).sum();
        let tokens = own.max(run.prefill) + max_output;
        target.load.hold_tokens(tokens);
        run.tokens = tokens;
        if let Some(pace) = self.paces.get_mut(&target.record.service) {
            pace.record_tokens(tokens);
        }
    }
}
