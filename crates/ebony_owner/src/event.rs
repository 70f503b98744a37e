//! The events that the shell passes to an owner.

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
        /// The request. If it names no program, it runs in a new one-call program: with an idempotency key, that
        /// program is [`crate::intent::one_call_program`] and determines the shard; without a key, the owner chooses
        /// a shard that it serves.
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
    /// A dispatched call was not sent to a target and will not be. The problem's verdict is replaced by not run.
    CallNotPlaced {
        /// The call.
        call: CallId,
        /// The reason.
        problem: ProblemReport,
    },
    /// The answer to a dispatched call is complete, whatever its status.
    CallFinished {
        /// The call.
        call: CallId,
        /// Status and header fields.
        head: AnswerHead,
        /// The complete body as the caller receives it.
        answer: Bytes,
        /// Tokens that the call used.
        usage: CallUsage,
    },
    /// A dispatched call ended without a complete answer. The shell reports this or [`OwnerEvent::CallFinished`] for
    /// every dispatched call, also after [`crate::OwnerAction::CancelCall`].
    CallFailed {
        /// The call.
        call: CallId,
        /// The problem, with a correct verdict whether the call ran.
        problem: ProblemReport,
    },
    /// The caller disconnected or cancelled the call.
    CallCancelled {
        /// The call.
        call: CallId,
    },
    /// An operation on a program, from a caller, an operator or another entry.
    Operation {
        /// Identifies the request in the reply.
        request: u64,
        /// The operation.
        operation: ProgramOperation,
    },
    /// An [`crate::OwnerAction::Append`] ended.
    AppendDone {
        /// The sequence of the row.
        sequence: u64,
        /// How it ended.
        outcome: AppendOutcome,
    },
    /// Another process has a copy of a row, as requested by [`crate::OwnerAction::CopyRow`].
    RowCopied {
        /// The sequence of the row.
        sequence: u64,
    },
    /// The process with a copy of a row is gone.
    CopyLost {
        /// The sequence of the row.
        sequence: u64,
    },
    /// An [`crate::OwnerAction::Checkpoint`] ended.
    CheckpointDone {
        /// The last row that the checkpoint includes.
        sequence: u64,
        /// Whether the checkpoint is stored. If not, the owner takes another one later.
        is_stored: bool,
    },
    /// A storage request of a takeover ended.
    StorageDone {
        /// The request.
        ticket: RequestTicket,
        /// How it ended.
        reply: StorageReply,
    },
    /// The list of live sessions changed.
    SessionsChanged {
        /// The sessions that membership considers live, including this owner's session.
        sessions: Vec<LiveSession>,
    },
    /// Time has passed. The shell sends this at [`crate::OwnerCore::next_wakeup`] or at short intervals.
    Tick,
}
