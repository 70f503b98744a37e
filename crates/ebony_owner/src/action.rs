//! What an owner tells the shell to do.

use bytes::Bytes;
use ebony_types::{CallId, FencingToken, ProblemReport, ProgramId, ShardKey};
use ebony_wire::{ProgramView, QueueRank};

use crate::journal::record::BodyPlace;
use crate::journal::writer::AppendRow;
use crate::program::turn_body::HistoryPlan;
use crate::storage::{RequestTicket, StorageRequest};

/// The result of an operation on a program.
pub type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// A decision of [`crate::OwnerCore::handle`], to be carried out in order.
///
/// Every call that arrived gets exactly one of [`OwnerAction::Refuse`], [`OwnerAction::Finish`] and
/// [`OwnerAction::Replay`].
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Places the call and sends it to a target. The shell has the request since the call arrived.
    Dispatch {
        /// The call.
        call: CallId,
        /// Its program; the request that goes to the target names it.
        program: ProgramId,
        /// The epoch of the program's shard.
        token: FencingToken,
        /// Input for the queue.
        rank: QueueRank,
    },
    /// Answers the call with a problem, at once.
    Refuse {
        /// The call.
        call: CallId,
        /// The problem with its verdict.
        problem: ProblemReport,
    },
    /// Sends the final marker of the call's answer. Its record is durable now, and not before.
    Finish {
        /// The call.
        call: CallId,
    },
    /// Answers a repeated call with the stored answer: the head and answer of the [`crate::program::TurnBody`] at the
    /// place. The first call ran, so the verdict is [`Ran`](ebony_types::RunVerdict::Ran) if that fails: with
    /// [`PlatformUnavailable`](ebony_types::ProblemCode::PlatformUnavailable) if the object cannot be read, and with
    /// [`KeyExpired`](ebony_types::ProblemCode::KeyExpired) if it is gone because the program ended long ago.
    Replay {
        /// The call.
        call: CallId,
        /// Where the answer is stored.
        place: BodyPlace,
    },
    /// Ends a dispatched call early. The shell reports its end nevertheless.
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
        /// The program afterwards, or the problem.
        result: Result<Box<ProgramView>>,
    },
    /// Replies to an operation with the view and the history that [`crate::program::assemble_history`] makes of the
    /// bodies at the plan's places.
    ReadHistory {
        /// The request's number.
        request: u64,
        /// The view, without history.
        view: Box<ProgramView>,
        /// Which bodies to read.
        plan: HistoryPlan,
    },
    /// Stores the bodies, if any, and then creates the journal row if it is absent. The outcome is
    /// [`Durable`](crate::journal::AppendOutcome::Durable) only if the row exists with this nonce and the bodies are
    /// stored.
    Append(AppendRow),
    /// Stores the object `checkpoint/{session}/{sequence}` and reports the outcome.
    Checkpoint {
        /// The last row that the checkpoint includes.
        sequence: u64,
        /// The checkpoint.
        bytes: Bytes,
    },
    /// Deletes the journal's rows from `first` to `last`, and the checkpoint before the newest one. Failures do no
    /// harm.
    Truncate {
        /// The first row.
        first: u64,
        /// The last row; the newest checkpoint includes it.
        last: u64,
        /// The superseded checkpoint.
        checkpoint: Option<u64>,
    },
    /// Deletes the object `bodies/{session}/{sequence}`: no program refers to it any more. A failure does no harm.
    DeleteBodies {
        /// The row's number.
        sequence: u64,
    },
    /// Carries out a storage request and reports its reply.
    Storage {
        /// Pairs the reply with the request.
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
    /// A shard could not be taken over and is tried again later. The shell logs it.
    TakeoverFailed {
        /// The shard.
        shard: ShardKey,
        /// Why, for people.
        detail: String,
    },
    /// Another session has sealed the journal. All state is dropped; the shell opens a new session with a new owner.
    SessionLost,
}
