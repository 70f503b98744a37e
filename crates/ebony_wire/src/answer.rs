//! The answer to a call, as it streams from a side process to the owner and on to the receiving entry.

use bytes::Bytes;
use ebony_types::{CallId, CallUsage, HeaderField, ProblemReport};
use serde::{Deserialize, Serialize};

/// Status and header fields of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status from the target.
    pub status: u16,
    /// Header fields that the caller receives.
    pub headers: Vec<HeaderField>,
}

/// One part of an answer. Every answer ends with exactly one [`AnswerFrame::End`] or [`AnswerFrame::Failed`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AnswerFrame {
    /// The side process has queued the call. From now on the call may run.
    Accepted {
        /// The call.
        call: CallId,
    },
    /// The target's status and header fields.
    Head {
        /// The call.
        call: CallId,
        /// Status and header fields.
        head: AnswerHead,
    },
    /// A part of the body.
    Chunk {
        /// The call.
        call: CallId,
        /// The offset of the first byte within the body. A receiver drops bytes that it already has and fails on a gap.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The body is complete.
    End {
        /// The call.
        call: CallId,
        /// The length of the whole body in bytes; a receiver with fewer bytes reports a failure.
        length: u64,
        /// The resources that the call used.
        usage: CallUsage,
    },
    /// The call failed. The parts that were sent before do not form a complete answer.
    Failed {
        /// The call.
        call: CallId,
        /// The problem, with the verdict whether the call ran.
        problem: ProblemReport,
    },
}

impl AnswerFrame {
    /// Returns the call that the frame belongs to.
    pub fn call(&self) -> CallId {
        match self {
            Self::Accepted { call }
            | Self::Head { call, .. }
            | Self::Chunk { call, .. }
            | Self::End { call, .. }
            | Self::Failed { call, .. } => *call,
        }
    }

    /// Returns `true` for the last frame of an answer.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed { .. })
    }
}
