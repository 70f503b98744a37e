//! Reference counts of the body objects that this session has written.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::SessionId;

use crate::journal::record::BodyPlace;

/// Counts references to the objects `bodies/{session}/{sequence}` of one session. An object without references can be
/// deleted.
///
/// An object that another session may reference, because the shard of such a program was released, is no longer
/// counted and therefore never deleted by this session.
#[derive(Clone, Debug)]
pub(super) struct BodyReferences {
    session: SessionId,
    counts: BTreeMap<u64, u32>,
    /// Uncounted objects whose row is not durable yet and may still receive bodies.
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

    /// Adds a reference to the body object of a row.
    pub(super) fn add(&mut self, sequence: u64) {
        if !self.exported.contains(&sequence) {
            *self.counts.entry(sequence).or_default() += 1;
        }
    }

    /// Removes a reference. Returns the sequence of the object if no reference is left.
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

    /// Stops counting an object that another session may reference.
    pub(super) fn export(&mut self, place: BodyPlace) {
        if place.session == self.session {
            self.counts.remove(&place.sequence);
            self.exported.insert(place.sequence);
        }
    }

    /// Drops exported objects up to a durable row, which receives no further records.
    pub(super) fn row_durable(&mut self, sequence: u64) {
        self.exported = self.exported.split_off(&(sequence + 1));
    }
}
