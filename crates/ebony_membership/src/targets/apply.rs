//! Applies events to members and their targets.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{ClockTime, DomainName, HostName, ProcessIncarnation};
use ebony_wire::TargetReport;

use super::member::{MemberKey, SideMember, offers_of};
use super::{MAX_TARGETS_PER_HOST, TargetDecision, TargetEvent, TargetKey, TargetRecord, TargetRegistry};
use crate::dialed_link::DialedLink;
use crate::host_hint::{HostHint, MAX_LISTED_HOSTS};

/// The description that a side process sent.
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
            TargetEvent::Described {
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
                self.apply_description(&host, description, now, decisions);
            }
            TargetEvent::DrainAnnounced { host } => self.announce_drain(&host, now),
            TargetEvent::FrameReceived { host } => drop(self.record_frame(&host, now)),
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
            // A host that was listed as leaving still counts as leaving when it is missing from the list. A host that
            // is only missing keeps its work.
            member.is_listed = listed.contains_key(&member.host);
        }
        for (_, hint) in listed.into_iter().take(MAX_LISTED_HOSTS) {
            self.apply_hint(hint, now);
        }
        self.needs_planning = true;
    }

    fn apply_hint(&mut self, hint: HostHint, now: ClockTime) {
        if let Some(member) = self.member_mut(&hint.host) {
            member.is_listed_leaving = hint.is_leaving;
            if member.address != hint.address {
                member.address = hint.address;
                member.link.on_address_changed(now);
                // A different process runs at the new address.
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
        self.members_by_host.insert(host, key);
    }

    fn link_up(
        &mut self,
        host: HostName,
        incarnation: ProcessIncarnation,
        now: ClockTime,
        decisions: &mut Vec<TargetDecision>,
    ) {
        let Some(key) = self.members_by_host.get(&host).copied() else {
            decisions.push(TargetDecision::CloseLink { host });
            return;
        };
        let member = &mut self.members[key];
        if let Some(ended) = member.link.on_opened(incarnation, now) {
            member.has_announced_drain = false;
            self.end_incarnation(key, ended, decisions);
        }
        self.needs_planning = true;
    }

    /// Removes the targets of an ended incarnation of a side process and reports its calls as lost.
    pub(super) fn end_incarnation(
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
        if self.targets_by_name.get(&name) == Some(&target) {
            self.targets_by_name.remove(&name);
        }
        if self.open_targets.remove(&target) {
            decisions.push(TargetDecision::StopPlacement { target, name });
        }
    }

    /// Records that a frame arrived. Returns `true` if the member was not live before.
    pub(super) fn record_frame(&mut self, host: &HostName, now: ClockTime) -> bool {
        let Some(member) = self.member_mut(host) else {
            return false;
        };
        let was_live = member.link.is_live(now);
        member.link.on_frame(now);
        !was_live
    }

    fn apply_description(
        &mut self,
        host: &HostName,
        description: SideDescription,
        now: ClockTime,
        decisions: &mut Vec<TargetDecision>,
    ) {
        let Some(key) = self.members_by_host.get(host).copied() else {
            return;
        };
        let member = &mut self.members[key];
        if !member.link.on_described(now) {
            return;
        }
        let Some(incarnation) = member.link.incarnation() else {
            return;
        };
        let offers = offers_of(&description.targets);
        self.needs_planning |= member.offers.as_ref() != Some(&offers);
        self.needs_planning |= description.is_draining && !member.has_announced_drain;
        member.domain = description.domain;
        member.has_announced_drain |= description.is_draining;
        member.offers = Some(offers);
        member.described_at = now;
        for target in self.replace_targets(key, incarnation, description.targets) {
            self.remove_target(target, decisions);
        }
    }

    /// Replaces the targets of a member by those of its description and returns the ones that it no longer has. A
    /// target that was known in the same incarnation keeps its key.
    fn replace_targets(
        &mut self,
        key: MemberKey,
        incarnation: ProcessIncarnation,
        reports: Vec<TargetReport>,
    ) -> Vec<TargetKey> {
        let member = &self.members[key];
        let (host, domain) = (member.host.clone(), member.domain.clone());
        let previous = self.members[key].targets.clone();
        let mut present = BTreeSet::new();
        for report in reports.into_iter().take(MAX_TARGETS_PER_HOST) {
            let name = report.target.clone();
            let known = previous
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
            self.targets_by_name.insert(name, target);
            present.insert(target);
        }
        let removed = previous.difference(&present).copied().collect();
        self.members[key].targets = present;
        removed
    }

    fn announce_drain(&mut self, host: &HostName, now: ClockTime) {
        let Some(member) = self.member_mut(host) else {
            return;
        };
        member.link.on_frame(now);
        member.has_announced_drain = true;
        self.needs_planning = true;
    }

    fn link_down(&mut self, host: &HostName, now: ClockTime) {
        let Some(key) = self.members_by_host.get(host).copied() else {
            return;
        };
        let before = self.members[key].planning_state();
        self.members[key].link.on_lost(now, &mut self.rng);
        self.needs_planning |= before != self.members[key].planning_state();
    }

    fn release_link(&mut self, host: &HostName, now: ClockTime, decisions: &mut Vec<TargetDecision>) {
        let Some(key) = self.members_by_host.get(host).copied() else {
            return;
        };
        self.members[key].link = DialedLink::new(now);
        self.remove_targets(key, decisions);
        self.needs_planning = true;
    }
}
