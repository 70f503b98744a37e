//! Copies of other owners' journal rows, held while the platform accepts no writes.

use std::collections::{BTreeMap, VecDeque};

use ebony_types::SessionId;
use ebony_wire::HeldRow;

/// The maximum bytes of copies in one entry. A copy beyond it is refused, and its owner tries another entry.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// The maximum bytes of copies in one reply, so that it fits into a frame.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// The maximum number of closed sessions remembered. An owner notices within one lease that its journal was sealed,
/// long before so many other sessions are sealed.
const MAX_CLOSED: usize = 1_024;

/// Copies of rows by session and number. They are removed once the rows are durable.
#[derive(Debug, Default)]
pub(super) struct HeldRows {
    rows: BTreeMap<(SessionId, u64), HeldRow>,
    bytes: usize,
    /// Sessions whose copies a successor has read. It would miss later copies, so they are refused.
    closed: VecDeque<SessionId>,
}

fn size_of(row: &HeldRow) -> usize {
    row.row.len() + row.bodies.as_ref().map_or(0, bytes::Bytes::len)
}

impl HeldRows {
    /// Holds a copy. Returns `false` if there is no room, or if a successor is about to seal the journal.
    pub(super) fn hold(&mut self, row: HeldRow) -> bool {
        let key = (row.session, row.sequence);
        if self.closed.contains(&row.session) {
            return false;
        }
        if self.rows.contains_key(&key) {
            return true;
        }
        let size = size_of(&row);
        if self.bytes + size > MAX_HELD_BYTES {
            return false;
        }
        self.bytes += size;
        self.rows.insert(key, row);
        true
    }

    /// Refuses further copies of a session.
    pub(super) fn close(&mut self, session: SessionId) {
        if self.closed.contains(&session) {
            return;
        }
        if self.closed.len() == MAX_CLOSED {
            self.closed.pop_front();
        }
        self.closed.push_back(session);
    }

    /// Drops the copies of a session up to and including a row.
    pub(super) fn drop_up_to(&mut self, session: SessionId, durable: u64) {
        let dropped = self
            .rows
            .extract_if((session, 0)..=(session, durable), |_, _| true);
        let size: usize = dropped.map(|(_, row)| size_of(&row)).sum();
        self.bytes -= size;
    }

    fn rows_after(&self, session: SessionId, after: u64) -> impl Iterator<Item = &HeldRow> {
        let first = (session, after.saturating_add(1));
        self.rows.range(first..=(session, u64::MAX)).map(|(_, row)| row)
    }

    /// Returns the copies of a session after a row, in order, as many as fit into a reply, but at least one.
    pub(super) fn read(&self, session: SessionId, after: u64) -> Vec<HeldRow> {
        let mut size = 0;
        let fits = self.rows_after(session, after).take_while(|row| {
            let is_first = size == 0;
            size += size_of(row);
            is_first || size <= MAX_REPLY_BYTES
        });
        fits.cloned().collect()
    }

    /// Returns the first copy of a session after a row.
    pub(super) fn first_after(&self, session: SessionId, after: u64) -> Option<HeldRow> {
        self.rows_after(session, after).next().cloned()
    }

    /// Returns the first copy of each session.
    pub(super) fn first_of_each(&self) -> Vec<HeldRow> {
        let mut firsts: Vec<HeldRow> = Vec::new();
        for ((session, _), row) in &self.rows {
            if firsts.last().is_none_or(|last| last.session != *session) {
                firsts.push(row.clone());
            }
        }
        firsts
    }
}
