//! How events change members.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{ClockTime, DomainName, HostName, ProcessIncarnation};
use ebony_wire::TargetReport;

use super::member::{MemberKey, SideMember, offers_of};
use super::{MAX_TARGETS_PER_HOST, TargetDecision, TargetEvent, TargetKey, TargetRecord, TargetRegistry};
use crate::dialed_link::DialedLink;
use crate::host_hint::{HostHint, MAX_LISTED_HOSTS};

/// What a side process says of itself.
struct SideDescription {
    domain: DomainName,
    targets: Vec<TargetReport>,
    is_draining: bool,
}

impl TargetRegistry {
    pub(super) fn apply_event(
        &mut self,
        event: TargetEvent,
        now: ClockTime,
        decisions: &mut Vec<TargetDecision>,
    ) {
        match event {
            TargetEvent::HostsListed(hints) => {
                self.apply_list(hints, now);
                self.plan_links(now, decisions);
                self.tick(now, decisions);
            }
            TargetEvent::LinkUp { host, incarnation } => self.link_up(host, incarnation, now, decisions),
            TargetEvent::Welcomed {
                host,
                domain,
                targets,
                is_draining,
            } => {
                let description = SideDescription {
                    domain,
                    targets,
                    is_draining,
                };
                self.welcome(&host, description, now, decisions);
            }
            TargetEvent::DrainAnnounced { host } => self.announce_drain(&host, now),
            TargetEvent::Heard { host } => drop(self.hear(&host, now)),
            TargetEvent::LinkDown { host } => self.link_down(&host, now),
            TargetEvent::LinkReleased { host } => self.release_link(&host, now, decisions),
            TargetEvent::DrainsOrdered(targets) => self.ordered_drains = targets,
            TargetEvent::Tick => self.tick(now, decisions),
        }
    }

    fn apply_list(&mut self, hints: Vec<HostHint>, now: ClockTime) {
        let mut listed: BTreeMap<HostName, HostHint> = BTreeMap::new();
        for hint in hints {
            listed.insert(hint.host.clone(), hint);
        }
        for member in self.members.values_mut() {
            // A host that was leaving and is missing now is still leaving. One that is only missing keeps its work.
            member.is_listed = listed.contains_key(&member.host);
        }
        for (_, hint) in listed.into_iter().take(MAX_LISTED_HOSTS) {
            self.apply_hint(hint, now);
        }
        self.needs_plan = true;
    }

    fn apply_hint(&mut self, hint: HostHint, now: ClockTime) {
        if let Some(member) = self.member_mut(&hint.host) {
            member.is_listed_leaving = hint.is_leaving;
            if member.address != hint.address {
                member.address = hint.address;
                member.link.moved(now);
                // Another process stands at another address.
                member.has_announced_drain &= !member.link.is_absent();
            }
            if member.link.is_absent() {
                member.domain = hint.domain;
            }
            return;
        }
        let host = hint.host.clone();
        let weight = self.planner.weight(&host);
        let key = self.members.insert(SideMember::new(hint, weight, now));
        self.hosts.insert(host, key);
    }

    fn link_up(
        &mut self,
        host: HostName,
        incarnation: ProcessIncarnation,
        now: ClockTime,
        decisions: &mut Vec<TargetDecision>,
    ) {
        let Some(key) = self.hosts.get(&host).copied() else {
            decisions.push(TargetDecision::HangUp { host });
            return;
        };
        let member = &mut self.members[key];
        if let Some(ended) = member.link.opened(incarnation, now) {
            member.has_announced_drain = false;
            self.end_life(key, ended, decisions);
        }
        self.needs_plan = true;
    }

    /// Removes the targets of a life of a side process that has ended.
    pub(super) fn end_life(
        &mut self,
        key: MemberKey,
        incarnation: ProcessIncarnation,
        decisions: &mut Vec<TargetDecision>,
    ) {
        let host = self.members[key].host.clone();
        self.remove_targets(key, decisions);
        decisions.push(TargetDecision::CallsLost { host, incarnation });
    }

    fn remove_targets(&mut self, key: MemberKey, decisions: &mut Vec<TargetDecision>) {
        for target in std::mem::take(&mut self.members[key].targets) {
            self.remove_target(target, decisions);
        }
    }

    fn remove_target(&mut self, target: TargetKey, decisions: &mut Vec<TargetDecision>) {
        let Some(record) = self.targets.remove(target) else {
            return;
        };
        let name = record.report.target;
        if self.names.get(&name) == Some(&target) {
            self.names.remove(&name);
        }
        if self.open.remove(&target) {
            decisions.push(TargetDecision::StopPlacement { target, name });
        }
    }

    /// Notes a sign of life. Returns `true` if the member was not live before.
    pub(super) fn hear(&mut self, host: &HostName, now: ClockTime) -> bool {
        let Some(member) = self.member_mut(host) else {
            return false;
        };
        let was_live = member.link.is_live(now);
        member.link.heard(now);
        !was_live
    }

    fn welcome(
        &mut self,
        host: &HostName,
        description: SideDescription,
        now: ClockTime,
        decisions: &mut Vec<TargetDecision>,
    ) {
        let Some(key) = self.hosts.get(host).copied() else {
            return;
        };
        let member = &mut self.members[key];
        if !member.link.described(now) {
            return;
        }
        let Some(incarnation) = member.link.incarnation() else {
            return;
        };
        let offers = offers_of(&description.targets);
        self.needs_plan |= member.offers.as_ref() != Some(&offers);
        self.needs_plan |= description.is_draining && !member.has_announced_drain;
        member.domain = description.domain;
        member.has_announced_drain |= description.is_draining;
        member.offers = Some(offers);
        member.described_at = now;
        for target in self.replace_targets(key, incarnation, description.targets) {
            self.remove_target(target, decisions);
        }
    }

    /// Takes over the targets of a description and returns those that are no longer there. A target that was known in
    /// the same life keeps its key.
    fn replace_targets(
        &mut self,
        key: MemberKey,
        incarnation: ProcessIncarnation,
        reports: Vec<TargetReport>,
    ) -> Vec<TargetKey> {
        let member = &self.members[key];
        let (host, domain) = (member.host.clone(), member.domain.clone());
        let former = self.members[key].targets.clone();
        let mut present = BTreeSet::new();
        for report in reports.into_iter().take(MAX_TARGETS_PER_HOST) {
            let name = report.target.clone();
            let known = former
                .iter()
                .find(|target| *self.targets[**target].name() == name);
            let record = TargetRecord {
                host: host.clone(),
                domain: domain.clone(),
                incarnation,
                report,
            };
            let target = match known.copied() {
                Some(target) => {
                    self.targets[target] = record;
                    target
                }
                None => self.targets.insert(record),
            };
            self.names.insert(name, target);
            present.insert(target);
        }
        let gone = former.difference(&present).copied().collect();
        self.members[key].targets = present;
        gone
    }

    fn announce_drain(&mut self, host: &HostName, now: ClockTime) {
        let Some(member) = self.member_mut(host) else {
            return;
        };
        member.link.heard(now);
        member.has_announced_drain = true;
        self.needs_plan = true;
    }

    fn link_down(&mut self, host: &HostName, now: ClockTime) {
        let Some(key) = self.hosts.get(host).copied() else {
            return;
        };
        let before = self.members[key].plan_state();
        self.members[key].link.lost(now, &mut self.source);
        self.needs_plan |= before != self.members[key].plan_state();
    }
    fn release_link(&mut self, host: &HostName, now: ClockTime, decisions: &mut Vec<TargetDecision>) {
        let Some(key) = self.hosts.get(host).copied() else {
            return;
        };
        self.members[key].link = DialedLink::new(now);
        self.remove_targets(key, decisions);
        self.needs_plan = true;
    }
}
