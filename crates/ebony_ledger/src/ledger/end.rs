//! Ended calls: their stored answers, and how they are forgotten.

use ebony_types::{CallId, ClockTime};

use super::CallLedger;
use super::record::{CallState, RecordKey};
use super::withdrawn::MAX_CALL_AGE;
use crate::answer_buffer::AnswerOutcome;

impl CallLedger {
    /// Notes that the owner has made a call's outcome durable. Returns `true` if the call's record was dropped, which
    /// happens when every attached call is settled. A key keeps its tombstone.
    pub fn settled(&mut self, call: CallId) -> bool {
        let Ok(key) = self.key_of(call) else { return false };
        let record = &mut self.records[key];
        if record.state.is_open() {
            return false;
        }
        record.calls.retain(|attached| *attached != call);
        let is_last = record.calls.is_empty();
        self.unlink(key, call);
        if is_last {
            self.remove(key);
        }
        is_last
    }

    /// Ends an open call.
    pub(super) fn end(&mut self, key: RecordKey, outcome: AnswerOutcome, now: ClockTime) {
        let record = &mut self.records[key];
        record.state = match &outcome {
            AnswerOutcome::Whole(_) => CallState::Answered,
            AnswerOutcome::Failed(_) => CallState::Failed,
        };
        record.ended_at = now;
        record.used_at = now;
        record.buffer.end(outcome);
        if record.state == CallState::Failed {
            // The bytes of a failed answer are of no use to anyone.
            self.answer_bytes -= record.buffer.discard();
        }
        if record.buffer.stored_bytes() > 0 {
            self.stored.insert((now, key));
        }
        self.open_calls -= 1;
        self.ended.insert((now, key));
        self.discard_answers();
        self.forget_ended(now);
    }

    /// Drops the oldest stored answers while they exceed their bound. The calls stay known.
    pub(super) fn discard_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
            let Some((_, key)) = self.stored.pop_first() else {
                return;
            };
            self.answer_bytes -= self.records[key].buffer.discard();
        }
    }

    /// Forgets the oldest ended calls at the bound on their number.
    fn forget_ended(&mut self, now: ClockTime) {
        while self.ended.len() > self.limits.ended_calls {
            let Some((_, key)) = self.ended.first().copied() else {
                return;
            };
            self.forget(key, now);
        }
    }

    /// Forgets the ended calls whose time has passed.
    pub(super) fn expire_ended(&mut self, now: ClockTime) {
        while let Some((ended_at, key)) = self.ended.first().copied() {
            if now.since(ended_at) < self.limits.answer_lifetime {
                return;
            }
            self.forget(key, now);
        }
    }

    /// Removes an ended call that nobody settled. No entry asks for a call that is past the longest deadline.
    fn forget(&mut self, key: RecordKey, now: ClockTime) {
        if now.since(self.records[key].used_at) < MAX_CALL_AGE {
            self.forgot_at = now;
        }
        self.remove(key);
    }

    /// Removes a record; its key leaves a tombstone if the request may have run.
    pub(super) fn remove(&mut self, key: RecordKey) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        self.answer_bytes -= record.buffer.stored_bytes();
        self.calls.remove(&record.ticket.call);
        for call in &record.calls {
            self.calls.remove(call);
        }
        if record.state.is_open() {
            self.open_calls -= 1;
        }
        self.ended.remove(&(record.ended_at, key));
        self.stored.remove(&(record.ended_at, key));
        let Some(mark) = record.ticket.key else { return };
        self.keys.remove(&mark);
        if let Some(tombstone) = record.tombstone() {
            let retire_at = record.ended_at + self.limits.key_lifetime;
            self.tombstones.insert(mark, tombstone, retire_at);
        }
    }

    /// Removes a detached call from the index. The call that the target knows stays, to be found after a crash.
    pub(super) fn unlink(&mut self, key: RecordKey, call: CallId) {
        if self.records[key].ticket.call != call {
            self.calls.remove(&call);
        }
    }
}
