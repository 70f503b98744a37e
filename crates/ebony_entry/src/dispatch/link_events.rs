//! Handles events of links to side processes: opened, closed, and frame received.

use actix::{AsyncContext, Context, Handler};
use ebony_membership::TargetEvent;
use ebony_types::HostName;
use ebony_wire::{EntryFrame, SideFrame};
use slog::{debug, info, warn};

use super::actor::DispatchActor;
use super::crashes::CrashSource;
use super::link;
use super::messages::{HostsListed, SideDialFailed, SideEvent, SideLinkUp};
use super::side_table::SideKey;
use crate::config::SideStatusReported;

impl Handler<HostsListed> for DispatchActor {
    type Result = ();

    fn handle(&mut self, HostsListed(entries): HostsListed, context: &mut Context<Self>) {
        self.list_hosts(entries, context);
        self.schedule_wakeup(context);
    }
}

impl Handler<SideLinkUp> for DispatchActor {
    type Result = ();

    fn handle(&mut self, SideLinkUp { host, link }: SideLinkUp, context: &mut Context<Self>) {
        let incarnation = link.peer().incarnation;
        info!(self.options.logger, "link to side process opened"; "side" => &link.peer().process);
        let (sender, receiver) = link.split();
        let key = self.sides.get_or_insert(&host);
        let Some(generation) = self.sides.open_link(key, incarnation, sender) else {
            return;
        };
        context.add_message_stream(link::events(key, generation, receiver));
        // Fails the calls of an earlier incarnation, and closes the link if the host is no longer listed.
        self.apply(TargetEvent::LinkUp { host, incarnation }, context);
        self.send_initial_state(key);
        self.schedule_wakeup(context);
    }
}

impl Handler<SideDialFailed> for DispatchActor {
    type Result = ();

    fn handle(&mut self, SideDialFailed { host }: SideDialFailed, context: &mut Context<Self>) {
        let key = self.sides.get_or_insert(&host);
        if let Some(record) = self.sides.get_mut(key) {
            record.was_tried = true;
        }
        debug!(self.options.logger, "could not connect to side process"; "host" => %host);
        self.apply(TargetEvent::LinkDown { host }, context);
        self.schedule_wakeup(context);
    }
}

impl Handler<SideEvent> for DispatchActor {
    type Result = ();

    fn handle(&mut self, event: SideEvent, context: &mut Context<Self>) {
        let key = event.key;
        let record = self.sides.get(key);
        let Some(record) = record.filter(|record| record.generation == event.generation) else {
            return;
        };
        let host = record.host.clone();
        match event.frame {
            Some(frame) => self.accept_frame(key, host, frame, context),
            None => {
                warn!(self.options.logger, "link to side process lost"; "host" => %host);
                self.sides.close_link(key);
                self.apply(TargetEvent::LinkDown { host }, context);
            }
        }
        self.schedule_wakeup(context);
    }
}

impl DispatchActor {
    /// Sends a newly linked side process what it missed while it had no link.
    fn send_initial_state(&mut self, key: SideKey) {
        if let Some(record) = self.sides.get_mut(key) {
            record.send_pending_cancels();
        }
        self.resume_calls(key);
        self.send_config(key);
        self.send_known_crashes(key);
        self.repeat_releases(key);
    }

    fn send_config(&self, key: SideKey) {
        if let Some(config) = &self.config {
            self.sides.send(key, &EntryFrame::Config(config.full_push()));
        }
    }

    fn accept_frame(&mut self, key: SideKey, host: HostName, frame: SideFrame, context: &mut Context<Self>) {
        let now = self.now();
        match frame {
            SideFrame::Welcome {
                domain,
                targets,
                is_draining,
            } => {
                let event = TargetEvent::Described {
                    host: host.clone(),
                    domain,
                    targets,
                    is_draining,
                };
                self.apply(event, context);
                self.update_targets(&host);
                return self.retry_waiting();
            }
            SideFrame::Draining => {
                self.apply(TargetEvent::DrainAnnounced { host }, context);
                self.sides.send(key, &EntryFrame::DrainSeen);
                return;
            }
            SideFrame::Answer(frame) => self.accept_answer(key, frame),
            SideFrame::Crashes(reports) => self.merge_crashes(&reports, CrashSource::Side(key)),
            SideFrame::Load(reports) => {
                for report in &reports {
                    if self.picker.apply_load(report, now) {
                        self.admission.apply_load(report, self.entry_count);
                    }
                }
            }
            SideFrame::Cache(events) => {
                for event in &events {
                    self.picker.apply_cache(event, now);
                }
            }
            SideFrame::ConfigInForce(status) => self.options.status.do_send(SideStatusReported(vec![status])),
            SideFrame::ConfigWanted { .. } => self.send_config(key),
            SideFrame::Fenced { shard, highest } => {
                warn!(self.options.logger, "side process rejected an order with a stale fencing token";
                    "shard" => %shard, "highest" => highest.0);
            }
            SideFrame::Pong { .. } => {}
        }
        self.apply(TargetEvent::FrameReceived { host }, context);
    }

    /// Updates what the targets of a host serve.
    fn update_targets(&mut self, host: &HostName) {
        let targets = self.registry.targets();
        for (target, record) in targets.filter(|(_, record)| record.host == *host) {
            self.picker.update_target(target, record);
        }
    }
}
