//! The record of one call in the ledger.

use ebony_types::{
    CallId, ClockTime, FencingToken, ProblemCode, ProblemReport, ProgramId, RequestDigest, RunVerdict,
    TargetName,
};
use ebony_wire::DispatchOrder;

use crate::answer_buffer::{AnswerBuffer, AnswerOutcome};
use crate::tombstone::{KeyHash, KeyTombstone};

slotmap::new_key_type! {
    /// Key of a call record.
    pub(super) struct RecordKey;
}

/// The most calls that share one record. Further repeats of a request are refused.
pub(super) const MAX_ATTACHED_CALLS: usize = 8;

/// The state of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The call is in the queue of the side process, and its target has not received it.
    Queued,
    /// The target may have received the call.
    Dispatched,
    /// The target answered in full.
    Answered,
    /// The call failed; the problem carries the verdict.
    Failed,
}

impl CallState {
    /// Returns `true` if the call is queued or dispatched.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Queued | Self::Dispatched)
    }
}

/// The fields of an order that the ledger keeps.
#[derive(Clone, Debug)]
pub(super) struct OrderTicket {
    pub(super) call: CallId,
    pub(super) program: ProgramId,
    pub(super) target: TargetName,
    pub(super) token: FencingToken,
    pub(super) digest: RequestDigest,
    pub(super) key: Option<KeyHash>,
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
            key: key.map(|key| KeyHash::new(&request.caller, key)),
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    /// The order that was admitted first. The target knows the request by its call.
    pub(super) ticket: OrderTicket,
    /// The attached calls, which receive the answer.
    pub(super) calls: Vec<CallId>,
    pub(super) state: CallState,
    /// The verdict on earlier attempts of the same call or key.
    pub(super) earlier_verdict: RunVerdict,
    pub(super) buffer: AnswerBuffer,
    pub(super) ended_at: ClockTime,
    /// The last time at which the call ended or another call was attached.
    pub(super) used_at: ClockTime,
}

impl CallRecord {
    pub(super) fn new(ticket: OrderTicket, earlier_verdict: RunVerdict) -> Self {
        Self {
            calls: vec![ticket.call],
            ticket,
            state: CallState::Queued,
            earlier_verdict,
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

    /// Returns the problem with a verdict that includes earlier attempts.
    pub(super) fn with_earlier_verdict(&self, mut problem: ProblemReport) -> ProblemReport {
        if problem.run == RunVerdict::NotRun {
            problem.run = self.earlier_verdict;
        }
        problem
    }

    /// Returns whether the request may have run. A queued call counts, because it may still run.
    pub(super) fn verdict(&self) -> RunVerdict {
        match self.state {
            CallState::Queued | CallState::Dispatched => RunVerdict::MayHaveRun,
            CallState::Answered => RunVerdict::Ran,
            CallState::Failed => self
                .problem()
                .map_or(RunVerdict::MayHaveRun, |problem| problem.run),
        }
    }

    /// Returns the problem of an order that has the record's call or key, but a different request.
    pub(super) fn mismatch_problem(&self, ticket: &OrderTicket) -> ProblemReport {
        let is_same_call = self.ticket.call == ticket.call || self.calls.contains(&ticket.call);
        if is_same_call {
            // Entries never reuse call identifiers, unless they are faulty.
            let detail = "the call identifier was used with another request";
            return ProblemReport::may_have_run(ProblemCode::BadRequest, detail);
        }
        reused_problem()
    }

    /// Returns `true` if the same call or key may run again after this failed attempt.
    pub(super) fn may_run_again(&self) -> bool {
        let Some(problem) = self.problem() else {
            return false;
        };
        match problem.code {
            ProblemCode::Cancelled | ProblemCode::DeadlineExceeded => false,
            _ => problem.run == RunVerdict::NotRun || self.ticket.key.is_none(),
        }
    }

    /// Returns the tombstone for the record's key; `None` if the request has not run.
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

/// Returns the problem of an order whose key was used with a different request. The order is not dispatched.
pub(super) fn reused_problem() -> ProblemReport {
    let detail = "the idempotency key was used with another request";
    ProblemReport::not_run(ProblemCode::KeyReused, detail)
}
