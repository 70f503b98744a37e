//! A call that was sent to a side process.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use ebony_types::limits::MAX_ANSWER_BYTES;
use ebony_types::{CallKind, ProblemCode, ProblemReport, RunVerdict, TargetName};
use ebony_wire::{AnswerFrame, AnswerHead, DispatchOrder};

use super::directory::SideKey;
use super::messages::FinishedAnswer;
use crate::answer::{AnswerAssembly, AnswerPart, AnswerPipe, AssemblyStep};

/// The end of a streamed chat completion. Clients stop reading at it, so it counts as the final marker.
const STREAM_END: &[u8] = b"data: [DONE]";

/// What follows from a frame of a call's answer.
#[derive(Debug)]
pub(super) enum CallStep {
    /// The answer goes on.
    Continue,
    /// The answer is whole.
    Finished(FinishedAnswer),
    /// The call failed.
    Failed(ProblemReport),
    /// The reader is gone; the call should be cancelled.
    Abandoned,
}

/// A call under way at a side process.
pub(super) struct DispatchedCall {
    pub(super) order: DispatchOrder,
    pub(super) pipe: Arc<AnswerPipe>,
    pub(super) side: SideKey,
    pub(super) deadline: Instant,
    pub(super) attempts: u32,
    /// Targets on which an attempt failed.
    pub(super) avoided: Vec<TargetName>,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
    assembly: AnswerAssembly,
    head: AnswerHead,
    body: BytesMut,
    withheld: Bytes,
    /// Whether the final marker has arrived.
    is_ending: bool,
}

impl DispatchedCall {
    pub(super) fn new(order: DispatchOrder, pipe: Arc<AnswerPipe>, side: SideKey, deadline: Instant) -> Self {
        Self {
            order,
            pipe,
            side,
            deadline,
            attempts: 1,
            avoided: Vec::new(),
            may_have_run: false,
            assembly: AnswerAssembly::default(),
            head: AnswerHead {
                status: 0,
                headers: Vec::new(),
            },
            body: BytesMut::new(),
            withheld: Bytes::new(),
            is_ending: false,
        }
    }

    /// Returns the first byte of the answer that has not arrived.
    pub(super) fn received(&self) -> u64 {
        self.assembly.received()
    }

    /// Returns `true` if the call may run once more after an attempt with the given verdict.
    pub(super) fn may_retry(&self, verdict: RunVerdict) -> bool {
        let is_idempotent = self.order.request.idempotency_key.is_none()
            && matches!(self.order.request.kind, CallKind::Model { .. });
        let has_started = self.assembly.has_head();
        !has_started && (verdict.is_safe_to_retry() || is_idempotent)
    }

    /// Prepares the call for another attempt.
    pub(super) fn reset(&mut self, side: SideKey, target: TargetName) {
        let previous = std::mem::replace(&mut self.order.target, target);
        self.avoided.push(previous);
        self.side = side;
        self.attempts += 1;
        self.assembly = AnswerAssembly::default();
        self.body.clear();
        self.withheld = Bytes::new();
        self.is_ending = false;
    }

    /// Returns the verdict on the call if its side process is lost now.
    pub(super) fn loss(&self) -> ProblemReport {
        ProblemReport::may_have_run(ProblemCode::TargetFailed, "the side process or its link was lost")
    }

    /// Adds a frame of the answer.
    pub(super) fn accept(&mut self, frame: AnswerFrame) -> CallStep {
        match self.assembly.accept(frame) {
            AssemblyStep::Accepted | AssemblyStep::Nothing => CallStep::Continue,
            AssemblyStep::Head(head) => {
                self.head = head.clone();
                self.push(AnswerPart::Head(head))
            }
            AssemblyStep::Bytes(bytes) => self.accept_bytes(bytes),
            AssemblyStep::End(usage) => CallStep::Finished(FinishedAnswer {
                head: self.head.clone(),
                usage,
                body: self.body.split().freeze(),
                withheld: std::mem::take(&mut self.withheld),
                side: self.side,
            }),
            AssemblyStep::Failed(problem) => CallStep::Failed(problem),
        }
    }

    fn accept_bytes(&mut self, bytes: Bytes) -> CallStep {
        if self.body.len() + bytes.len() > MAX_ANSWER_BYTES {
            let detail = "the answer is larger than the limit";
            return CallStep::Failed(ProblemReport::new(
                ProblemCode::TargetFailed,
                RunVerdict::Ran,
                detail,
            ));
        }
        self.body.extend_from_slice(&bytes);
        let visible = self.withhold(bytes);
        if visible.is_empty() {
            return CallStep::Continue;
        }
        self.push(AnswerPart::Bytes(visible))
    }

    /// Splits off the final marker, which the caller gets only when the outcome is durable.
    fn withhold(&mut self, bytes: Bytes) -> Bytes {
        if !matches!(
            self.order.request.kind,
            CallKind::Model {
                is_streamed: true,
                ..
            }
        ) {
            return bytes;
        }
        let bytes = join(&std::mem::take(&mut self.withheld), bytes);
        if self.is_ending {
            self.withheld = bytes;
            return Bytes::new();
        }
        let visible = visible_length(&bytes);
        self.is_ending = bytes[visible..].starts_with(STREAM_END);
        self.withheld = bytes.slice(visible..);
        bytes.slice(..visible)
    }

    fn push(&self, part: AnswerPart) -> CallStep {
        if self.pipe.push(part) {
            CallStep::Continue
        } else {
            CallStep::Abandoned
        }
    }
}

fn join(first: &Bytes, second: Bytes) -> Bytes {
    if first.is_empty() {
        return second;
    }
    let mut joined = BytesMut::with_capacity(first.len() + second.len());
    joined.extend_from_slice(first);
    joined.extend_from_slice(&second);
    joined.freeze()
}

/// Returns how many bytes lie before a line that is the final marker or may become it with the next chunk.
fn visible_length(bytes: &[u8]) -> usize {
    let mut start = 0;
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        let may_become_end = !line.ends_with(b"\n") && STREAM_END.starts_with(line);
        if line.starts_with(STREAM_END) || may_become_end {
            return start;
        }
        start += line.len();
    }
    start
}
