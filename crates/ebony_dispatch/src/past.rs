//! What is remembered of incarnations of targets beyond their entries, because entries may be written late.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ebony_types::{ClockTime, TargetName};

use crate::board::TargetIncarnation;

/// The most leaving targets that are remembered, listed and unlisted ones together. A release replaces each target of a
/// deployment once, and the largest deployments have a few hundred targets.
const MAX_LEAVING_TARGETS: usize = 1_024;

/// The most removed targets that are remembered: more than the engines of the design scale.
const MAX_REMOVED_TARGETS: usize = 16_384;

/// How long the start time of a removed target is remembered: longer than the 6 s by which the store may perform a
/// write late. After that, a target may start again on a host whose clock is behind.
const REMOVED_RETENTION: Duration = Duration::from_secs(10);

/// An incarnation of a target that is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingTarget {
    incarnation: TargetIncarnation,
    /// Whether the target itself announced it, rather than its entry alone.
    is_announced: bool,
}

/// Targets that are leaving, by their own announcement or by their entry, with the incarnation that does so.
///
/// They are kept even after the target has gone from the list, so that a target that is listed again in the same
/// incarnation gets no calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingTargets {
    targets: HashMap<TargetName, LeavingTarget>,
    /// Names by the time of their first insertion, oldest first.
    order: VecDeque<TargetName>,
}

impl LeavingTargets {
    pub(crate) fn contains(&self, name: &TargetName, incarnation: TargetIncarnation) -> bool {
        let known = self.targets.get(name);
        known.is_some_and(|known| known.incarnation == incarnation)
    }

    /// Adds an incarnation that announced that it is leaving, and returns whether the announcement was new. It is new
    /// also if the entry said so before, because gateways that do not reach the store learn of it from announcements.
    pub(crate) fn insert_announced(&mut self, name: &TargetName, incarnation: TargetIncarnation) -> bool {
        match self.targets.get_mut(name) {
            Some(known) if known.incarnation == incarnation => {
                return !std::mem::replace(&mut known.is_announced, true);
            }
            // An announcement of an earlier incarnation may arrive late.
            Some(known) if known.incarnation.born >= incarnation.born => return false,
            _ => {}
        }
        self.insert(name, incarnation, true);
        true
    }

    /// Adds an incarnation that is listed as draining.
    pub(crate) fn insert_listed(&mut self, name: &TargetName, incarnation: TargetIncarnation) {
        let known = self.targets.get(name);
        if known.is_none_or(|known| known.incarnation.born < incarnation.born) {
            self.insert(name, incarnation, false);
        }
    }

    fn insert(&mut self, name: &TargetName, incarnation: TargetIncarnation, is_announced: bool) {
        let target = LeavingTarget {
            incarnation,
            is_announced,
        };
        if self.targets.insert(name.clone(), target).is_some() {
            return;
        }
        self.order.push_back(name.clone());
        if self.order.len() > MAX_LEAVING_TARGETS
            && let Some(oldest) = self.order.pop_front()
        {
            self.targets.remove(&oldest);
        }
    }
}

/// The start time of a target that was removed, and until when it is remembered.
#[derive(Clone, Copy, Debug)]
struct RemovedTarget {
    born: u64,
    until: ClockTime,
}

/// Targets that were removed from the list during the last [`REMOVED_RETENTION`].
#[derive(Clone, Debug, Default)]
pub(crate) struct RemovedTargets {
    targets: HashMap<TargetName, RemovedTarget>,
    /// Names with the time until which their removal is remembered, oldest first. A target that was removed again
    /// occurs more than once.
    order: VecDeque<(ClockTime, TargetName)>,
}

impl RemovedTargets {
    /// Returns whether a later incarnation of the target than one with this start time was removed lately.
    pub(crate) fn had_later(&self, name: &TargetName, born: u64) -> bool {
        self.targets.get(name).is_some_and(|known| known.born > born)
    }

    pub(crate) fn insert(&mut self, name: TargetName, born: u64, now: ClockTime) {
        if self.order.len() >= MAX_REMOVED_TARGETS {
            self.remove_oldest();
        }
        let until = now + REMOVED_RETENTION;
        self.order.push_back((until, name.clone()));
        self.targets.insert(name, RemovedTarget { born, until });
    }

    pub(crate) fn expire(&mut self, now: ClockTime) {
        while self.order.front().is_some_and(|(until, _)| now >= *until) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((until, name)) = self.order.pop_front()
            && self.targets.get(&name).is_some_and(|known| known.until == until)
        {
            self.targets.remove(&name);
        }
    }
}
