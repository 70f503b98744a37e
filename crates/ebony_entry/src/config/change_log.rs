//! The most recent deltas, for processes that missed some of them.

use std::collections::VecDeque;

use ebony_config::history::MAX_PATCH_BYTES;
use ebony_config::{ConfigDelta, ConfigUpdate};

/// The maximum number of deltas kept: about 10 minutes at 17,000 changes per day.
const MAX_CHANGES: usize = 128;

/// The most recent deltas, without gaps. A process that is further behind receives a full document.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    changes: VecDeque<ConfigDelta>,
}

impl ChangeLog {
    /// Adds an update that has come into force.
    pub(super) fn add(&mut self, update: &ConfigUpdate) {
        let ConfigUpdate::Delta(delta) = update else {
            return self.changes.clear();
        };
        let follows = |last: &ConfigDelta| last.version + 1 == delta.version;
        if self.changes.back().is_some_and(|last| !follows(last)) {
            self.changes.clear();
        }
        // Larger deltas would let the log grow to several megabytes. A full document is sent instead.
        if delta.patch.encode().len() > MAX_PATCH_BYTES {
            return self.changes.clear();
        }
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((**delta).clone());
    }

    /// Returns the deltas from version `known` to `newest`, or `None` if one of them is no longer kept.
    pub(super) fn since(&self, known: u64, newest: u64) -> Option<Vec<ConfigUpdate>> {
        let missing = self.changes.iter().filter(|delta| delta.version > known);
        let missing: Vec<ConfigUpdate> = missing
            .map(|delta| ConfigUpdate::Delta(Box::new(delta.clone())))
            .collect();
        let is_whole = u64::try_from(missing.len()).ok() == newest.checked_sub(known);
        is_whole.then_some(missing)
    }
}
