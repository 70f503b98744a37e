//! The request rates to which targets limit all gateways together.

use std::collections::HashMap;
use std::time::Duration;

use ebony_limit::{LimitBelief, LimitChange, LimitObservation, RequestRate};
use ebony_types::{ClockTime, TargetName};

use crate::board::TargetIncarnation;

/// The most targets whose limits are remembered, listed and unlisted ones together: more than the engines of the design
/// scale.
const MAX_LIMITED_TARGETS: usize = 16_384;

/// How long the limit of a target that is not listed is remembered: longer than its entry is away during an outage of
/// the store.
const UNLISTED_LIMIT_RETENTION: Duration = Duration::from_secs(60);

/// A target and the limit that its answers show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TargetLimit {
    incarnation: TargetIncarnation,
    belief: LimitBelief,
}

/// The limits of targets, including those that the platform does not list yet: another gateway may know a target and its
/// limit first.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitTable {
    limits: HashMap<TargetName, TargetLimit>,
}

impl LimitTable {
    /// Returns the limit in force at an incarnation of a target.
    pub(crate) fn rate(&self, name: &TargetName, incarnation: TargetIncarnation) -> Option<RequestRate> {
        self.latest(name, incarnation)?.rate
    }

    /// Returns the observation from which the limit of an incarnation follows.
    pub(crate) fn latest(
        &self,
        name: &TargetName,
        incarnation: TargetIncarnation,
    ) -> Option<LimitObservation> {
        let known = self.limits.get(name)?;
        (known.incarnation == incarnation).then(|| known.belief.latest())
    }

    /// Returns the observations from which the limits in force follow.
    pub(crate) fn in_force(&self) -> Vec<(TargetName, TargetIncarnation, LimitObservation)> {
        let limited = self
            .limits
            .iter()
            .filter(|(_, limit)| limit.belief.rate().is_some());
        limited
            .map(|(name, limit)| (name.clone(), limit.incarnation, limit.belief.latest()))
            .collect()
    }

    /// Applies an observation. Those of an earlier incarnation are outdated.
    pub(crate) fn observe(
        &mut self,
        name: &TargetName,
        incarnation: TargetIncarnation,
        observation: LimitObservation,
    ) -> LimitChange {
        match self.limits.get_mut(name) {
            Some(known) if known.incarnation == incarnation => return known.belief.apply(observation),
            Some(known) if known.incarnation.born >= incarnation.born => return LimitChange::Outdated,
            // Targets without a limit, which are nearly all, need no entry.
            _ if observation.rate.is_none() => return LimitChange::Confirmed,
            _ => {}
        }
        if self.limits.len() >= MAX_LIMITED_TARGETS {
            self.evict_oldest();
        }
        let (belief, change) = LimitBelief::open(observation);
        let limit = TargetLimit { incarnation, belief };
        self.limits.insert(name.clone(), limit);
        change
    }

    /// Drops the limits of targets that are not listed and have not named one for some time.
    pub(crate) fn expire(&mut self, now: ClockTime, is_listed: impl Fn(&TargetName) -> bool) {
        self.limits.retain(|name, limit| {
            let age = now.since(limit.belief.latest().received_at);
            age < UNLISTED_LIMIT_RETENTION || is_listed(name)
        });
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .limits
            .iter()
            .min_by_key(|(_, limit)| limit.belief.latest().received_at)
            .map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.limits.remove(&name);
        }
    }
}
