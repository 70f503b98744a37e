//! Accepts links from entries and handles their loss.

use actix::{ActorFutureExt, AsyncContext, Context, Handler, WrapFuture};
use ebony_link::OpenLink;
use ebony_wire::{LinkRole, SideFrame};
use slog::{info, warn};

use super::SideActor;
use crate::links::{LinkEvent, LinkKey, link_events};

impl SideActor {
    pub(super) fn accept_next(&mut self, context: &mut Context<Self>) {
        let Some(mut listener) = self.listener.take() else {
            return;
        };
        let next = async move {
            let link = listener.next().await;
            (listener, link)
        };
        let next = next.into_actor(self).map(|(listener, link), actor, context| {
            actor.listener = Some(listener);
            if let Some(link) = link {
                actor.open_link(link, context);
                actor.accept_next(context);
            }
        });
        context.spawn(next);
    }

    fn open_link(&mut self, link: OpenLink, context: &mut Context<Self>) {
        let peer = link.peer().clone();
        if peer.role != LinkRole::Entry || self.drain.is_closing() {
            return;
        }
        let (sender, receiver) = link.split();
        let (key, older) = self
            .links
            .insert(peer.process.clone(), sender, self.drain.is_draining());
        if let Some(older) = older {
            let now = self.now();
            self.deliveries.detach_link(older, now);
        }
        info!(self.logger, "link from entry opened"; "entry" => peer.process, "is_newer" => older.is_some());
        self.drain.add_stream();
        context.add_message_stream(link_events(key, receiver));
        self.send_initial_frames(key);
        self.report_load(context);
    }

    /// Sends the initial frames of a link. They can't fail for lack of room, because its send queue is empty.
    fn send_initial_frames(&mut self, key: LinkKey) {
        let _ = self.links.send(key, &self.welcome_frame());
        let _ = self.links.send(key, &self.config_status());
        let now = self.now();
        let crashes = self.ledger.crashes().reports(now);
        if !crashes.is_empty() {
            let _ = self.links.send(key, &SideFrame::Crashes(crashes));
        }
        let loads = self.targets.values().map(|target| target.load_report());
        let _ = self.links.send(key, &SideFrame::Load(loads.collect()));
    }

    pub(super) fn welcome_frame(&self) -> SideFrame {
        let targets = self.targets.values().map(|target| target.open.report.clone());
        SideFrame::Welcome {
            domain: self.identity.domain.clone(),
            targets: targets.collect(),
            is_draining: self.drain.is_draining(),
        }
    }
}

impl Handler<LinkEvent> for SideActor {
    type Result = ();

    fn handle(&mut self, event: LinkEvent, context: &mut Context<Self>) {
        let Some(frame) = event.frame else {
            self.drain.remove_stream();
            if self.links.remove(event.key) {
                warn!(self.logger, "link from entry lost");
                let now = self.now();
                self.deliveries.detach_link(event.key, now);
            }
            self.check_drained();
            return;
        };
        // Frames of a replaced link must be dropped unread; the ledger relies on this.
        if self.links.contains(event.key) {
            self.accept_frame(event.key, frame, context);
            self.rearm_timer(context);
        }
    }
}
