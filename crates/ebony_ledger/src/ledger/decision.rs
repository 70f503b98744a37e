//! What the ledger decides.

use ebony_types::{CallId, FencingToken, ProblemReport, RequestDigest, TargetName};

use crate::answer_buffer::BufferError;
use crate::crash_tracker::CrashSite;

/// What to do with an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerDecision {
    /// The call is new: it goes into the queue.
    Run,
    /// The request is under way under the named call; the order's call receives the same answer.
    Attach {
        /// The call that was admitted first.
        call: CallId,
    },
    /// The request ran under the named call; the order's call receives the stored answer.
    Replay {
        /// The call that was admitted first.
        call: CallId,
    },
    /// The order is refused.
    Refuse(ProblemReport),
    /// The order is refused because its token is too low.
    Fenced {
        /// The highest token seen for the shard.
        highest: FencingToken,
        /// The problem for the call.
        problem: ProblemReport,
    },
}

/// Whether a queued call may go to its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The call is dispatched from here on.
    Start,
    /// The call stays in the queue; another one may be able to start.
    Hold,
    /// The call has failed and leaves the queue; this attempt has not run.
    Refuse(ProblemReport),
}

/// What to do about an order to end a call early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelDecision {
    /// The call leaves the queue; this attempt has not run.
    Dequeue(ProblemReport),
    /// The target has to be told. The call occupies its target until [`CallLedger::stopped`](super::CallLedger::stopped).
    Interrupt {
        /// The target.
        target: TargetName,
        /// The identifier under which the target knows the call.
        call: CallId,
        /// The problem for the call.
        problem: ProblemReport,
    },
    /// The call goes on, because another call waits for the same answer.
    Detach(ProblemReport),
    /// The call has ended before.
    Ended,
    /// The ledger does not know the call.
    Unknown(ProblemReport),
}

/// Whether an answer can continue over a new link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeDecision {
    /// The answer continues from the buffer.
    Continue,
    /// The call has no answer.
    Fail(ProblemReport),
}

/// What the crash of a target did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashOutcome {
    /// The crash.
    pub site: CrashSite,
    /// The calls that failed, every attached one included. Queued calls stay queued.
    pub failed: Vec<CallId>,
    /// The problem of the failed calls.
    pub problem: ProblemReport,
    /// The requests that were running and are suspects now.
    pub suspects: Vec<RequestDigest>,
}

/// Says why a report about a call was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LedgerError {
    /// The ledger does not know the call.
    #[error("unknown call")]
    UnknownCall,
    /// The call is not in the state that the report needs, for instance because it was cancelled.
    #[error("the call is not in the state for this step")]
    WrongState,
    /// The answer's buffer refused the bytes.
    #[error(transparent)]
    Buffer(#[from] BufferError),
}

/// The result of a report about a call.
pub type Result<T, E = LedgerError> = std::result::Result<T, E>;
