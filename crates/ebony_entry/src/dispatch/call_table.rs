//! The calls that the owner submitted and that have not ended, with their timers.

use std::collections::{BTreeSet, HashMap};

use ebony_types::{CallId, ClockTime, ProcessIncarnation};

use super::call::{CallStage, DispatchedCall};
use super::side_table::SideKey;

/// The maximum number of concurrent calls in one entry.
pub(super) const MAX_CALLS: usize = 65_536;

/// The maximum number of calls that wait for a target. At the design scale an entry receives about 80 calls per second.
pub(super) const MAX_TARGET_WAITS: usize = 1_024;

/// The calls, their timers, and the calls waiting for a target in order of arrival. A call is removed when it ends, at
/// its deadline at the latest.
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

    /// Adds a call. Its stage must not change while it is in the table, because the timer and wait indexes depend on
    /// it.
    pub(super) fn insert(&mut self, call: DispatchedCall) {
        let id = call.id();
        self.timers.insert((call.timer(), id));
        if matches!(call.stage, CallStage::Target { .. }) {
            self.waiting.insert((call.arrived, id));
        }
        self.calls.insert(id, call);
    }

    pub(super) fn take(&mut self, id: CallId) -> Option<DispatchedCall> {
        let call = self.calls.remove(&id)?;
        self.timers.remove(&(call.timer(), id));
        self.waiting.remove(&(call.arrived, id));
        Some(call)
    }

    pub(super) fn get(&self, id: CallId) -> Option<&DispatchedCall> {
        self.calls.get(&id)
    }

    /// Returns a call for changes that leave its stage as it is. To change the stage, take the call and insert it
    /// again.
    pub(super) fn get_mut(&mut self, id: CallId) -> Option<&mut DispatchedCall> {
        self.calls.get_mut(&id)
    }

    /// Returns `true` if another call may wait for a target.
    pub(super) fn has_wait_room(&self) -> bool {
        self.waiting.len() < MAX_TARGET_WAITS
    }

    /// Returns the calls that wait for a target, in order of arrival.
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

    /// Returns the calls that were sent to an incarnation of a side process, sorted by identifier.
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

    /// Returns the calls with an idempotency key that continue although their reader is gone.
    pub(super) fn without_reader(&self) -> Vec<CallId> {
        let has_no_reader = |call: &DispatchedCall| {
            call.has_key() && call.attempt().is_some() && call.place.pipe.is_abandoned()
        };
        let calls = self.calls.iter().filter(|(_, call)| has_no_reader(call));
        calls.map(|(id, _)| *id).collect()
    }
}
