//! The last changes, for processes that miss some of them.

use std::collections::VecDeque;

use ebony_config::history::MAX_PATCH_BYTES;
use ebony_config::{ConfigDelta, ConfigUpdate};

/// The most changes that are kept: 10 minutes at 17,000 changes a day.
const MAX_CHANGES: usize = 128;

/// The last changes without gaps. A process that is further behind gets a whole document.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    changes: VecDeque<ConfigDelta>,
}

impl ChangeLog {
    /// Adds what has come into force.
    pub(super) fn add(&mut self, update: &ConfigUpdate) {
        let ConfigUpdate::Delta(delta) = update else {
            return self.changes.clear();
        };
        let follows = |last: &ConfigDelta| last.version + 1 == delta.version;
        if self.changes.back().is_some_and(|last| !follows(last)) {
            self.changes.clear();
        }
        // A larger change would make the log several megabytes; a whole document replaces it.
        if delta.patch.encode().len() > MAX_PATCH_BYTES {
            return self.changes.clear();
        }
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((**delta).clone());
    }

    /// Returns the changes that lead from `known` to `newest`; `None` if one of them is not kept.
    pub(super) fn since(&self, known: u64, newest: u64) -> Option<Vec<ConfigUpdate>> {
        let missing = self.changes.iter().filter(|delta| delta.version > known);
        let missing: Vec<ConfigUpdate> = missing
            .map(|delta| ConfigUpdate::Delta(Box::new(delta.clone())))
            .collect();
        let is_whole = u64::try_from(missing.len()).ok() == newest.checked_sub(known);
        is_whole.then_some(missing)
    }
}
