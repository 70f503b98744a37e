//! Which body objects of this session are still referred to.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::SessionId;

use crate::journal::record::BodyPlace;

/// Counts references to the objects `bodies/{session}/{sequence}` of one session.
///
/// An object that another session may refer to, because a shard with such a program was released, is no longer counted
/// and therefore never deleted by this session.
#[derive(Clone, Debug)]
pub(super) struct BodyReferences {
    session: SessionId,
    counts: BTreeMap<u64, u32>,
    /// Objects that are not counted and whose row still takes records.
    exported: BTreeSet<u64>,
}

impl BodyReferences {
    pub(super) fn new(session: SessionId) -> Self {
        Self {
            session,
            counts: BTreeMap::new(),
            exported: BTreeSet::new(),
        }
    }

    /// Adds a reference to a new object.
    pub(super) fn add(&mut self, sequence: u64) {
        if !self.exported.contains(&sequence) {
            *self.counts.entry(sequence).or_default() += 1;
        }
    }

    /// Removes a reference. Returns the sequence of an object that has none left.
    pub(super) fn release(&mut self, place: BodyPlace) -> Option<u64> {
        if place.session != self.session {
            return None;
        }
        let count = self.counts.get_mut(&place.sequence)?;
        *count -= 1;
        if *count > 0 {
            return None;
        }
        self.counts.remove(&place.sequence);
        Some(place.sequence)
    }

    /// Stops counting an object that another session may refer to.
    pub(super) fn export(&mut self, place: BodyPlace) {
        if place.session == self.session {
            self.counts.remove(&place.sequence);
            self.exported.insert(place.sequence);
        }
    }

    /// Forgets exported objects whose rows take no more records.
    pub(super) fn row_durable(&mut self, sequence: u64) {
        self.exported = self.exported.split_off(&(sequence + 1));
    }
}
