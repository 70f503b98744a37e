//! The planned stop: admitted calls end, new ones are refused, and answers are delivered to entries.

use std::time::Duration;

use actix::{ActorContext, AsyncContext, Context, Handler, Message};
use ebony_types::ClockTime;
use ebony_wire::SideFrame;
use slog::info;
use tokio::sync::oneshot;

use super::SideActor;

/// The longest wait for entries to close their ends of the links. Queued frames are sent well within this time.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest wait for entries to confirm the drain. If a link closed earlier, a call that its entry had already sent
/// would be lost, and its caller would be told that the call may have run.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Begins the drain. The sender is notified when all calls have ended and the links are closed.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct BeginDrain(pub(crate) oneshot::Sender<()>);

/// Stops the actor.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct StopActor;

/// The progress of the drain.
#[derive(Default)]
pub(super) struct DrainState {
    done: Option<oneshot::Sender<()>>,
    is_draining: bool,
    began: ClockTime,
    /// When the process began to close its links.
    closing_since: Option<ClockTime>,
    /// The number of links whose receiving end is open, including replaced ones.
    streams: usize,
}

impl DrainState {
    pub(super) fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns `true` once no further links are accepted.
    pub(super) fn is_closing(&self) -> bool {
        self.closing_since.is_some()
    }

    /// Notifies the initiator of the drain that it is complete.
    fn finish(&mut self) {
        if let Some(done) = self.done.take() {
            // The receiver is gone if the drain time limit was reached.
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
        let is_confirmed = self.links.all_confirmed_drain() || now.since(self.drain.began) >= CONFIRM_TIMEOUT;
        let is_idle = self.ledger.open_calls() == 0 && self.deliveries.are_all_sent(now);
        if !self.drain.is_closing() && is_confirmed && is_idle {
            self.drain.closing_since = Some(now);
            // The links send what waits in their queues before they close.
            self.links.clear();
        }
        let has_waited = |since: ClockTime| now.since(since) >= CLOSE_TIMEOUT;
        let is_closing = self.drain.is_closing();
        if is_closing && (self.drain.streams == 0 || self.drain.closing_since.is_some_and(has_waited)) {
            self.drain.finish();
        }
    }
}

impl Handler<BeginDrain> for SideActor {
    type Result = ();

    fn handle(&mut self, BeginDrain(done): BeginDrain, context: &mut Context<Self>) {
        info!(self.logger, "drain started"; "open_calls" => self.ledger.open_calls());
        self.drain.is_draining = true;
        self.drain.began = self.now();
        self.drain.done = Some(done);
        self.links.broadcast(&SideFrame::Draining);
        // In a separate message, so that the links stay open for a moment after the announcement.
        context.notify(CheckDrain);
    }
}

/// Checks whether the drain is complete.
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
