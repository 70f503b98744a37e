//! Cancellation of calls, and resumption of answers over a new link.

use ebony_types::{CallId, ClockTime, ProblemCode, ProblemReport, RunVerdict};

use super::record::{CallState, RecordKey};
use super::withdrawn::MAX_CALL_AGE;
use super::{CallLedger, CancelDecision, ResumeDecision};
use crate::answer_buffer::AnswerOutcome;

impl CallLedger {
    /// Ends a call early because of `cause`, for instance [`ProblemCode::Cancelled`] or
    /// [`ProblemCode::DeadlineExceeded`].
    ///
    /// A queued call has not run, and a late order for it will be refused. A dispatched call may have run.
    pub fn cancel(&mut self, call: CallId, cause: ProblemCode, now: ClockTime) -> CancelDecision {
        let Ok(key) = self.key_of(call) else {
            return CancelDecision::Unknown(self.withdraw_unknown(call, cause, now));
        };
        let record = &self.records[key];
        let is_attached = record.calls.contains(&call);
        match record.state {
            _ if !is_attached => CancelDecision::Ended,
            CallState::Answered | CallState::Failed => CancelDecision::Ended,
            _ if record.calls.len() > 1 => self.detach(key, call, cause, now),
            CallState::Queued => self.dequeue(key, call, cause, now),
            CallState::Dispatched => self.interrupt(key, cause, now),
        }
    }

    fn detach(&mut self, key: RecordKey, call: CallId, cause: ProblemCode, now: ClockTime) -> CancelDecision {
        self.records[key].calls.retain(|attached| *attached != call);
        self.unlink(key, call);
        let detail = "the call was abandoned; another call with its idempotency key goes on";
        let problem = ProblemReport::may_have_run(cause, detail);
        self.withdrawn.insert(call, problem.clone(), now);
        CancelDecision::Detach(problem)
    }

    fn dequeue(
        &mut self,
        key: RecordKey,
        call: CallId,
        cause: ProblemCode,
        now: ClockTime,
    ) -> CancelDecision {
        let record = &self.records[key];
        let first = record.ticket.call;
        let problem = ProblemReport::not_run(cause, "the call ended in the queue");
        let problem = record.with_earlier_verdict(problem);
        self.quarantine.stop(&record.ticket.target, first);
        self.end(key, AnswerOutcome::Failed(problem.clone()), now);
        self.remove(key);
        self.withdrawn.insert(first, problem.clone(), now);
        self.withdrawn.insert(call, problem.clone(), now);
        CancelDecision::Dequeue(problem)
    }

    fn interrupt(&mut self, key: RecordKey, cause: ProblemCode, now: ClockTime) -> CancelDecision {
        let ticket = &self.records[key].ticket;
        let target = ticket.target.clone();
        let call = ticket.call;
        let problem = ProblemReport::may_have_run(cause, "the call ended while its target ran it");
        self.end(key, AnswerOutcome::Failed(problem.clone()), now);
        CancelDecision::Interrupt {
            target,
            call,
            problem,
        }
    }

    /// Decides whether the answer of a call can continue over a new link.
    pub fn resume(&mut self, call: CallId, now: ClockTime) -> ResumeDecision {
        if self.calls.contains_key(&call) {
            return ResumeDecision::Continue;
        }
        ResumeDecision::Fail(self.withdraw_unknown(call, ProblemCode::TargetFailed, now))
    }

    /// Returns the problem for an unknown call. The call is reported as not run only if the ledger has dropped no call
    /// for [`MAX_CALL_AGE`]; a late order for it will then be refused.
    fn withdraw_unknown(&mut self, call: CallId, cause: ProblemCode, now: ClockTime) -> ProblemReport {
        if let Some(problem) = self.withdrawn.problem(call) {
            return problem.clone();
        }
        let detail = "the side process does not know the call";
        if now.since(self.last_dropped_at) < MAX_CALL_AGE {
            return ProblemReport::new(cause, RunVerdict::MayHaveRun, detail);
        }
        let problem = ProblemReport::not_run(cause, detail);
        self.withdrawn.insert(call, problem.clone(), now);
        problem
    }
}
