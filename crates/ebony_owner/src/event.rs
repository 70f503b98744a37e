//! What the shell tells an owner.

use bytes::Bytes;
use ebony_types::{CallId, CallRequest, CallUsage, ProblemReport, TargetName};
use ebony_wire::{AnswerHead, ProgramOperation};

use crate::journal::writer::AppendOutcome;
use crate::program::history::MessageList;
use crate::session::LiveSession;
use crate::storage::{RequestTicket, StorageReply};

/// An event for [`crate::OwnerCore::handle`].
#[derive(Clone, Debug)]
pub enum OwnerEvent {
    /// A call arrived, from a caller or forwarded by another entry. A call whose identifier is already known is
    /// ignored.
    CallArrived {
        /// The request. Without a program it becomes a program of one call: one with a key belongs to the shard of
        /// [`crate::intent::one_call_program`], any other to a shard that this owner serves.
        request: Box<CallRequest>,
        /// The messages of the request's body; empty for a plain service.
        messages: MessageList,
    },
    /// A dispatched call was sent to a target.
    CallPlaced {
        /// The call.
        call: CallId,
        /// The target.
        target: TargetName,
    },
    /// A dispatched call was sent to no target and will not be. The problem's verdict is taken as not run.
    CallNotPlaced {
        /// The call.
        call: CallId,
        /// Why.
        problem: ProblemReport,
    },
    /// The answer to a dispatched call is complete, whatever its status.
    CallFinished {
        /// The call.
        call: CallId,
        /// Status and header fields.
        head: AnswerHead,
        /// The whole body as the caller receives it.
        answer: Bytes,
        /// What the call used.
        usage: CallUsage,
    },
    /// A dispatched call ended without a complete answer. The shell reports this or [`OwnerEvent::CallFinished`] for
    /// every call that it was ordered to dispatch, also after [`crate::OwnerAction::CancelCall`].
    CallFailed {
        /// The call.
        call: CallId,
        /// The problem with a true verdict.
        problem: ProblemReport,
    },
    /// The caller has gone or no longer wants the answer.
    CallCancelled {
        /// The call.
        call: CallId,
    },
    /// An operation on a program, from a caller, an operator or another entry.
    Operation {
        /// Pairs the reply with the request.
        request: u64,
        /// The operation.
        operation: ProgramOperation,
    },
    /// An append ended.
    AppendDone {
        /// The row's number.
        sequence: u64,
        /// How it ended.
        outcome: AppendOutcome,
    },
    /// Another process has a copy of a row, as ordered by [`crate::OwnerAction::CopyRow`].
    RowCopied {
        /// The row's number.
        sequence: u64,
    },
    /// The process with a copy of a row is gone.
    CopyLost {
        /// The row's number.
        sequence: u64,
    },
    /// A checkpoint was stored, or could not be.
    CheckpointDone {
        /// The checkpoint's sequence.
        sequence: u64,
        /// Whether it is stored. Another one follows if not.
        is_stored: bool,
    },
    /// A storage request of a takeover ended.
    StorageDone {
        /// The request.
        ticket: RequestTicket,
        /// How it ended.
        reply: StorageReply,
    },
    /// The sessions that membership takes for live, this owner's session included.
    SessionsChanged {
        /// The sessions.
        sessions: Vec<LiveSession>,
    },
    /// Time has passed. The shell sends it at [`crate::OwnerCore::next_wakeup`] or at short intervals.
    Tick,
}
