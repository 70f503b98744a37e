//! What a running call tells the actor.

use actix::{Message, MessageResponse};
use bytes::Bytes;
use ebony_types::{CallId, CallUsage, ProblemReport, ProcessIncarnation, TargetName};
use ebony_wire::AnswerHead;

/// Names one run of a call. A call that failed as not run may run again under its identifier; what an aborted run
/// has sent must not count for the next one.
#[derive(Clone, Debug)]
pub(crate) struct RunKey {
    pub(crate) target: TargetName,
    pub(crate) call: CallId,
    /// The number of the run within the process.
    pub(crate) number: u64,
}

/// The target has begun to answer. The result says whether the call goes on.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct RunHead {
    pub(crate) key: RunKey,
    /// `None` if the answer is a continued one, whose head is known.
    pub(crate) head: Option<AnswerHead>,
    pub(crate) incarnation: Option<ProcessIncarnation>,
}

/// A part of the answer's body.
#[derive(Message)]
#[rtype(result = "RunStep")]
pub(crate) struct RunChunk {
    pub(crate) key: RunKey,
    pub(crate) bytes: Bytes,
}

/// What became of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(MessageResponse)]
pub(crate) enum RunStep {
    /// The part is stored.
    Taken,
    /// The part has to wait until the entry has read more.
    Full,
    /// The call has ended.
    Ended,
}

/// Whether a failed call may be the first sign of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunDoubt {
    /// The target is well.
    Settled,
    /// The connection broke and the target's port is open.
    Unresolved,
    /// The target's port is closed.
    TargetGone,
}

/// How a call ended.
#[derive(Debug)]
pub(crate) enum RunOutcome {
    /// The target sent the whole answer.
    Whole(CallUsage),
    /// The call failed.
    Failed { problem: ProblemReport, doubt: RunDoubt },
}

/// A call has ended on its target.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RunEnded {
    pub(crate) key: RunKey,
    pub(crate) outcome: RunOutcome,
}
