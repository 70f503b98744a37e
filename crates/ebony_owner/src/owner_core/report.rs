//! Counts for metrics, and the replies of an owner that has lost its session.

use ebony_types::ProgramId;

use super::arrival::not_owned;
use super::state::ServingState;
use crate::action::OwnerAction;
use crate::call::CallPhase;
use crate::event::OwnerEvent;

/// Counts of an owner, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerReport {
    /// Shards that are served.
    pub shards_serving: usize,
    /// Programs that take calls.
    pub programs_open: usize,
    /// Ended programs that are still in memory.
    pub programs_ended: usize,
    /// Calls that wait for earlier calls of their program.
    pub calls_waiting: usize,
    /// Calls that wait for a durable record before they are dispatched.
    pub calls_reserving: usize,
    /// Calls that were dispatched and have not ended.
    pub calls_dispatched: usize,
    /// Calls that have ended and whose answer waits for its record.
    pub calls_recording: usize,
    /// Idempotency keys in memory.
    pub intent_keys: usize,
    /// Turns that are not durable.
    pub undurable_turns: usize,
    /// Bytes of records and bodies that are not durable.
    pub undurable_bytes: usize,
    /// The last durable row.
    pub durable_row: u64,
    /// Whether the platform is unavailable for writes at present.
    pub is_platform_unavailable: bool,
    /// Estimated bytes of memory that all programs and keys take.
    pub state_bytes: usize,
}

impl OwnerReport {
    /// Returns the mean number of bytes that a program takes.
    pub fn bytes_per_program(&self) -> usize {
        let programs = self.programs_open + self.programs_ended;
        self.state_bytes / programs.max(1)
    }
}

impl ServingState {
    pub(super) fn report(&self) -> OwnerReport {
        let programs_open = self.programs.entries().filter(|entry| entry.is_open()).count();
        OwnerReport {
            shards_serving: self.shards.serving().len(),
            programs_open,
            programs_ended: self.programs.len() - programs_open,
            calls_waiting: self.calls.count(CallPhase::Waiting),
            calls_reserving: self.calls.count(CallPhase::Reserving),
            calls_dispatched: self.calls.count(CallPhase::Dispatched),
            calls_recording: self.calls.count(CallPhase::Recording),
            intent_keys: self.programs.intent_count(),
            undurable_turns: self.writer.undurable_turns(),
            undurable_bytes: self.writer.undurable_bytes(),
            durable_row: self.writer.durable(),
            is_platform_unavailable: self.writer.is_unavailable(),
            state_bytes: self.programs.state_bytes(),
        }
    }

    /// Returns the open programs. Those of a shard that is being adopted are included, because their engine memory
    /// must outlive the takeover.
    pub(super) fn vouched_programs(&self) -> Vec<ProgramId> {
        let open = self.programs.entries().filter(|entry| entry.is_open());
        open.map(|entry| entry.image.program).collect()
    }
}

/// Refuses a request that arrives after the session was lost; other events are ignored.
pub(super) fn refuse_lost(event: OwnerEvent) -> Vec<OwnerAction> {
    match event {
        OwnerEvent::CallArrived { request, .. } => vec![OwnerAction::Refuse {
            call: request.call,
            problem: not_owned(),
        }],
        OwnerEvent::Operation { request, .. } => vec![OwnerAction::Reply {
            request,
            result: Err(not_owned()),
        }],
        _ => Vec::new(),
    }
}
