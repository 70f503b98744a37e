//! Derives decisions from the state of the members: links to dial and close, and changes of placement.

use std::collections::BTreeSet;

use ebony_types::{ClockTime, HostName};

use super::member::{MemberKey, OFFER_LIFETIME, SideMember};
use super::{TargetDecision, TargetKey, TargetRegistry};
use crate::dialed_link::LinkAction;
use crate::subset::SubsetCandidate;

/// Maximum number of concurrent attempts to dial.
const MAX_DIALS: usize = 32;

impl TargetRegistry {
    pub(super) fn tick(&mut self, now: ClockTime, decisions: &mut Vec<TargetDecision>) {
        let keys: Vec<MemberKey> = self.members_by_host.values().copied().collect();
        let mut dials = self
            .members
            .values()
            .filter(|member| member.link.is_dialing())
            .count();
        for key in keys {
            if self.expire_member(key, now, decisions) {
                self.tick_member(key, &mut dials, now, decisions);
            }
        }
    }

    fn tick_member(
        &mut self,
        key: MemberKey,
        dials: &mut usize,
        now: ClockTime,
        decisions: &mut Vec<TargetDecision>,
    ) {
        let member = &mut self.members[key];
        let before = member.planning_state();
        let may_dial = *dials < MAX_DIALS && member.may_dial();
        let action = member.link.tick(may_dial, now, &mut self.rng);
        self.needs_planning |= before != member.planning_state();
        let host = member.host.clone();
        match action {
            Some(LinkAction::Dial) => {
                *dials += 1;
                let address = member.address;
                decisions.push(TargetDecision::Dial { host, address });
            }
            Some(LinkAction::Ping) => decisions.push(TargetDecision::Ping { host }),
            Some(LinkAction::Close) => decisions.push(TargetDecision::CloseLink { host }),
            None => {}
        }
    }

    /// Drops outdated offers, calls that can no longer resume, and the member itself if nothing needs it. Returns
    /// `true` if the member remains.
    fn expire_member(&mut self, key: MemberKey, now: ClockTime, decisions: &mut Vec<TargetDecision>) -> bool {
        let member = &mut self.members[key];
        if member.link.is_absent()
            && member.offers.is_some()
            && now.since(member.described_at) >= OFFER_LIFETIME
        {
            member.offers = None;
            self.needs_planning = true;
        }
        if let Some(incarnation) = member.link.take_expired_incarnation(now) {
            // The announcement came from the ended incarnation. The host may run a new one if it is still listed.
            member.has_announced_drain = false;
            self.needs_planning = true;
            self.end_incarnation(key, incarnation, decisions);
        }
        if self.members[key].is_removable() {
            self.needs_planning = true;
            if let Some(member) = self.members.remove(key) {
                self.members_by_host.remove(&member.host);
            }
            return false;
        }
        true
    }

    /// Updates the selection of hosts to link to. Links to hosts that are no longer selected are to be closed when idle.
    pub(super) fn plan_links(&mut self, now: ClockTime, decisions: &mut Vec<TargetDecision>) {
        let wanted = self.wanted_hosts();
        for member in self.members.values_mut() {
            let is_wanted = wanted.contains(&member.host);
            let was_wanted = std::mem::replace(&mut member.is_wanted, is_wanted);
            if was_wanted && !is_wanted && !member.link.is_absent() {
                let host = member.host.clone();
                decisions.push(TargetDecision::CloseLinkWhenIdle { host });
            }
        }
        self.update_placement(now, decisions);
    }

    /// Returns the hosts to link to. Unreachable hosts stay selected and are still dialed, but others are linked in
    /// their place, because the host list may name a dead host for a while.
    fn wanted_hosts(&self) -> BTreeSet<HostName> {
        let candidates: Vec<SubsetCandidate<'_>> = self.candidates(|_| true);
        let reachable: Vec<SubsetCandidate<'_>> = self.candidates(SideMember::is_reachable);
        let mut wanted = self.planner.plan(&candidates);
        if reachable.len() < candidates.len() {
            wanted.extend(self.planner.plan(&reachable));
        }
        wanted
    }

    fn candidates(&self, filter: impl Fn(&SideMember) -> bool) -> Vec<SubsetCandidate<'_>> {
        let members = self
            .members_by_host
            .values()
            .filter_map(|key| self.members.get(*key));
        let candidates = members.filter(|member| member.is_candidate() && filter(member));
        candidates
            .map(|member| SubsetCandidate {
                host: &member.host,
                domain: &member.domain,
                offers: member.offers.as_ref(),
                weight: member.weight,
            })
            .collect()
    }

    /// Adds a decision for each target that has become placeable or no longer is.
    pub(super) fn update_placement(&mut self, now: ClockTime, decisions: &mut Vec<TargetDecision>) {
        let may_place: BTreeSet<TargetKey> = self
            .targets
            .keys()
            .filter(|target| self.may_place(*target, now))
            .collect();
        for target in self.open_targets.difference(&may_place) {
            if let Some(record) = self.targets.get(*target) {
                let name = record.name().clone();
                decisions.push(TargetDecision::StopPlacement {
                    target: *target,
                    name,
                });
            }
        }
        for target in may_place.difference(&self.open_targets) {
            decisions.push(TargetDecision::OpenPlacement { target: *target });
        }
        self.open_targets = may_place;
    }
}
