//! The calls that the owner has handed over and that have not ended.

use std::collections::{BTreeSet, HashMap};

use ebony_types::{CallId, ClockTime, ProcessIncarnation};

use super::call::{CallStage, DispatchedCall};
use super::side_table::SideKey;

/// The most calls at once in one entry.
pub(super) const MAX_CALLS: usize = 65_536;

/// The most calls that wait until a target serves them. At the design scale an entry receives about 80 calls a second.
pub(super) const MAX_TARGET_WAITS: usize = 1_024;

/// The calls, their timers, and those that wait for a target in the order of their arrival. A call leaves when it ends;
/// it ends at its deadline at the latest.
#[derive(Default)]
pub(super) struct CallTable {
    calls: HashMap<CallId, DispatchedCall>,
    timers: BTreeSet<(ClockTime, CallId)>,
    waiting: BTreeSet<(ClockTime, CallId)>,
}

impl CallTable {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn contains(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    /// Adds a call in its present stage, which stays until the call is taken.
    pub(super) fn insert(&mut self, call: DispatchedCall) {
        let id = call.id();
        self.timers.insert((call.timer(), id));
        if matches!(call.stage, CallStage::Target { .. }) {
            self.waiting.insert((call.arrived, id));
        }
        self.calls.insert(id, call);
    }

    /// Removes a call.
    pub(super) fn take(&mut self, id: CallId) -> Option<DispatchedCall> {
        let call = self.calls.remove(&id)?;
        self.timers.remove(&(call.timer(), id));
        self.waiting.remove(&(call.arrived, id));
        Some(call)
    }

    pub(super) fn get(&self, id: CallId) -> Option<&DispatchedCall> {
        self.calls.get(&id)
    }

    /// Returns a call for changes that do not concern its stage.
    pub(super) fn get_mut(&mut self, id: CallId) -> Option<&mut DispatchedCall> {
        self.calls.get_mut(&id)
    }

    /// Returns `true` if another call may wait for a target.
    pub(super) fn has_wait(&self) -> bool {
        self.waiting.len() < MAX_TARGET_WAITS
    }

    /// Returns the calls that wait for a target, the earliest first.
    pub(super) fn waiting(&self) -> Vec<CallId> {
        self.waiting.iter().map(|(_, id)| *id).collect()
    }

    /// Returns the time of the next timer.
    pub(super) fn next_timer(&self) -> Option<ClockTime> {
        self.timers.first().map(|(time, _)| *time)
    }

    /// Returns the calls whose timers are due.
    pub(super) fn due(&self, now: ClockTime) -> Vec<CallId> {
        let due = self.timers.iter().take_while(|(time, _)| *time <= now);
        due.map(|(_, id)| *id).collect()
    }

    /// Returns the calls that were sent to one life of a side process.
    pub(super) fn placed_at(&self, side: SideKey, incarnation: ProcessIncarnation) -> Vec<CallId> {
        let is_there = |call: &DispatchedCall| {
            let attempt = call.attempt();
            attempt.is_some_and(|attempt| attempt.side == side && attempt.picked.incarnation == incarnation)
        };
        let calls = self.calls.iter().filter(|(_, call)| is_there(call));
        let mut ids: Vec<CallId> = calls.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the calls that go on although their reader is gone.
    pub(super) fn unread(&self) -> Vec<CallId> {
        let is_unread = |call: &DispatchedCall| {
            call.has_key() && call.attempt().is_some() && call.place.pipe.is_abandoned()
        };
        let calls = self.calls.iter().filter(|(_, call)| is_unread(call));
        calls.map(|(id, _)| *id).collect()
    }
}
