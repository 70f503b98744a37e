//! Ended calls: their stored answers, and the removal of their records.

use ebony_types::{CallId, ClockTime};

use super::CallLedger;
use super::record::{CallState, RecordKey};
use super::withdrawn::MAX_CALL_AGE;
use crate::answer_buffer::AnswerOutcome;

impl CallLedger {
    /// Records that the owner has stored the outcome of a call durably. The call's record is dropped once every
    /// attached call is settled; a tombstone of its key remains. Returns `true` if the record was dropped.
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
            AnswerOutcome::Complete(_) => CallState::Answered,
            AnswerOutcome::Failed(_) => CallState::Failed,
        };
        record.ended_at = now;
        record.used_at = now;
        record.buffer.end(outcome);
        if record.state == CallState::Failed {
            // Readers get no further bytes of a failed answer.
            self.answer_bytes -= record.buffer.discard();
        }
        if record.buffer.stored_bytes() > 0 {
            self.stored.insert((now, key));
        }
        self.open_calls -= 1;
        self.ended.insert((now, key));
        self.discard_answers();
        self.drop_excess(now);
    }

    /// Drops the oldest stored answers while they exceed their limit. The records of the calls remain.
    pub(super) fn discard_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
            let Some((_, key)) = self.stored.pop_first() else {
                return;
            };
            self.answer_bytes -= self.records[key].buffer.discard();
        }
    }

    /// Drops the oldest ended calls while there are more than the limit.
    fn drop_excess(&mut self, now: ClockTime) {
        while self.ended.len() > self.limits.ended_calls {
            let Some((_, key)) = self.ended.first().copied() else {
                return;
            };
            self.drop_unsettled(key, now);
        }
    }

    /// Drops the ended calls that have expired.
    pub(super) fn expire_ended(&mut self, now: ClockTime) {
        while let Some((ended_at, key)) = self.ended.first().copied() {
            if now.since(ended_at) < self.limits.answer_lifetime {
                return;
            }
            self.drop_unsettled(key, now);
        }
    }

    /// Drops an ended call that was not settled. Entries do not ask about calls that are older than [`MAX_CALL_AGE`].
    fn drop_unsettled(&mut self, key: RecordKey, now: ClockTime) {
        if now.since(self.records[key].used_at) < MAX_CALL_AGE {
            self.last_dropped_at = now;
        }
        self.remove(key);
    }

    /// Removes a record, and adds a tombstone of its key if the request may have run.
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
        let Some(hash) = record.ticket.key else { return };
        self.keys.remove(&hash);
        if let Some(tombstone) = record.tombstone() {
            let expires_at = record.ended_at + self.limits.key_lifetime;
            self.tombstones.insert(hash, tombstone, expires_at);
        }
    }

    /// Removes a detached call from the index. The first call stays: the target knows the request by it, and it is
    /// looked up after a crash.
    pub(super) fn unlink(&mut self, key: RecordKey, call: CallId) {
        if self.records[key].ticket.call != call {
            self.calls.remove(&call);
        }
    }
}
