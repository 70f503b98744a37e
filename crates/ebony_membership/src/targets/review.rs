//! What follows from the state of the members: links to dial and hang up, and changes of placement.

use std::collections::BTreeSet;

use ebony_types::{ClockTime, HostName};

use super::member::{MemberKey, OFFER_LIFETIME, SideMember};
use super::{TargetDecision, TargetKey, TargetRegistry};
use crate::dialed_link::LinkStep;
use crate::subset::SubsetCandidate;

/// The most attempts to dial that are under way at once.
const MAX_DIALS: usize = 32;

impl TargetRegistry {
    pub(super) fn tick(&mut self, now: ClockTime, decisions: &mut Vec<TargetDecision>) {
        let keys: Vec<MemberKey> = self.hosts.values().copied().collect();
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
        let before = member.plan_state();
        let may_dial = *dials < MAX_DIALS && member.may_dial();
        let step = member.link.tick(may_dial, now, &mut self.source);
        self.needs_plan |= before != member.plan_state();
        let host = member.host.clone();
        match step {
            Some(LinkStep::Dial) => {
                *dials += 1;
                let address = member.address;
                decisions.push(TargetDecision::Dial { host, address });
            }
            Some(LinkStep::Ping) => decisions.push(TargetDecision::Ping { host }),
            Some(LinkStep::HangUp) => decisions.push(TargetDecision::HangUp { host }),
            None => {}
        }
    }

    /// Gives up calls that can't resume any more, outdated offers, and members that are gone. Returns `true` if the
    /// member stays.
    fn expire_member(&mut self, key: MemberKey, now: ClockTime, decisions: &mut Vec<TargetDecision>) -> bool {
        let member = &mut self.members[key];
        if member.link.is_absent()
            && member.offers.is_some()
            && now.since(member.described_at) >= OFFER_LIFETIME
        {
            member.offers = None;
            self.needs_plan = true;
        }
        if let Some(incarnation) = member.link.expire_lost(now) {
            // The announcement was that of the life that is over; a listed host may have a successor.
            member.has_announced_drain = false;
            self.needs_plan = true;
            self.end_life(key, incarnation, decisions);
        }
        if self.members[key].is_gone() {
            self.needs_plan = true;
            if let Some(member) = self.members.remove(key) {
                self.hosts.remove(&member.host);
            }
            return false;
        }
        true
    }

    /// Chooses the hosts to link to anew.
    pub(super) fn plan_links(&mut self, now: ClockTime, decisions: &mut Vec<TargetDecision>) {
        let wanted = self.wanted_hosts();
        for member in self.members.values_mut() {
            let is_wanted = wanted.contains(&member.host);
            let was_wanted = std::mem::replace(&mut member.is_wanted, is_wanted);
            if was_wanted && !is_wanted && !member.link.is_absent() {
                let host = member.host.clone();
                decisions.push(TargetDecision::HangUpWhenIdle { host });
            }
        }
        self.review_placement(now, decisions);
    }

    /// Hosts that can't be reached stay wanted and are dialed on, but others are linked in their place: the host list
    /// may name a dead host for a while.
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
        let members = self.hosts.values().filter_map(|key| self.members.get(*key));
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

    /// Announces the targets whose placement has changed.
    pub(super) fn review_placement(&mut self, now: ClockTime, decisions: &mut Vec<TargetDecision>) {
        let may_place: BTreeSet<TargetKey> = self
            .targets
            .keys()
            .filter(|target| self.may_place(*target, now))
            .collect();
        for target in self.open.difference(&may_place) {
            if let Some(record) = self.targets.get(*target) {
                let name = record.name().clone();
                decisions.push(TargetDecision::StopPlacement {
                    target: *target,
                    name,
                });
            }
        }
        for target in may_place.difference(&self.open) {
            decisions.push(TargetDecision::OpenPlacement { target: *target });
        }
        self.open = may_place;
    }
}
