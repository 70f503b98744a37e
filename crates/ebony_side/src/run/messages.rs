//! Messages from a running call to the actor.

use actix::{Message, MessageResponse};
use bytes::Bytes;
use ebony_types::{CallId, CallUsage, ProblemReport, ProcessIncarnation, TargetName};
use ebony_wire::AnswerHead;

/// Identifies one run of a call. A call that failed as not run may run again under the same call identifier, and
/// messages of an aborted run must not be attributed to the next one.
#[derive(Clone, Debug)]
pub(crate) struct RunKey {
    pub(crate) target: TargetName,
    pub(crate) call: CallId,
    /// Unique within the process.
    pub(crate) number: u64,
}

/// The target has begun to answer. The result is `false` if the run has to stop.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct RunHead {
    pub(crate) key: RunKey,
    /// `None` for a resumed answer, whose head was sent before.
    pub(crate) head: Option<AnswerHead>,
    pub(crate) incarnation: Option<ProcessIncarnation>,
}

/// A chunk of the answer's body.
#[derive(Message)]
#[rtype(result = "RunStep")]
pub(crate) struct RunChunk {
    pub(crate) key: RunKey,
    pub(crate) bytes: Bytes,
}

/// The result of a [`RunChunk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(MessageResponse)]
pub(crate) enum RunStep {
    /// The chunk is stored.
    Taken,
    /// The answer buffer is full; the chunk has to wait until the entry has read more.
    Full,
    /// The call has ended.
    Ended,
}

/// Whether a failed call indicates that its target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashSuspicion {
    /// Nothing suggests a crash.
    NotSuspected,
    /// The connection broke, but the target's port did not refuse the probe.
    Unconfirmed,
    /// The target's port refuses connections.
    PortClosed,
}

/// How a run ended.
#[derive(Debug)]
pub(crate) enum RunOutcome {
    /// The target sent the complete answer.
    Completed(CallUsage),
    /// The call failed.
    Failed {
        problem: ProblemReport,
        suspicion: CrashSuspicion,
    },
}

/// A run has ended on its target.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RunEnded {
    pub(crate) key: RunKey,
    pub(crate) outcome: RunOutcome,
}
