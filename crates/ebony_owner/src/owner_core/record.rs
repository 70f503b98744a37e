//! Commits of durable changes: [`ServingState::commit`] applies every change to memory and queues it for the journal.

use bytes::Bytes;

use super::effect::DurableEffect;
use super::state::ServingState;
use crate::journal::record::{BodyPlace, JournalRecord, ReservedRecord};
use crate::journal::writer::RecordGroup;
use crate::program::table::ProgramKey;

impl ServingState {
    /// Applies a group of records to memory and queues it for the journal. Returns the sequence of its row.
    pub(super) fn commit(&mut self, mut records: Vec<JournalRecord>, body: Option<Bytes>) -> u64 {
        let place = self.writer.next_place(body.as_ref().map_or(0, Bytes::len));
        for record in &mut records {
            record.set_body(place.span);
            self.apply(record, place);
        }
        if body.is_some() {
            self.bodies.add(place.sequence);
        }
        let group = RecordGroup { records, body };
        if self.writer.push(group).is_err() {
            // The memory state now has changes that can never become durable, so the session must end.
            self.is_lost = true;
        }
        place.sequence
    }

    fn apply(&mut self, record: &JournalRecord, place: BodyPlace) {
        let key = self
            .programs
            .apply(record, place.session, place.sequence, self.now);
        let Some((key, entry)) = key.and_then(|key| Some((key, self.programs.get(key)?))) else {
            return;
        };
        let ceiling = entry.image.ceiling;
        if ceiling != entry.account.durable_ceiling {
            let effect = DurableEffect::RaiseCeiling {
                program: key,
                ceiling,
                ceiling_decreases: entry.account.ceiling_decreases,
            };
            self.effects.push(place.sequence, effect);
        }
    }

    /// Records the spent amounts and the ceiling of a program, if the journal has the program.
    pub(super) fn commit_amounts(&mut self, key: ProgramKey, record: ReservedRecord) {
        if self.programs.get(key).is_some_and(|entry| entry.is_journaled) {
            self.commit(vec![JournalRecord::Reserved(record)], None);
        }
    }

    /// Defers an effect until a row is durable, or carries it out now if the row already is.
    pub(super) fn run_when_durable(&mut self, sequence: u64, effect: DurableEffect) {
        if sequence <= self.writer.durable() {
            self.run_effect(effect);
        } else {
            self.effects.push(sequence, effect);
        }
    }
}
