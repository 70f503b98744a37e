//! The planned stop: calls under way end, new ones are refused, and answers reach their entries.

use std::time::Duration;

use actix::{ActorContext, AsyncContext, Context, Handler, Message};
use ebony_types::ClockTime;
use ebony_wire::SideFrame;
use slog::info;
use tokio::sync::oneshot;

use super::SideActor;

/// The longest wait for entries to close their ends of the links. What was sent has left the process long before.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// The longest wait for entries to confirm that they have seen the drain. A call that an entry sent before would be lost
/// with its link, and its caller told that it may have run.
const CONFIRM_TIME: Duration = Duration::from_secs(5);

/// Begins the drain. The sender is used when nothing is left to do and all links are closed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct BeginDrain(pub(crate) oneshot::Sender<()>);

/// Stops the actor.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopActor;

/// How far the drain has come.
#[derive(Default)]
pub(super) struct DrainState {
    done: Option<oneshot::Sender<()>>,
    is_draining: bool,
    began: ClockTime,
    /// Since when the links are being closed.
    closing_since: Option<ClockTime>,
    /// Links whose receiving end is open, replaced ones included.
    streams: usize,
}

impl DrainState {
    pub(super) fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns `true` when no further link is taken.
    pub(super) fn is_closing(&self) -> bool {
        self.closing_since.is_some()
    }

    /// Tells whoever began the drain that nothing is left to do.
    fn finish(&mut self) {
        if let Some(done) = self.done.take() {
            // Without a receiver, the time for the drain is over.
            let _ = done.send(());
        }
    }

    pub(super) fn add_stream(&mut self) {
        self.streams += 1;
    }

    pub(super) fn remove_stream(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }
}

impl SideActor {
    /// Closes the links when every call has ended and its answer was sent.
    pub(super) fn check_drained(&mut self) {
        if !self.drain.is_draining {
            return;
        }
        let now = self.now();
        let is_confirmed = self.links.all_confirmed_drain() || now.since(self.drain.began) >= CONFIRM_TIME;
        let is_idle = self.ledger.open_calls() == 0 && self.deliveries.are_sent(now);
        if !self.drain.is_closing() && is_confirmed && is_idle {
            self.drain.closing_since = Some(now);
            // The links send what waits in their queues before they close.
            self.links.clear();
        }
        let has_waited = |since: ClockTime| now.since(since) >= CLOSE_TIME;
        let is_closing = self.drain.is_closing();
        if is_closing && (self.drain.streams == 0 || self.drain.closing_since.is_some_and(has_waited)) {
            self.drain.finish();
        }
    }
}

impl Handler<BeginDrain> for SideActor {
    type Result = ();

    fn handle(&mut self, BeginDrain(done): BeginDrain, context: &mut Context<Self>) {
        info!(self.logger, "drain began"; "open_calls" => self.ledger.open_calls());
        self.drain.is_draining = true;
        self.drain.began = self.now();
        self.drain.done = Some(done);
        self.links.broadcast(&SideFrame::Draining);
        // In a message of its own, so that entries see the announcement on a link that stays open for a moment.
        context.notify(CheckDrain);
    }
}

/// Looks whether the drain is complete.
#[derive(Message)]
#[rtype(result = "()")]
struct CheckDrain;

impl Handler<CheckDrain> for SideActor {
    type Result = ();

    fn handle(&mut self, _: CheckDrain, _: &mut Context<Self>) {
        self.check_drained();
    }
}

impl Handler<StopActor> for SideActor {
    type Result = ();

    fn handle(&mut self, _: StopActor, context: &mut Context<Self>) {
        self.links.clear();
        context.stop();
    }
}
