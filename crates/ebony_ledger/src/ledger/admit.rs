//! Admission of orders.

use ebony_types::{ClockTime, ProblemCode, ProblemReport, RunVerdict};
use ebony_wire::DispatchOrder;

use super::record::{CallRecord, CallState, MAX_ATTACHED_CALLS, OrderTicket, RecordKey, reused_problem};
use super::{CallLedger, LedgerDecision};
use crate::crash_tracker::CrashStanding;
use crate::fencing::FenceError;

/// How long a caller is told to wait before a retry, if a table or the list of attached calls is full.
const RETRY_AFTER_SECONDS: u32 = 2;

impl CallLedger {
    /// Decides how to proceed with an order. A new call becomes queued.
    ///
    /// A refusal as [`RunVerdict::NotRun`] means that this order will not be dispatched, and that its key has not been
    /// dispatched for the same request in this incarnation of the process. An earlier order for a call without a key
    /// may no longer be known; an entry that sends such a call again has to keep the verdict of the earlier attempt.
    pub fn admit(&mut self, order: &DispatchOrder, now: ClockTime) -> LedgerDecision {
        let Some(program) = order.request.program else {
            let problem = ProblemReport::not_run(ProblemCode::BadRequest, "the order names no program");
            return LedgerDecision::Refuse(problem);
        };
        let ticket = OrderTicket::new(order, program);
        if let Err(FenceError::Stale { highest }) = self.fence.check_shard(program.shard(), ticket.token) {
            let problem = fenced_problem(self.known_verdict(&ticket));
            return LedgerDecision::Fenced { highest, problem };
        }
        self.tombstones.confirm_program(program, now);
        if let Some(decision) = self.match_known(&ticket, now) {
            return decision;
        }
        if let Some(problem) = self.withdrawn.problem(ticket.call) {
            return LedgerDecision::Refuse(problem.clone());
        }
        match self.refusal(&ticket, now) {
            Some(mut problem) => {
                problem.run = self.known_verdict(&ticket);
                LedgerDecision::Refuse(problem)
            }
            None => self.insert(ticket),
        }
    }

    /// Returns the verdict on earlier orders with the same call or key, as far as known.
    fn known_verdict(&self, ticket: &OrderTicket) -> RunVerdict {
        if let Some(record) = self.find(ticket).and_then(|key| self.records.get(key)) {
            return record.verdict();
        }
        let tombstone = ticket.key.and_then(|hash| self.tombstones.get(hash));
        tombstone.map_or(RunVerdict::NotRun, |tombstone| tombstone.run)
    }

    fn find(&self, ticket: &OrderTicket) -> Option<RecordKey> {
        let by_call = self.calls.get(&ticket.call);
        let by_key = || ticket.key.and_then(|hash| self.keys.get(&hash));
        by_call.or_else(by_key).copied()
    }

    fn match_known(&mut self, ticket: &OrderTicket, now: ClockTime) -> Option<LedgerDecision> {
        match self.find(ticket) {
            Some(key) => self.match_record(key, ticket, now),
            None => self.match_tombstone(ticket),
        }
    }

    fn match_record(
        &mut self,
        key: RecordKey,
        ticket: &OrderTicket,
        now: ClockTime,
    ) -> Option<LedgerDecision> {
        let record = self.records.get(key)?;
        let is_same_request = record.ticket.key == ticket.key && record.ticket.digest == ticket.digest;
        if !is_same_request {
            return Some(LedgerDecision::Refuse(record.mismatch_problem(ticket)));
        }
        match record.state {
            CallState::Queued | CallState::Dispatched => Some(self.attach(key, ticket, now)),
            CallState::Answered if record.buffer.is_whole() => Some(self.attach(key, ticket, now)),
            CallState::Answered => {
                let detail = "the call ran, and its answer is no longer stored";
                let problem = ProblemReport::new(ProblemCode::KeyExpired, RunVerdict::Ran, detail);
                Some(LedgerDecision::Refuse(problem))
            }
            CallState::Failed if record.may_run_again() => None,
            CallState::Failed => record.problem().cloned().map(LedgerDecision::Refuse),
        }
    }

    fn match_tombstone(&mut self, ticket: &OrderTicket) -> Option<LedgerDecision> {
        let tombstone = self.tombstones.get(ticket.key?)?;
        let problem = if tombstone.digest == ticket.digest {
            tombstone.problem()
        } else {
            reused_problem()
        };
        Some(LedgerDecision::Refuse(problem))
    }

    /// Attaches the order's call to a record, whose answer it receives.
    fn attach(&mut self, key: RecordKey, ticket: &OrderTicket, now: ClockTime) -> LedgerDecision {
        let record = &mut self.records[key];
        if !record.calls.contains(&ticket.call) {
            if record.calls.len() >= MAX_ATTACHED_CALLS {
                let detail = "too many calls wait for the answer under this idempotency key";
                let problem = ProblemReport::new(ProblemCode::KeyInUse, record.verdict(), detail);
                return LedgerDecision::Refuse(problem.retry_after(RETRY_AFTER_SECONDS));
            }
            record.calls.push(ticket.call);
            self.calls.insert(ticket.call, key);
            self.withdrawn.remove(ticket.call);
        }
        record.used_at = now;
        // The shard may have a new owner by now; its higher token keeps the call from being fenced.
        record.ticket.token = record.ticket.token.max(ticket.token);
        let call = record.ticket.call;
        if record.state.is_open() {
            LedgerDecision::Attach { call }
        } else {
            LedgerDecision::Replay { call }
        }
    }

    /// Returns the problem if a new call, or another attempt at a failed one, can't be admitted.
    fn refusal(&self, ticket: &OrderTicket, now: ClockTime) -> Option<ProblemReport> {
        if self.crashes.standing(ticket.digest, now) == CrashStanding::Refused {
            return Some(crashing_problem());
        }
        if self.open_calls >= self.limits.open_calls {
            return Some(full_problem("too many calls wait at the side process"));
        }
        let is_new_key = ticket.key.is_some_and(|hash| !self.keys.contains_key(&hash));
        if is_new_key && self.known_keys() >= self.limits.known_keys {
            return Some(full_problem(
                "the side process can remember no further idempotency key",
            ));
        }
        None
    }

    fn insert(&mut self, ticket: OrderTicket) -> LedgerDecision {
        let call = ticket.call;
        let hash = ticket.key;
        let earlier = self.known_verdict(&ticket);
        if let Some(failed) = self.find(&ticket) {
            self.remove(failed);
        }
        let key = self.records.insert(CallRecord::new(ticket, earlier));
        self.calls.insert(call, key);
        if let Some(hash) = hash {
            self.keys.insert(hash, key);
        }
        self.open_calls += 1;
        LedgerDecision::Run
    }
}

/// Returns the problem of a request that was running at two crashes. It has not run under this call.
pub(super) fn crashing_problem() -> ProblemReport {
    ProblemReport::not_run(
        ProblemCode::CrashingRequest,
        "the request was running when two targets crashed",
    )
}

/// Returns the problem of an order from a previous owner of the shard.
pub(super) fn fenced_problem(run: RunVerdict) -> ProblemReport {
    ProblemReport::new(
        ProblemCode::OwnerUnavailable,
        run,
        "the program's shard has a newer owner",
    )
}

fn full_problem(detail: &'static str) -> ProblemReport {
    ProblemReport::not_run(ProblemCode::Overloaded, detail).retry_after(RETRY_AFTER_SECONDS)
}
