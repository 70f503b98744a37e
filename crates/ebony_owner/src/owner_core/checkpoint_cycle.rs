//! Schedules checkpoints, and the truncation of the rows that a checkpoint replaces.
//!
//! A checkpoint goes through four steps. It is *taken* when a row is built that leaves no record queued, so that the
//! memory state equals the state after that row; *stored* once the row is durable; *referenced* by the headers of
//! later rows; and *effective* when the first of these rows is durable. Only then are older rows deleted, so that a
//! successor always finds either the rows or a reference to the checkpoint that replaces them.

use bytes::Bytes;

/// Actions that a durable row makes possible.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CheckpointProgress {
    /// The checkpoint to store, with its sequence.
    pub(super) store: Option<(u64, Bytes)>,
    /// Rows that an effective checkpoint replaces.
    pub(super) truncate: Option<TruncateRange>,
}

/// A range of rows that may be deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TruncateRange {
    pub(super) first: u64,
    pub(super) last: u64,
    /// The superseded checkpoint.
    pub(super) checkpoint: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) struct CheckpointCycle {
    interval: u64,
    rows: u64,
    taken: Option<(u64, Bytes)>,
    storing: Option<u64>,
    /// A stored checkpoint, and the first row whose header references it.
    referenced: Option<(u64, u64)>,
    effective: Option<u64>,
}

impl CheckpointCycle {
    pub(super) fn new(interval: u64) -> Self {
        Self {
            interval: interval.max(1),
            rows: 0,
            taken: None,
            storing: None,
            referenced: None,
            effective: None,
        }
    }

    /// Counts a new row. Returns `true` if a checkpoint should be taken at the next row that leaves no record queued.
    pub(super) fn count_row(&mut self) -> bool {
        self.rows += 1;
        let is_idle = self.taken.is_none() && self.storing.is_none() && self.referenced.is_none();
        is_idle && self.rows >= self.interval
    }

    /// Keeps the encoded state after row `sequence` until that row is durable.
    pub(super) fn take(&mut self, sequence: u64, bytes: Bytes) {
        self.rows = 0;
        self.taken = Some((sequence, bytes));
    }

    pub(super) fn row_durable(&mut self, sequence: u64) -> CheckpointProgress {
        let store = self.taken.take_if(|(taken, _)| *taken <= sequence);
        if let Some((taken, _)) = &store {
            self.storing = Some(*taken);
        }
        let referenced = self.referenced.take_if(|(_, row)| *row <= sequence);
        let truncate = referenced.map(|(checkpoint, _)| {
            let before = self.effective.replace(checkpoint);
            TruncateRange {
                first: before.unwrap_or(0) + 1,
                last: checkpoint,
                checkpoint: before,
            }
        });
        CheckpointProgress { store, truncate }
    }

    /// Handles the outcome of storing a checkpoint. Returns `true` if rows from `next_row` on must reference it.
    pub(super) fn store_done(&mut self, sequence: u64, is_stored: bool, next_row: u64) -> bool {
        if self.storing.take_if(|storing| *storing == sequence).is_none() {
            return false;
        }
        if is_stored {
            self.referenced = Some((sequence, next_row));
        } else {
            self.rows = self.interval;
        }
        is_stored
    }
}
