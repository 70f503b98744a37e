//! The actions that an owner returns to the shell.

use bytes::Bytes;
use ebony_types::{CallId, FencingToken, ProblemReport, ProgramId, ShardKey};
use ebony_wire::{ProgramView, QueueRank};

use crate::journal::record::BodyPlace;
use crate::journal::writer::AppendRow;
use crate::program::turn_body::HistoryPlan;
use crate::storage::{RequestTicket, StorageRequest};

/// The result of an operation on a program.
pub type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// An action that [`crate::OwnerCore::handle`] returns. The shell carries actions out in order.
///
/// Every call that arrived gets exactly one of [`OwnerAction::Refuse`], [`OwnerAction::Finish`] and
/// [`OwnerAction::Replay`].
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Places the call and sends it to a target. The shell keeps the request from the call's arrival on.
    Dispatch {
        /// The call.
        call: CallId,
        /// Its program, which the request to the target names.
        program: ProgramId,
        /// The epoch of the program's shard.
        token: FencingToken,
        /// Priority data for the queue.
        rank: QueueRank,
    },
    /// Answers the call with a problem immediately.
    Refuse {
        /// The call.
        call: CallId,
        /// The problem, with the verdict whether the call ran.
        problem: ProblemReport,
    },
    /// Sends the final marker of the call's answer, which must not be sent earlier: only now is the record durable
    /// or, during an outage of the platform, held by two processes.
    Finish {
        /// The call.
        call: CallId,
    },
    /// Answers a repeated call with the stored answer: the head and answer of the [`crate::program::TurnBody`] at
    /// `place`. The first call ran, so a problem has the verdict [`Ran`](ebony_types::RunVerdict::Ran):
    /// [`PlatformUnavailable`](ebony_types::ProblemCode::PlatformUnavailable) if the object cannot be read, and
    /// [`KeyExpired`](ebony_types::ProblemCode::KeyExpired) if it was deleted because the program ended long ago.
    Replay {
        /// The call.
        call: CallId,
        /// Where the answer is stored.
        place: BodyPlace,
    },
    /// Cancels a dispatched call at its target. The shell still reports how the call ended.
    CancelCall {
        /// The call.
        call: CallId,
    },
    /// Releases the engine memory of a program that has ended.
    ReleaseProgram {
        /// The program.
        program: ProgramId,
        /// The epoch of the program's shard.
        token: FencingToken,
    },
    /// Replies to an operation.
    Reply {
        /// The request's number.
        request: u64,
        /// The program after the operation, or the problem.
        result: Result<Box<ProgramView>>,
    },
    /// Replies to an operation with the view and the history, which [`crate::program::assemble_history`] builds from
    /// the bodies at the plan's places.
    ReadHistory {
        /// The request's number.
        request: u64,
        /// The view, without history.
        view: Box<ProgramView>,
        /// The bodies to read.
        plan: HistoryPlan,
    },
    /// Stores the bodies, if any, and then creates the journal row if it is absent. The outcome is
    /// [`Durable`](crate::journal::AppendOutcome::Durable) only if the row exists with this nonce and the bodies are
    /// stored.
    Append(AppendRow),
    /// Sends a copy of the row to a process in another failure domain, which appends it if this owner dies during the
    /// outage. The shell reports [`crate::OwnerEvent::RowCopied`]. The copy may be dropped once the row is durable.
    CopyRow(AppendRow),
    /// Stores the object `checkpoint/{session}/{sequence}` and reports the outcome.
    Checkpoint {
        /// The last row that the checkpoint includes.
        sequence: u64,
        /// The checkpoint.
        bytes: Bytes,
    },
    /// Deletes the journal's rows from `first` to `last`, and the superseded checkpoint. Failures are harmless.
    Truncate {
        /// The first row.
        first: u64,
        /// The last row; the newest checkpoint includes it.
        last: u64,
        /// The superseded checkpoint.
        checkpoint: Option<u64>,
    },
    /// Deletes the object `bodies/{session}/{sequence}`, which no program references any more. Failures are harmless.
    DeleteBodies {
        /// The sequence of the row.
        sequence: u64,
    },
    /// Carries out a storage request and reports its reply.
    Storage {
        /// Identifies the request in [`crate::OwnerEvent::StorageDone`].
        ticket: RequestTicket,
        /// The request.
        request: StorageRequest,
    },
    /// The owner serves the shard from now on.
    ShardServing {
        /// The shard.
        shard: ShardKey,
        /// The epoch at which it is owned.
        token: FencingToken,
    },
    /// The owner has released the shard, and its successor may adopt it.
    ShardReleased {
        /// The shard.
        shard: ShardKey,
    },
    /// A takeover failed and is tried again later. The shell logs the failure.
    TakeoverFailed {
        /// The shard.
        shard: ShardKey,
        /// A description of the failure for the log.
        detail: String,
    },
    /// Another session has sealed the journal, or the journal cannot continue. All state is dropped, and the shell
    /// opens a new session with a new owner.
    SessionLost,
}
