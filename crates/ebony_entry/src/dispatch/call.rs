//! The state of a call in the dispatcher: its stage, its attempts and the answer received so far.

use std::cell::OnceCell;

use bytes::{Bytes, BytesMut};
use ebony_types::limits::MAX_ANSWER_BYTES;
use ebony_types::{
    CallId, CallKind, ClockTime, ProblemCode, ProblemReport, ProgramId, RequestDigest, RunVerdict, TargetName,
};
use ebony_wire::{AnswerFrame, AnswerHead, DispatchOrder};

use super::credit::CreditAccount;
use super::messages::{FinishedAnswer, PlaceCall};
use super::picker::PickedTarget;
use super::side_table::SideKey;
use crate::answer::{AnswerAssembly, AnswerPart, AssemblyStep};

/// The final marker of a streamed chat completion, at which clients stop reading.
const STREAM_END: &[u8] = b"data: [DONE]";

/// The result of processing one frame of an answer.
#[derive(Debug)]
pub(super) enum CallStep {
    /// More frames follow.
    Continue,
    /// The answer is complete.
    Finished(FinishedAnswer),
    /// The call failed.
    Failed(ProblemReport),
    /// The reader is gone or its buffer is full.
    Abandoned,
}

/// The stage of a call in the dispatcher.
#[derive(Debug)]
pub(super) enum CallStage {
    /// The call waits until its program is admitted.
    Admission,
    /// The call waits until a target is available.
    Target {
        /// When the wait times out.
        until: ClockTime,
    },
    /// The call waits for its next attempt.
    Backoff {
        /// When the next attempt starts.
        until: ClockTime,
    },
    /// The call was sent to a target.
    Placed(Box<CallAttempt>),
}

/// One attempt of a call.
#[derive(Debug)]
pub(super) struct CallAttempt {
    pub(super) side: SideKey,
    pub(super) picked: PickedTarget,
    pub(super) sent_at: ClockTime,
    /// When the first part of the answer arrived.
    pub(super) first_part: Option<ClockTime>,
}

/// A call that the owner submitted and that has not ended.
pub(super) struct DispatchedCall {
    pub(super) place: PlaceCall,
    pub(super) program: ProgramId,
    pub(super) arrived: ClockTime,
    pub(super) deadline: ClockTime,
    pub(super) stage: CallStage,
    pub(super) attempts: u32,
    /// Targets on which an attempt failed; they are not tried again.
    pub(super) avoided: Vec<TargetName>,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
    /// Whether the owner or the reader cancelled the call. A cancelled call is not retried.
    pub(super) is_cancelled: bool,
    /// The error of the last attempt.
    pub(super) last_problem: Option<ProblemReport>,
    pub(super) credit: CreditAccount,
    /// Whether the answer must be resumed once its reader has room.
    pub(super) needs_resume: bool,
    digest: OnceCell<RequestDigest>,
    assembly: AnswerAssembly,
    head: AnswerHead,
    body: BytesMut,
    withheld: Bytes,
    /// Whether the final marker has arrived.
    is_ending: bool,
}

impl DispatchedCall {
    pub(super) fn new(place: PlaceCall, program: ProgramId, arrived: ClockTime, deadline: ClockTime) -> Self {
        Self {
            place,
            program,
            arrived,
            deadline,
            stage: CallStage::Admission,
            attempts: 0,
            avoided: Vec::new(),
            may_have_run: false,
            is_cancelled: false,
            last_problem: None,
            credit: CreditAccount::open(0),
            needs_resume: false,
            digest: OnceCell::new(),
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

    pub(super) fn id(&self) -> CallId {
        self.place.request.call
    }

    /// Returns the digest of the request, computed on first use.
    pub(super) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| self.place.request.digest())
    }

    /// Returns `true` if the request has an idempotency key. Such a call must not be retried once it may have run.
    pub(super) fn has_key(&self) -> bool {
        self.place.request.idempotency_key.is_some()
    }

    pub(super) fn attempt(&self) -> Option<&CallAttempt> {
        match &self.stage {
            CallStage::Placed(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub(super) fn attempt_mut(&mut self) -> Option<&mut CallAttempt> {
        match &mut self.stage {
            CallStage::Placed(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Returns when the call times out in its current stage: at the end of its wait or at its deadline.
    pub(super) fn timer(&self) -> ClockTime {
        match &self.stage {
            CallStage::Target { until } | CallStage::Backoff { until } => self.deadline.min(*until),
            CallStage::Admission | CallStage::Placed(_) => self.deadline,
        }
    }

    /// Returns the frame body that dispatches the call to a target.
    pub(super) fn order(&self, target: TargetName) -> DispatchOrder {
        DispatchOrder {
            request: self.place.request.clone(),
            target,
            session: self.place.session,
            token: self.place.token,
            rank: self.place.rank,
        }
    }

    /// Returns `true` once the head of the answer has been passed to the reader.
    pub(super) fn has_head(&self) -> bool {
        self.assembly.has_head()
    }

    /// Returns the offset of the first body byte that has not arrived.
    pub(super) fn received(&self) -> u64 {
        self.assembly.received()
    }

    /// Returns `true` if the call may be retried after an attempt with the given verdict: it provably did not run, or
    /// it is a model call without an idempotency key, which is safe to run twice.
    pub(super) fn may_retry(&self, verdict: RunVerdict) -> bool {
        let is_idempotent = !self.has_key() && matches!(self.place.request.kind, CallKind::Model { .. });
        !self.has_head() && !self.is_cancelled && (verdict.is_safe_to_retry() || is_idempotent)
    }

    /// Starts an attempt and resets the answer state. No part of an earlier attempt's answer may have reached the
    /// reader.
    pub(super) fn start(&mut self, attempt: CallAttempt) {
        self.attempts += 1;
        self.stage = CallStage::Placed(Box::new(attempt));
        self.assembly = AnswerAssembly::default();
        self.credit = CreditAccount::open(0);
        self.needs_resume = false;
        self.body.clear();
        self.withheld = Bytes::new();
        self.is_ending = false;
    }

    /// Records that the current attempt failed, and excludes its target from retries.
    pub(super) fn fail(&mut self, problem: &ProblemReport) {
        self.may_have_run |= !problem.run.is_safe_to_retry();
        self.last_problem = Some(problem.clone());
        if let Some(attempt) = self.attempt() {
            let target = attempt.picked.name.clone();
            self.avoided.push(target);
        }
    }

    /// Returns the problem with the verdict on all attempts together: the call may have run if any attempt may have.
    pub(super) fn verdict_on(&self, mut problem: ProblemReport) -> ProblemReport {
        if self.may_have_run && problem.run.is_safe_to_retry() {
            problem.run = RunVerdict::MayHaveRun;
        }
        problem
    }

    /// Returns the problem of a call that the dispatcher ends in its current stage.
    pub(super) fn early_end_problem(&self, code: ProblemCode, detail: &'static str) -> ProblemReport {
        let run = match self.stage {
            CallStage::Placed(_) => RunVerdict::MayHaveRun,
            _ => RunVerdict::NotRun,
        };
        self.verdict_on(ProblemReport::new(code, run, detail))
    }

    /// Processes one frame of the answer.
    pub(super) fn accept(&mut self, frame: AnswerFrame) -> CallStep {
        match self.assembly.accept(frame) {
            AssemblyStep::Accepted | AssemblyStep::Duplicate => CallStep::Continue,
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
                side: self.attempt().map(|attempt| attempt.side).unwrap_or_default(),
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

    /// Withholds the final marker, which is sent to the caller only when the outcome is durable. Returns the other
    /// bytes.
    fn withhold(&mut self, bytes: Bytes) -> Bytes {
        if !matches!(
            self.place.request.kind,
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
        if self.place.pipe.push(part) {
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

/// Returns the number of bytes before a line that is the final marker or, if incomplete, a prefix of it.
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
