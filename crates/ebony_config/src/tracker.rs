//! Tracks which version of the configuration is in force in each process.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebony_types::ClockTime;

/// The most processes that are tracked: the 12,390 of the design scale and the replacements of one day.
pub const MAX_PROCESSES: usize = 16_384;

/// A process that has not reported for this long counts as silent.
pub const SILENT_AFTER: Duration = Duration::from_secs(10);

/// A process that has not reported for this long is removed, because its host was most likely replaced.
pub const FORGET_AFTER: Duration = Duration::from_secs(600);

/// The number of announced versions whose times are kept. At 17,000 changes a day, they cover 21 minutes.
const MAX_ANNOUNCEMENTS: usize = 256;

/// The last report of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProcessStatus {
    version: u64,
    reported: ClockTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct VersionAnnouncement {
    version: u64,
    time: ClockTime,
}

/// A change of the version in force in one process, for live status displays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusChange {
    /// The process.
    pub process: String,
    /// The previous version; 0 if the process is new or was starting.
    pub from: u64,
    /// The current version; 0 while the process is starting.
    pub to: u64,
}

/// A process that does not have the newest version, or does not report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessDelay {
    /// The process.
    pub process: String,
    /// The version that it reported last.
    pub version: u64,
    /// How long it has been behind or silent.
    pub duration: Duration,
}

/// The status of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessState<'t> {
    /// The process.
    pub process: &'t str,
    /// The version that it reported last.
    pub version: u64,
    /// The time since its last report.
    pub silence: Duration,
    /// The time since the first version above the reported one was accepted; `None` if the process has the newest one.
    pub behind: Option<Duration>,
}

/// A summary of the versions in force in all processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrackerReport {
    /// The newest version.
    pub newest: u64,
    /// Processes that are tracked.
    pub processes: usize,
    /// Processes that have the newest version in force.
    pub in_force: usize,
    /// Processes that are behind.
    pub behind: usize,
    /// Processes that have not reported for [`SILENT_AFTER`].
    pub silent: usize,
    /// The processes that have been behind longest.
    pub most_behind: Vec<ProcessDelay>,
    /// The processes that have been silent longest.
    pub most_silent: Vec<ProcessDelay>,
}

/// Collects the versions that all processes report to have in force.
///
/// Memory is bounded: beyond [`MAX_PROCESSES`], processes that have not reported for [`FORGET_AFTER`] are removed, or
/// else the one that has been silent longest.
///
/// ```
/// use ebony_config::ConfigTracker;
/// use ebony_types::ClockTime;
///
/// let now = ClockTime::default();
/// let mut tracker = ConfigTracker::default();
/// tracker.announce(8, now);
/// tracker.record("entry-1", 8, now);
/// tracker.record("side-kalo-01", 7, now);
/// let report = tracker.report(now, 10);
/// assert_eq!((report.in_force, report.behind), (1, 1));
/// assert_eq!(report.most_behind[0].process, "side-kalo-01");
/// ```
#[derive(Debug, Default)]
pub struct ConfigTracker {
    processes: BTreeMap<String, ProcessStatus>,
    /// Sorted by version and time.
    announcements: VecDeque<VersionAnnouncement>,
}

impl ConfigTracker {
    /// Records that a version was accepted. Versions that are not higher than the newest one are ignored.
    pub fn announce(&mut self, version: u64, now: ClockTime) {
        if version <= self.newest() {
            return;
        }
        if self.announcements.len() == MAX_ANNOUNCEMENTS {
            self.announcements.pop_front();
        }
        self.announcements
            .push_back(VersionAnnouncement { version, time: now });
    }

    /// Records that a process has a version in force, and returns the change if the version differs.
    ///
    /// Reports arrive over several paths and can be out of order. The version in a process only increases, so that a
    /// lower one belongs to an old report and is ignored. Version 0 means that the process is starting.
    pub fn record(&mut self, process: &str, version: u64, now: ClockTime) -> Option<StatusChange> {
        self.announce(version, now);
        let Some(status) = self.processes.get_mut(process) else {
            self.evict_if_full(now);
            let status = ProcessStatus {
                version,
                reported: now,
            };
            self.processes.insert(process.to_owned(), status);
            return Some(status_change(process, 0, version));
        };
        let from = status.version;
        status.reported = now;
        status.version = if version == 0 { 0 } else { from.max(version) };
        let to = status.version;
        (from != to).then(|| status_change(process, from, to))
    }

    /// Removes a process that has left.
    pub fn forget(&mut self, process: &str) {
        self.processes.remove(process);
    }

    /// Returns a summary that lists at most `limit` processes that are behind, and as many that are silent.
    pub fn report(&self, now: ClockTime, limit: usize) -> TrackerReport {
        let newest = self.newest();
        let mut behind = Vec::new();
        let mut silent = Vec::new();
        for (process, status) in &self.processes {
            if status.version < newest {
                let since = self.behind_since(status.version).unwrap_or(now);
                behind.push((now.since(since), process, status.version));
            }
            let silence = now.since(status.reported);
            if silence >= SILENT_AFTER {
                silent.push((silence, process, status.version));
            }
        }
        TrackerReport {
            newest,
            processes: self.processes.len(),
            in_force: self.processes.len() - behind.len(),
            behind: behind.len(),
            silent: silent.len(),
            most_behind: longest(behind, limit),
            most_silent: longest(silent, limit),
        }
    }

    /// Returns the status of each process, sorted by name.
    ///
    /// ```
    /// use ebony_config::ConfigTracker;
    /// use ebony_types::ClockTime;
    ///
    /// let mut tracker = ConfigTracker::default();
    /// tracker.record("entry-1", 7, ClockTime::default());
    /// tracker.announce(8, ClockTime::from_millis(10));
    /// let state = tracker.states(ClockTime::from_millis(30)).next().expect("one process reported");
    /// assert_eq!(state.behind.map(|behind| behind.as_millis()), Some(20));
    /// ```
    pub fn states(&self, now: ClockTime) -> impl Iterator<Item = ProcessState<'_>> {
        let newest = self.newest();
        self.processes.iter().map(move |(process, status)| {
            let since = || self.behind_since(status.version).unwrap_or(now);
            ProcessState {
                process,
                version: status.version,
                silence: now.since(status.reported),
                behind: (status.version < newest).then(|| now.since(since())),
            }
        })
    }

    /// Returns the time since a version was announced; `None` if it was not announced or its time is no longer kept.
    pub fn since_announced(&self, version: u64, now: ClockTime) -> Option<Duration> {
        let found = self
            .announcements
            .binary_search_by_key(&version, |announcement| announcement.version);
        Some(now.since(self.announcements[found.ok()?].time))
    }

    /// Returns the newest version that was announced or reported; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.announcements
            .back()
            .map_or(0, |announcement| announcement.version)
    }

    /// Returns when the first version above `version` was accepted, as far back as announcements are kept.
    fn behind_since(&self, version: u64) -> Option<ClockTime> {
        let first = self
            .announcements
            .partition_point(|announcement| announcement.version <= version);
        self.announcements
            .get(first)
            .map(|announcement| announcement.time)
    }

    fn evict_if_full(&mut self, now: ClockTime) {
        if self.processes.len() < MAX_PROCESSES {
            return;
        }
        self.processes
            .retain(|_, status| now.since(status.reported) < FORGET_AFTER);
        if self.processes.len() >= MAX_PROCESSES {
            let oldest = self.processes.iter().min_by_key(|(_, status)| status.reported);
            if let Some(process) = oldest.map(|(process, _)| process.clone()) {
                self.processes.remove(&process);
            }
        }
    }
}

fn status_change(process: &str, from: u64, to: u64) -> StatusChange {
    StatusChange {
        process: process.to_owned(),
        from,
        to,
    }
}

fn longest(mut delays: Vec<(Duration, &String, u64)>, limit: usize) -> Vec<ProcessDelay> {
    // Equal durations are ordered by name, so that the result is deterministic.
    delays.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| left.1.cmp(right.1)));
    let chosen = delays.into_iter().take(limit);
    chosen
        .map(|(duration, process, version)| ProcessDelay {
            process: process.clone(),
            version,
            duration,
        })
        .collect()
}
