//! Decisions and errors of the ledger.

use ebony_types::{CallId, FencingToken, ProblemReport, RequestDigest, TargetName};

use crate::answer_buffer::BufferError;
use crate::crash_tracker::CrashSite;

/// How to proceed with an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerDecision {
    /// The call is new, and the shell has to queue it.
    Run,
    /// The same request is open as another call, whose answer the order's call receives too.
    Attach {
        /// The call that was admitted first.
        call: CallId,
    },
    /// The same request ran as another call, whose stored answer the order's call receives.
    Replay {
        /// The call that was admitted first.
        call: CallId,
    },
    /// The order is refused.
    Refuse(ProblemReport),
    /// The order is refused because its fencing token is stale.
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
    /// The call may be sent, and counts as dispatched from now on.
    Start,
    /// The call has to stay in the queue. Other calls may be able to start.
    Hold,
    /// The call failed and has to be removed from the queue. This attempt has not run.
    Refuse(ProblemReport),
}

/// How to proceed when a call is to end early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelDecision {
    /// The call has to be removed from the queue. This attempt has not run.
    Dequeue(ProblemReport),
    /// The target has to be told to stop the call, which counts as running until
    /// [`CallLedger::record_run_stopped`](super::CallLedger::record_run_stopped).
    Interrupt {
        /// The target.
        target: TargetName,
        /// The identifier under which the target knows the call.
        call: CallId,
        /// The problem for the call.
        problem: ProblemReport,
    },
    /// The request continues, because another call waits for the same answer.
    Detach(ProblemReport),
    /// The call had already ended.
    Ended,
    /// The ledger does not know the call.
    Unknown(ProblemReport),
}

/// Whether an answer can continue over a new link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeDecision {
    /// The answer can continue from the buffer.
    Continue,
    /// The call is unknown and has no answer.
    Fail(ProblemReport),
}

/// The effects of a target's crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashOutcome {
    /// The target and the incarnation that crashed.
    pub site: CrashSite,
    /// The calls that failed, including all attached ones. Queued calls stay queued.
    pub failed: Vec<CallId>,
    /// The problem of the failed calls.
    pub problem: ProblemReport,
    /// The requests that were running, which are suspects now.
    pub suspects: Vec<RequestDigest>,
}

/// The reason why an event of a call was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LedgerError {
    /// The ledger does not know the call.
    #[error("unknown call")]
    UnknownCall,
    /// The event does not apply to the state of the call, for instance because the call was cancelled.
    #[error("the event does not apply to the state of the call")]
    WrongState,
    /// The buffer of the answer rejected the bytes.
    #[error(transparent)]
    Buffer(#[from] BufferError),
}

/// The result of an event of a call.
pub type Result<T, E = LedgerError> = std::result::Result<T, E>;
