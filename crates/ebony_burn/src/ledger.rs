//! Event counts of all caller groups of one process.

use std::collections::BTreeMap;

use ebony_types::ClockTime;

use crate::event::BurnEvent;
use crate::label::{GroupKey, LabelName};
use crate::objective::{GroupObjectives, ObjectiveError, SloCatalog};
use crate::snapshot::{BurnSnapshot, GroupCounts};
use crate::window::{BurnWindow, LONGEST_SPAN_SECONDS};

/// The maximum number of groups that a ledger counts separately, not including "other".
pub const MAX_GROUPS: usize = 64;

/// The index of the slot for the group "other".
const OTHER_SLOT: usize = 0;

/// The result of opening a ledger or replacing its objectives.
pub type Result<T, E = ObjectiveError> = std::result::Result<T, E>;

#[derive(Clone, Debug)]
struct GroupSlot {
    key: GroupKey,
    objectives: GroupObjectives,
    window: BurnWindow,
    last_event: ClockTime,
}

/// Counts events per caller group of one deployment.
///
/// Once there are [`MAX_GROUPS`] groups, events of further groups are counted under "other". A new group can reuse the
/// slot of a group that has had no event for longer than the longest window, because the counts of that group are
/// zero. [`BurnLedger::record`] allocates only for a new group.
///
/// ```
/// use std::time::Duration;
/// use ebony_burn::{BurnEvent, BurnLedger, LabelName, SloCatalog};
/// use ebony_types::ClockTime;
///
/// let mut ledger = BurnLedger::open(LabelName::parse("fanghi")?, SloCatalog::default())?;
/// let group = LabelName::parse("cantieri")?;
/// let event = BurnEvent::ProgramEnded { latency: Duration::from_secs(12) };
/// ledger.record(&group, event, ClockTime::from_millis(5));
/// assert_eq!(ledger.groups(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct BurnLedger {
    deployment: LabelName,
    catalog: SloCatalog,
    /// Slot [`OTHER_SLOT`] belongs to "other". The capacity for all slots is reserved when the ledger is opened.
    slots: Vec<GroupSlot>,
    index: BTreeMap<LabelName, usize>,
}

impl BurnLedger {
    /// Creates an empty ledger.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectiveError`] if the catalog is invalid.
    pub fn open(deployment: LabelName, catalog: SloCatalog) -> Result<Self> {
        catalog.check()?;
        let mut ledger = Self {
            deployment,
            catalog,
            slots: Vec::with_capacity(MAX_GROUPS + 1),
            index: BTreeMap::new(),
        };
        let slot = ledger.new_slot(LabelName::other(), ClockTime::default());
        ledger.slots.push(slot);
        ledger.index.insert(LabelName::other(), OTHER_SLOT);
        Ok(ledger)
    }

    /// Counts one event of a group.
    pub fn record(&mut self, group: &LabelName, event: BurnEvent, now: ClockTime) {
        let index = self.slot_index(group, now);
        let slot = &mut self.slots[index];
        slot.last_event = slot.last_event.max(now);
        if let Some(increment) = event.increment(&slot.objectives) {
            slot.window.add(increment, now);
        }
    }

    /// Replaces the objectives. Events that are already counted are not classified again.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectiveError`] if the catalog is invalid; the current objectives then stay in force.
    pub fn replace_catalog(&mut self, catalog: SloCatalog) -> Result<()> {
        catalog.check()?;
        for slot in &mut self.slots {
            slot.objectives = catalog.objectives(&slot.key);
        }
        self.catalog = catalog;
        Ok(())
    }

    /// Returns the number of groups that are counted separately, not including "other".
    pub fn groups(&self) -> usize {
        self.slots.len() - 1
    }

    /// Returns the counts of all groups at `now`, except groups without events in any window.
    pub fn snapshot(&self, now: ClockTime) -> BurnSnapshot {
        let mut snapshot = BurnSnapshot::default();
        for slot in &self.slots {
            let counts = GroupCounts::of(&slot.window, now);
            if !counts.is_empty() {
                snapshot.insert(slot.key.clone(), counts);
            }
        }
        snapshot
    }

    fn new_slot(&self, group: LabelName, now: ClockTime) -> GroupSlot {
        let deployment = self.deployment.clone();
        let key = GroupKey { deployment, group };
        GroupSlot {
            objectives: self.catalog.objectives(&key),
            key,
            window: BurnWindow::open(now),
            last_event: now,
        }
    }

    /// Returns the index of the slot that counts the group, and assigns one to a new group.
    fn slot_index(&mut self, group: &LabelName, now: ClockTime) -> usize {
        if let Some(index) = self.index.get(group) {
            return *index;
        }
        if self.slots.len() <= MAX_GROUPS {
            let slot = self.new_slot(group.clone(), now);
            self.slots.push(slot);
            self.index.insert(group.clone(), self.slots.len() - 1);
            return self.slots.len() - 1;
        }
        self.reuse_idle_slot(group, now).unwrap_or(OTHER_SLOT)
    }

    /// Assigns the slot of an idle group to a new one; `None` if no group is idle.
    fn reuse_idle_slot(&mut self, group: &LabelName, now: ClockTime) -> Option<usize> {
        let is_idle = |slot: &GroupSlot| now.since(slot.last_event).as_secs() > LONGEST_SPAN_SECONDS;
        let index = 1 + self.slots.iter().skip(1).position(is_idle)?;
        self.index.remove(&self.slots[index].key.group);
        self.slots[index] = self.new_slot(group.clone(), now);
        self.index.insert(group.clone(), index);
        Some(index)
    }
}
