//! Dispatch of calls, and the events of targets that run them.

use bytes::Bytes;
use ebony_types::limits::MAX_ANSWER_BYTES;
use ebony_types::{
    CallId, CallUsage, ClockTime, ProblemCode, ProblemReport, ProcessIncarnation, RunVerdict, TargetName,
};
use ebony_wire::AnswerHead;

use super::admit::{crashing_problem, fenced_problem};
use super::record::{CallRecord, CallState, RecordKey};
use super::{CallLedger, CrashOutcome, LedgerError, Result, StartDecision};
use crate::answer_buffer::AnswerOutcome;
use crate::crash_tracker::CrashStanding;
use crate::quarantine::StartPermit;

impl CallLedger {
    /// Decides whether a queued call may be sent to its target, and marks it as dispatched if so.
    ///
    /// On [`StartDecision::Hold`], the shell tries the next call of its queue. It tries all calls again when one stops.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError`] if the call is not queued.
    pub fn start(&mut self, call: CallId, now: ClockTime) -> Result<StartDecision> {
        let key = self.key_of(call)?;
        let record = &self.records[key];
        if record.state != CallState::Queued {
            return Err(LedgerError::WrongState);
        }
        if let Some(problem) = self.start_refusal(record, now) {
            return Ok(self.refuse_start(key, problem, now));
        }
        match self.request_permit(key, now) {
            StartPermit::Start => {
                self.records[key].state = CallState::Dispatched;
                Ok(StartDecision::Start)
            }
            StartPermit::Hold => Ok(StartDecision::Hold),
            StartPermit::UnknownTarget => {
                let detail = "the target is not behind this side process";
                let problem = ProblemReport::not_run(ProblemCode::NoTarget, detail);
                Ok(self.refuse_start(key, problem, now))
            }
        }
    }

    fn refuse_start(&mut self, key: RecordKey, problem: ProblemReport, now: ClockTime) -> StartDecision {
        let record = &self.records[key];
        let problem = record.with_earlier_verdict(problem);
        self.quarantine.stop(&record.ticket.target, record.ticket.call);
        self.end(key, AnswerOutcome::Failed(problem.clone()), now);
        StartDecision::Refuse(problem)
    }

    fn start_refusal(&self, record: &CallRecord, now: ClockTime) -> Option<ProblemReport> {
        let ticket = &record.ticket;
        if ticket.token < self.fence.highest_shard_token(ticket.program.shard()) {
            return Some(fenced_problem(RunVerdict::NotRun));
        }
        let standing = self.crashes.standing(ticket.digest, now);
        (standing == CrashStanding::Refused).then(crashing_problem)
    }

    fn request_permit(&mut self, key: RecordKey, now: ClockTime) -> StartPermit {
        let ticket = &self.records[key].ticket;
        let is_suspect = self.crashes.standing(ticket.digest, now) == CrashStanding::Suspect;
        self.quarantine
            .start(&ticket.target, ticket.call, ticket.digest, is_suspect)
    }

    /// Stores the status and header fields of an answer.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError`] if the call is not running.
    pub fn record_head(&mut self, call: CallId, head: AnswerHead) -> Result<()> {
        let key = self.require_dispatched(call)?;
        self.records[key].buffer.set_head(head);
        Ok(())
    }

    /// Appends a part of an answer. Returns `true` if the target may send more now.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError`] if the call is not running, or too many bytes of the answer are unconfirmed.
    pub fn record_chunk(&mut self, call: CallId, bytes: &Bytes) -> Result<bool> {
        let key = self.require_dispatched(call)?;
        let buffer = &mut self.records[key].buffer;
        buffer.push(bytes)?;
        self.answer_bytes += bytes.len();
        self.answer_bytes -= buffer.trim(MAX_ANSWER_BYTES);
        let has_room = buffer.has_room();
        self.discard_answers();
        self.trim_confirmed(key);
        Ok(has_room)
    }

    /// Records that a receiver has all bytes of an answer before `offset`. Returns `true` if the target may send more.
    pub fn confirm(&mut self, call: CallId, offset: u64) -> bool {
        let Ok(key) = self.key_of(call) else { return false };
        let record = &mut self.records[key];
        record.buffer.confirm(offset);
        let may_send = record.state.is_open() && record.buffer.has_room();
        self.trim_confirmed(key);
        may_send
    }

    /// Drops confirmed bytes of a running call's answer while the stored answers exceed their limit.
    fn trim_confirmed(&mut self, key: RecordKey) {
        if self.answer_bytes <= self.limits.answer_bytes {
            return;
        }
        let excess = self.answer_bytes - self.limits.answer_bytes;
        let record = &mut self.records[key];
        if record.state.is_open() {
            let limit = record.buffer.stored_bytes().saturating_sub(excess);
            self.answer_bytes -= record.buffer.trim(limit);
        }
    }

    /// Ends a call with its complete answer, and clears its request of crashes.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError`] if the call is not running.
    pub fn complete(&mut self, call: CallId, usage: CallUsage, now: ClockTime) -> Result<()> {
        let key = self.require_dispatched(call)?;
        let ticket = &self.records[key].ticket;
        self.quarantine.stop(&ticket.target, ticket.call);
        self.crashes.record_completion(ticket.digest);
        self.end(key, AnswerOutcome::Complete(usage), now);
        Ok(())
    }

    /// Ends a call with a failure and returns the recorded problem, whose verdict may differ: a queued call has not
    /// run, unless an earlier attempt may have.
    ///
    /// If the outcome is unknown, the call counts as running until [`CallLedger::record_run_stopped`], because a broken
    /// connection may be the first sign of a crash, and the call would then be a suspect.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError`] if the call has ended.
    pub fn fail(
        &mut self,
        call: CallId,
        mut problem: ProblemReport,
        now: ClockTime,
    ) -> Result<ProblemReport> {
        let key = self.key_of(call)?;
        let record = &self.records[key];
        match record.state {
            CallState::Queued => problem.run = RunVerdict::NotRun,
            CallState::Dispatched => {}
            CallState::Answered | CallState::Failed => return Err(LedgerError::WrongState),
        }
        if problem.run != RunVerdict::MayHaveRun {
            self.quarantine.stop(&record.ticket.target, record.ticket.call);
        }
        let problem = record.with_earlier_verdict(problem);
        self.end(key, AnswerOutcome::Failed(problem.clone()), now);
        Ok(problem)
    }

    /// Records that a live target no longer runs a call that was cancelled or failed.
    pub fn record_run_stopped(&mut self, target: &TargetName, call: CallId) {
        self.quarantine.stop(target, call);
    }

    /// Records that a target crashed and was restarted as incarnation `next`.
    ///
    /// Its running calls fail as [`RunVerdict::MayHaveRun`], and their requests become suspects. Queued calls stay
    /// queued. Returns `None` if the target is unknown or the crash was already recorded.
    pub fn target_crashed(
        &mut self,
        target: &TargetName,
        next: ProcessIncarnation,
        now: ClockTime,
    ) -> Option<CrashOutcome> {
        let crash = self.quarantine.crash(target, next)?;
        let detail = "the target crashed while it ran the call";
        let mut outcome = CrashOutcome {
            site: crash.site,
            failed: Vec::new(),
            problem: ProblemReport::may_have_run(ProblemCode::TargetFailed, detail),
            suspects: Vec::new(),
        };
        for (call, digest) in crash.running {
            self.crashes.record_crash(digest, outcome.site.clone(), now);
            outcome.suspects.push(digest);
            if let Some(key) = self.dispatched_key(call) {
                outcome.failed.extend_from_slice(&self.records[key].calls);
                self.end(key, AnswerOutcome::Failed(outcome.problem.clone()), now);
            }
        }
        Some(outcome)
    }

    /// Records that the answer to `survivor` came from incarnation `next` of the target, so that the target crashed
    /// before it received that call. The other calls fail as in [`CallLedger::target_crashed`]; the survivor continues.
    pub fn target_restarted(
        &mut self,
        target: &TargetName,
        next: ProcessIncarnation,
        survivor: CallId,
        now: ClockTime,
    ) -> Option<CrashOutcome> {
        self.quarantine.stop(target, survivor);
        let outcome = self.target_crashed(target, next, now);
        if let Some(key) = self.dispatched_key(survivor) {
            // Registers the call as running. The result is ignored, because the target already runs the call.
            self.request_permit(key, now);
        }
        outcome
    }

    /// Returns the key of the record if `call` is dispatched.
    fn dispatched_key(&self, call: CallId) -> Option<RecordKey> {
        let key = *self.calls.get(&call)?;
        let record = self.records.get(key)?;
        (record.state == CallState::Dispatched).then_some(key)
    }

    fn require_dispatched(&self, call: CallId) -> Result<RecordKey> {
        let key = self.key_of(call)?;
        match self.records[key].state {
            CallState::Dispatched => Ok(key),
            _ => Err(LedgerError::WrongState),
        }
    }
}
