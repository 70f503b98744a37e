//! Tracks the age of versions of the store.

use std::collections::VecDeque;
use std::time::Duration;

use ebony_types::ClockTime;

use crate::table::RowVersion;

/// Number of marks per retention time. With more marks, versions are reported as expired sooner after it.
const MARKS_PER_RETENTION: u32 = 16;

/// Records versions of the store with the times at which they were observed.
///
/// The version of the store increases with every write of any row, so the age of a row follows from its version. Rows
/// therefore need no timestamps, and no clock other than the reader's own is involved.
///
/// ```
/// use std::time::Duration;
/// use ebony_platform::{RowVersion, VersionHistory};
/// use ebony_types::ClockTime;
///
/// let start = ClockTime::default();
/// let mut history = VersionHistory::open(Duration::from_secs(60));
/// history.record(start, RowVersion(7));
/// assert_eq!(history.newest_expired(start + Duration::from_secs(59)), None);
/// assert_eq!(history.newest_expired(start + Duration::from_secs(60)), Some(RowVersion(7)));
/// ```
#[derive(Debug)]
pub struct VersionHistory {
    retention: Duration,
    /// Observed versions with their times, both in ascending order.
    marks: VecDeque<(ClockTime, RowVersion)>,
}

impl VersionHistory {
    /// Creates a history that reports versions as expired once they are `retention` old.
    pub fn open(retention: Duration) -> Self {
        Self {
            retention,
            marks: VecDeque::new(),
        }
    }

    /// Records the latest version that the store reported.
    pub fn record(&mut self, now: ClockTime, version: RowVersion) {
        let last = self.marks.back();
        let is_due = last.is_none_or(|(time, last)| {
            now.since(*time) >= self.retention / MARKS_PER_RETENTION && version > *last
        });
        if !is_due {
            return;
        }
        self.marks.push_back((now, version));
        // Only the newest expired mark is needed; older ones are removed.
        while self
            .marks
            .get(1)
            .is_some_and(|(time, _)| self.is_expired(now, *time))
        {
            self.marks.pop_front();
        }
    }

    /// Returns the newest version that is known to be at least as old as the retention time.
    pub fn newest_expired(&self, now: ClockTime) -> Option<RowVersion> {
        let mut marks = self.marks.iter().rev();
        marks
            .find(|(time, _)| self.is_expired(now, *time))
            .map(|(_, version)| *version)
    }

    fn is_expired(&self, now: ClockTime, time: ClockTime) -> bool {
        now.since(time) >= self.retention
    }
}
