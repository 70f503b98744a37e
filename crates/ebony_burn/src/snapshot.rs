//! Snapshots of event counts, which processes exchange and merge.

use std::collections::BTreeMap;

use ebony_types::ClockTime;
use serde::{Deserialize, Serialize};

use crate::counts::EventCounts;
use crate::label::GroupKey;
use crate::window::{BurnWindow, HISTORY_HOURS, WindowSpan};

/// The maximum number of groups in a snapshot, not including "other".
pub const MAX_SNAPSHOT_GROUPS: usize = 256;

/// The reason why a received snapshot is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot has more than [`MAX_SNAPSHOT_GROUPS`] groups.
    #[error("{0} groups; at most {MAX_SNAPSHOT_GROUPS} are allowed")]
    TooManyGroups(usize),
    /// Two rows have the same group.
    #[error("{0} occurs twice")]
    Repeated(GroupKey),
    /// A history goes back further than [`HISTORY_HOURS`].
    #[error("the history of {0} has an hour that lies too far back")]
    TooOld(GroupKey),
}

/// The result of decoding a snapshot.
pub type Result<T, E = SnapshotError> = std::result::Result<T, E>;

/// The counts of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupCounts {
    minutes_5: EventCounts,
    minutes_30: EventCounts,
    hour_1: EventCounts,
    hours_6: EventCounts,
    /// Counts by age in hours, without hours that have no events. Their sum is the count of the 3-day window.
    hours: BTreeMap<u8, EventCounts>,
}

impl GroupCounts {
    /// Returns the counts of a window at `now`.
    pub fn of(window: &BurnWindow, now: ClockTime) -> Self {
        let hours = (0..HISTORY_HOURS)
            .map(|age| (age as u8, window.hour(age, now)))
            .filter(|(_, counts)| !counts.is_empty())
            .collect();
        Self {
            minutes_5: window.counts(WindowSpan::Minutes5, now),
            minutes_30: window.counts(WindowSpan::Minutes30, now),
            hour_1: window.counts(WindowSpan::Hour1, now),
            hours_6: window.counts(WindowSpan::Hours6, now),
            hours,
        }
    }

    /// Returns the counts over a window.
    pub fn span(&self, span: WindowSpan) -> EventCounts {
        match span {
            WindowSpan::Minutes5 => self.minutes_5,
            WindowSpan::Minutes30 => self.minutes_30,
            WindowSpan::Hour1 => self.hour_1,
            WindowSpan::Hours6 => self.hours_6,
            WindowSpan::Days3 => {
                let empty = EventCounts::default();
                self.hours.values().fold(empty, |sum, counts| sum.plus(counts))
            }
        }
    }

    /// Returns the counts of the hour that began `age_hours` before the current one; `None` if it has no events.
    pub fn hour(&self, age_hours: usize) -> Option<&EventCounts> {
        self.hours.get(&u8::try_from(age_hours).ok()?)
    }

    /// Returns `true` if nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.hours.is_empty()
    }

    fn add(&mut self, other: &Self) {
        self.minutes_5 = self.minutes_5.plus(&other.minutes_5);
        self.minutes_30 = self.minutes_30.plus(&other.minutes_30);
        self.hour_1 = self.hour_1.plus(&other.hour_1);
        self.hours_6 = self.hours_6.plus(&other.hours_6);
        for (age, counts) in &other.hours {
            let sum = self.hours.entry(*age).or_default();
            *sum = sum.plus(counts);
        }
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotRow {
    key: GroupKey,
    counts: GroupCounts,
}

/// The counts of all groups of one or of many processes.
///
/// Times in a snapshot are ages, so that clocks of different processes are never compared. Hours begin at different
/// times in different processes, so a merged history is accurate to one hour.
///
/// A full ledger of 64 groups with events in every hour is 248 KB of JSON. Sent once a minute, it takes 4.1 KB/s of the
/// 23 KB/s that the design allows for control traffic.
///
/// [`BurnSnapshot::merge`] is commutative and associative. Beyond [`MAX_SNAPSHOT_GROUPS`], the groups with the lowest
/// keys are kept and the others are added to [`GroupKey::other`]. The result does not depend on the order of merges,
/// because a group with one of the lowest keys of a union also has one of the lowest keys of each part that has it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "Vec<SnapshotRow>", into = "Vec<SnapshotRow>")]
pub struct BurnSnapshot {
    groups: BTreeMap<GroupKey, GroupCounts>,
}

impl BurnSnapshot {
    /// Returns the groups in the order of their keys.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupKey, &GroupCounts)> {
        self.groups.iter()
    }

    /// Returns the counts of a group.
    pub fn counts(&self, key: &GroupKey) -> Option<&GroupCounts> {
        self.groups.get(key)
    }

    /// Adds the counts of one group.
    pub fn insert(&mut self, key: GroupKey, counts: GroupCounts) {
        self.groups.entry(key).or_default().add(&counts);
        self.merge_excess_groups();
    }

    /// Adds the counts of another snapshot.
    pub fn merge(&mut self, other: &Self) {
        for (key, counts) in &other.groups {
            self.groups.entry(key.clone()).or_default().add(counts);
        }
        self.merge_excess_groups();
    }

    /// Adds the groups with the highest keys to "other" until at most [`MAX_SNAPSHOT_GROUPS`] remain.
    fn merge_excess_groups(&mut self) {
        let other = GroupKey::other();
        while self.separate_groups() > MAX_SNAPSHOT_GROUPS {
            let last = self.groups.keys().rev().find(|key| **key != other).cloned();
            let Some(counts) = last.and_then(|key| self.groups.remove(&key)) else {
                return;
            };
            self.groups.entry(other.clone()).or_default().add(&counts);
        }
    }

    fn separate_groups(&self) -> usize {
        self.groups.len() - usize::from(self.groups.contains_key(&GroupKey::other()))
    }
}

impl TryFrom<Vec<SnapshotRow>> for BurnSnapshot {
    type Error = SnapshotError;

    fn try_from(rows: Vec<SnapshotRow>) -> Result<Self> {
        let mut groups = BTreeMap::new();
        for SnapshotRow { key, counts } in rows {
            if counts.hours.keys().any(|age| usize::from(*age) >= HISTORY_HOURS) {
                return Err(SnapshotError::TooOld(key));
            }
            if groups.insert(key.clone(), counts).is_some() {
                return Err(SnapshotError::Repeated(key));
            }
        }
        let snapshot = Self { groups };
        match snapshot.separate_groups() {
            0..=MAX_SNAPSHOT_GROUPS => Ok(snapshot),
            count => Err(SnapshotError::TooManyGroups(count)),
        }
    }
}

impl From<BurnSnapshot> for Vec<SnapshotRow> {
    fn from(snapshot: BurnSnapshot) -> Self {
        let rows = snapshot.groups.into_iter();
        rows.map(|(key, counts)| SnapshotRow { key, counts }).collect()
    }
}
