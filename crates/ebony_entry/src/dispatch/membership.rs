//! Passes membership events to the target registry and executes its decisions.

use std::collections::BTreeMap;

use actix::{AsyncContext, Context};
use ebony_membership::{HostHint, SidePhase, TargetDecision, TargetEvent};
use ebony_platform::{HostEntry, HostRole, HostState};
use ebony_types::{ClockTime, HostName, TargetName};
use ebony_wire::{EntryFrame, TargetKind};
use slog::{info, warn};

use super::actor::DispatchActor;
use super::link;
use super::messages::DrainOutcome;
use super::target_status::{TargetPhase, TargetStatus};

/// The maximum number of targets under drain orders at once.
const MAX_DRAIN_ORDERS: usize = 1_024;

/// How long an unwanted link stays open after its last call, so that the call's outcome can be confirmed.
const UNWANTED_LINK_IDLE_TIME: std::time::Duration = std::time::Duration::from_secs(2);

impl DispatchActor {
    /// Passes an event to the registry and executes its decisions.
    pub(super) fn apply(&mut self, event: TargetEvent, context: &mut Context<Self>) {
        let now = self.now();
        let decisions = self.registry.apply(event, now);
        let mut is_changed = false;
        for decision in decisions {
            is_changed |= !matches!(decision, TargetDecision::Ping { .. });
            self.carry_out(decision, now, context);
        }
        if is_changed {
            self.picker.remove_ended(&self.registry);
            self.retry_waiting();
        }
    }

    fn carry_out(&mut self, decision: TargetDecision, now: ClockTime, context: &mut Context<Self>) {
        match decision {
            TargetDecision::Dial { host, address } => {
                self.sides.get_or_insert(&host);
                let (identity, options) = (self.options.identity.clone(), self.options.link.clone());
                link::spawn_dial(host, address, identity, options, context.address());
            }
            TargetDecision::Ping { host } => {
                if let Some(key) = self.sides.find(&host) {
                    self.sides.send(key, &EntryFrame::Ping { nonce: 0 });
                }
            }
            TargetDecision::CloseLink { host } => self.close_link(&host),
            TargetDecision::CloseLinkWhenIdle { host } => {
                let key = self.sides.find(&host);
                if let Some(record) = key.and_then(|key| self.sides.get_mut(key)) {
                    record.is_closing = true;
                    record.last_used = now;
                }
            }
            TargetDecision::OpenPlacement { target } => {
                if let Some(record) = self.registry.target(target) {
                    info!(self.options.logger, "target opened for placement"; "target" => %record.name());
                    self.picker.open_target(target, record);
                    if matches!(record.report.kind, TargetKind::Engine { .. }) {
                        let (name, slots) = (record.name().clone(), record.report.slots);
                        self.admission.add_engine(name, slots, self.entry_count);
                    }
                }
            }
            TargetDecision::StopPlacement { target, name } => {
                info!(self.options.logger, "target closed for placement"; "target" => %name);
                self.picker.stop_target(&name, target);
                self.admission.remove_target(&name, self.entry_count);
            }
            TargetDecision::CallsLost { host, incarnation } => {
                warn!(self.options.logger, "side process lost"; "host" => %host);
                if let Some(key) = self.sides.find(&host) {
                    self.fail_lost_calls(key, incarnation);
                }
            }
        }
    }

    fn close_link(&mut self, host: &HostName) {
        if let Some(key) = self.sides.find(host) {
            self.sides.close_link(key);
        }
    }

    /// Applies a new host list.
    pub(super) fn list_hosts(&mut self, entries: Vec<HostEntry>, context: &mut Context<Self>) {
        self.has_hosts = true;
        if let Some(loader) = &mut self.loader {
            loader.list_entries(&entries, &self.options.host, &self.options.domain);
        }
        let is_live_entry =
            |entry: &&HostEntry| entry.role == HostRole::Entry && entry.state == HostState::Live;
        self.entry_count = entries.iter().filter(is_live_entry).count().max(1);
        let sides = entries.into_iter().filter(|entry| entry.role == HostRole::Side);
        let hints = sides.map(|entry| HostHint {
            host: entry.host,
            address: entry.address,
            domain: entry.domain,
            is_leaving: entry.state == HostState::Leaving,
        });
        let hints = hints.collect();
        self.apply(TargetEvent::HostsListed(hints), context);
    }

    /// Closes unwanted links without calls, and removes hosts that are gone.
    pub(super) fn close_idle_links(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        let registry = &self.registry;
        let is_idle = |host: &HostName, open_calls: u32, last_used: ClockTime| {
            open_calls == 0 && now.since(last_used) >= UNWANTED_LINK_IDLE_TIME && !registry.is_wanted(host)
        };
        let closing = self.sides.iter().filter(|(_, record)| record.is_closing);
        let idle = closing.filter(|(_, record)| is_idle(&record.host, record.open_calls, record.last_used));
        let hosts: Vec<HostName> = idle.map(|(_, record)| record.host.clone()).collect();
        for host in hosts {
            self.close_link(&host);
            self.apply(TargetEvent::LinkReleased { host }, context);
        }
        let registry = &self.registry;
        self.sides
            .retain(|host| registry.phase(host, now) != SidePhase::Gone);
    }

    /// Orders a target to drain. The order is kept in memory only and ends with this process.
    pub(super) fn drain_target(&mut self, target: TargetName, context: &mut Context<Self>) -> DrainOutcome {
        if self.registry.find(&target).is_none() {
            return DrainOutcome::UnknownTarget;
        }
        if self.drains.len() >= MAX_DRAIN_ORDERS && !self.drains.contains(&target) {
            return DrainOutcome::TooMany;
        }
        info!(self.options.logger, "target ordered to drain"; "target" => %target);
        self.drains.insert(target);
        self.apply(TargetEvent::DrainsOrdered(self.drains.clone()), context);
        DrainOutcome::Ordered
    }

    /// Returns the known targets, sorted by name.
    pub(super) fn target_statuses(&self) -> Vec<TargetStatus> {
        let now = self.now();
        let mut statuses: BTreeMap<TargetName, TargetStatus> = BTreeMap::new();
        for (key, record) in self.registry.targets() {
            let name = record.name();
            // The registry may still hold an earlier incarnation of the target.
            if self.registry.find(name) != Some(key) {
                continue;
            }
            let is_drain_ordered = self.drains.contains(name);
            let phase = TargetPhase::of(self.registry.phase(&record.host, now), is_drain_ordered);
            let (own_calls, calls) = self.picker.calls_at(name);
            let status = TargetStatus {
                target: name.clone(),
                host: record.host.clone(),
                domain: record.domain.clone(),
                incarnation: record.incarnation,
                kind: record.report.kind.clone(),
                slots: record.report.slots,
                phase,
                is_drain_ordered,
                own_calls,
                calls,
                kv_used_share: self.picker.kv_used_share(name),
            };
            statuses.insert(name.clone(), status);
        }
        statuses.into_values().collect()
    }
}
