//! One call in the ledger.

use ebony_types::{
    CallId, ClockTime, FencingToken, ProblemCode, ProblemReport, ProgramId, RequestDigest, RunVerdict,
    TargetName,
};
use ebony_wire::DispatchOrder;

use crate::answer_buffer::{AnswerBuffer, AnswerOutcome};
use crate::tombstone::{KeyMark, KeyTombstone};

slotmap::new_key_type! {
    /// Key of a call record.
    pub(super) struct RecordKey;
}

/// The most calls that share one record. A caller that repeats a request more often is refused.
pub(super) const MAX_ATTACHED_CALLS: usize = 8;

/// The life cycle of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The call waits in the side process's queue; its target has not received it.
    Queued,
    /// The target may have received the call.
    Dispatched,
    /// The target answered in full.
    Answered,
    /// The call failed; the problem carries the verdict.
    Failed,
}

impl CallState {
    /// Returns `true` if the call waits or runs.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Queued | Self::Dispatched)
    }
}

/// The parts of an order that the ledger keeps.
#[derive(Clone, Debug)]
pub(super) struct OrderTicket {
    pub(super) call: CallId,
    pub(super) program: ProgramId,
    pub(super) target: TargetName,
    pub(super) token: FencingToken,
    pub(super) digest: RequestDigest,
    pub(super) key: Option<KeyMark>,
}

impl OrderTicket {
    pub(super) fn new(order: &DispatchOrder, program: ProgramId) -> Self {
        let request = &order.request;
        let key = request.idempotency_key.as_ref();
        Self {
            call: request.call,
            program,
            target: order.target.clone(),
            token: order.token,
            digest: request.digest(),
            key: key.map(|key| KeyMark::new(&request.caller, key)),
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    /// The order that was admitted first. Its call is the one that the target knows.
    pub(super) ticket: OrderTicket,
    /// The calls that receive the answer.
    pub(super) calls: Vec<CallId>,
    pub(super) state: CallState,
    /// The verdict of earlier attempts under the same call identifier.
    pub(super) earlier: RunVerdict,
    pub(super) buffer: AnswerBuffer,
    pub(super) ended_at: ClockTime,
    /// The last time at which the call ended or another call was attached.
    pub(super) used_at: ClockTime,
}

impl CallRecord {
    pub(super) fn new(ticket: OrderTicket, earlier: RunVerdict) -> Self {
        Self {
            calls: vec![ticket.call],
            ticket,
            state: CallState::Queued,
            earlier,
            buffer: AnswerBuffer::default(),
            ended_at: ClockTime::default(),
            used_at: ClockTime::default(),
        }
    }

    pub(super) fn problem(&self) -> Option<&ProblemReport> {
        match self.buffer.outcome() {
            Some(AnswerOutcome::Failed(problem)) => Some(problem),
            _ => None,
        }
    }

    /// Returns the problem with a verdict that covers earlier attempts too.
    pub(super) fn with_earlier(&self, mut problem: ProblemReport) -> ProblemReport {
        if problem.run == RunVerdict::NotRun {
            problem.run = self.earlier;
        }
        problem
    }

    /// Returns whether the request may have run, as far as the ledger knows. A queued call may still run.
    pub(super) fn verdict(&self) -> RunVerdict {
        match self.state {
            CallState::Queued | CallState::Dispatched => RunVerdict::MayHaveRun,
            CallState::Answered => RunVerdict::Ran,
            CallState::Failed => self
                .problem()
                .map_or(RunVerdict::MayHaveRun, |problem| problem.run),
        }
    }

    /// Returns the problem of an order that matches the record's call or key, but is another request.
    pub(super) fn mismatch_problem(&self, ticket: &OrderTicket) -> ProblemReport {
        let is_same_call = self.ticket.call == ticket.call || self.calls.contains(&ticket.call);
        if is_same_call {
            // Only a faulty entry reuses a call identifier.
            let detail = "the call identifier was used with another request";
            return ProblemReport::may_have_run(ProblemCode::BadRequest, detail);
        }
        reused_problem()
    }

    /// Returns `true` if the same call, or the same key, may run after this failed attempt.
    pub(super) fn may_run_again(&self) -> bool {
        let Some(problem) = self.problem() else {
            return false;
        };
        match problem.code {
            ProblemCode::Cancelled | ProblemCode::DeadlineExceeded => false,
            _ => problem.run == RunVerdict::NotRun || self.ticket.key.is_none(),
        }
    }

    /// Returns what has to remain of the record's key.
    pub(super) fn tombstone(&self) -> Option<KeyTombstone> {
        let run = self.verdict();
        if run == RunVerdict::NotRun {
            return None;
        }
        Some(KeyTombstone {
            digest: self.ticket.digest,
            program: self.ticket.program,
            code: self
                .problem()
                .map_or(ProblemCode::KeyExpired, |problem| problem.code),
            run,
        })
    }
}

/// Returns the problem of a key that was used with another request. The other request does not run under the key.
pub(super) fn reused_problem() -> ProblemReport {
    let detail = "the idempotency key was used with another request";
    ProblemReport::not_run(ProblemCode::KeyReused, detail)
}
