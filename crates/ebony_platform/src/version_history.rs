//! How old versions of the store are.

use std::collections::VecDeque;
use std::time::Duration;

use ebony_types::ClockTime;

use crate::table::RowVersion;

/// Marks that cover one retention time. More of them make rows go sooner after it.
const MARKS: u32 = 16;

/// Versions of the store with the times at which they were seen.
///
/// Versions rise with every write of any row, so that the age of a row follows from its version: no clock but the reader's
/// own is needed, and rows carry no time.
///
/// ```
/// use std::time::Duration;
/// use ebony_platform::{RowVersion, VersionHistory};
/// use ebony_types::ClockTime;
///
/// let start = ClockTime::default();
/// let mut history = VersionHistory::open(Duration::from_secs(60));
/// history.record(start, RowVersion(7));
/// assert_eq!(history.settled(start + Duration::from_secs(59)), None);
/// assert_eq!(history.settled(start + Duration::from_secs(60)), Some(RowVersion(7)));
/// ```
#[derive(Debug)]
pub struct VersionHistory {
    retention: Duration,
    /// Times and versions, both rising.
    marks: VecDeque<(ClockTime, RowVersion)>,
}

impl VersionHistory {
    /// Creates a history that tells which versions are older than `retention`.
    pub fn open(retention: Duration) -> Self {
        Self {
            retention,
            marks: VecDeque::new(),
        }
    }

    /// Records the newest version that the store told of.
    pub fn record(&mut self, now: ClockTime, version: RowVersion) {
        let last = self.marks.back();
        let is_due =
            last.is_none_or(|(time, last)| now.since(*time) >= self.retention / MARKS && version > *last);
        if !is_due {
            return;
        }
        self.marks.push_back((now, version));
        // The newest settled mark stays; those before it say nothing more.
        while self
            .marks
            .get(1)
            .is_some_and(|(time, _)| self.is_settled(now, *time))
        {
            self.marks.pop_front();
        }
    }

    /// Returns the newest version that is known to be older than the retention time.
    pub fn settled(&self, now: ClockTime) -> Option<RowVersion> {
        let mut marks = self.marks.iter().rev();
        marks
            .find(|(time, _)| self.is_settled(now, *time))
            .map(|(_, version)| *version)
    }

    fn is_settled(&self, now: ClockTime, time: ClockTime) -> bool {
        now.since(time) >= self.retention
    }
}
