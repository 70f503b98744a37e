//! Assembles the frames of an answer, and checks that every byte arrives exactly once.

use bytes::Bytes;
use ebony_types::{CallUsage, ProblemCode, ProblemReport};
use ebony_wire::{AnswerFrame, AnswerHead};

/// The result of processing a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssemblyStep {
    /// The side process accepted the call.
    Accepted,
    /// Status and header fields, reported only once.
    Head(AnswerHead),
    /// The next bytes of the body, without those that arrived before.
    Bytes(Bytes),
    /// The body is complete.
    End(CallUsage),
    /// The answer failed.
    Failed(ProblemReport),
    /// The frame contains nothing new.
    Duplicate,
}

/// The assembly state of one answer.
///
/// Frames may be repeated when an answer resumes over a new link. A gap or a wrong final length is reported as a
/// failure, so that a truncated answer is never taken for a complete one.
///
/// ```
/// use bytes::Bytes;
/// use ebony_entry::answer::{AnswerAssembly, AssemblyStep};
/// use ebony_types::{CallId, CallUsage};
/// use ebony_wire::AnswerFrame;
///
/// let call = CallId::from_bytes([1; 16]);
/// let mut assembly = AnswerAssembly::default();
/// let chunk = AnswerFrame::Chunk { call, offset: 0, bytes: Bytes::from_static(b"ab") };
/// assert_eq!(assembly.accept(chunk.clone()), AssemblyStep::Bytes(Bytes::from_static(b"ab")));
/// assert_eq!(assembly.accept(chunk), AssemblyStep::Duplicate);
/// let end = AnswerFrame::End { call, length: 3, usage: CallUsage::default() };
/// assert!(matches!(assembly.accept(end), AssemblyStep::Failed(_)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerAssembly {
    is_accepted: bool,
    has_head: bool,
    received: u64,
    is_over: bool,
}

impl AnswerAssembly {
    /// Returns the number of body bytes that have arrived.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns `true` once the side process has accepted the call, after which it may have run.
    pub fn is_accepted(&self) -> bool {
        self.is_accepted
    }

    /// Returns `true` once the head of the answer has arrived.
    pub fn has_head(&self) -> bool {
        self.has_head
    }

    /// Processes a frame.
    pub fn accept(&mut self, frame: AnswerFrame) -> AssemblyStep {
        if self.is_over {
            return AssemblyStep::Duplicate;
        }
        match frame {
            AnswerFrame::Accepted { .. } => self.accept_start(),
            AnswerFrame::Head { head, .. } => self.accept_head(head),
            AnswerFrame::Chunk { offset, bytes, .. } => self.accept_chunk(offset, &bytes),
            AnswerFrame::End { length, usage, .. } => self.accept_end(length, usage),
            AnswerFrame::Failed { problem, .. } => {
                self.is_over = true;
                AssemblyStep::Failed(problem)
            }
        }
    }

    fn accept_start(&mut self) -> AssemblyStep {
        let is_new = !self.is_accepted;
        self.is_accepted = true;
        if is_new {
            AssemblyStep::Accepted
        } else {
            AssemblyStep::Duplicate
        }
    }

    fn accept_head(&mut self, head: AnswerHead) -> AssemblyStep {
        self.is_accepted = true;
        if self.has_head {
            return AssemblyStep::Duplicate;
        }
        self.has_head = true;
        AssemblyStep::Head(head)
    }

    fn accept_chunk(&mut self, offset: u64, bytes: &Bytes) -> AssemblyStep {
        if offset > self.received {
            return self.fail("the answer has a gap");
        }
        let known = usize::try_from(self.received - offset).unwrap_or(usize::MAX);
        if known >= bytes.len() {
            return AssemblyStep::Duplicate;
        }
        let rest = bytes.slice(known..);
        self.received += rest.len() as u64;
        AssemblyStep::Bytes(rest)
    }

    fn accept_end(&mut self, length: u64, usage: CallUsage) -> AssemblyStep {
        if length != self.received {
            return self.fail("the answer ended before it was whole");
        }
        self.is_over = true;
        AssemblyStep::End(usage)
    }

    fn fail(&mut self, detail: &'static str) -> AssemblyStep {
        self.is_over = true;
        AssemblyStep::Failed(ProblemReport::may_have_run(ProblemCode::TargetFailed, detail))
    }
}
