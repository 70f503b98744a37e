//! A fake owner, which also stands in for the other actors that receive messages of the dispatcher.

use actix::{Actor, Addr, Context, Handler};
use ebony_entry::config::SideStatusReported;
use ebony_entry::dispatch::{CallEnded, CallPlaced, CrashesReported};
use ebony_wire::CrashReport;
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// The maximum number of messages queued for a test. No test reaches it.
const MESSAGE_QUEUE: usize = 16_384;

/// Forwards the messages that it receives to a test.
pub(crate) struct FakeOwner {
    ended: Sender<CallEnded>,
    placed: Sender<CallPlaced>,
    statuses: Sender<u64>,
    crashes: Sender<Vec<CrashReport>>,
}

/// The messages received by the fake owner.
pub(crate) struct ReceivedMessages {
    pub(crate) ended: Receiver<CallEnded>,
    pub(crate) placed: Receiver<CallPlaced>,
    pub(crate) statuses: Receiver<u64>,
    pub(crate) crashes: Receiver<Vec<CrashReport>>,
}

impl FakeOwner {
    pub(crate) fn start_with_channels() -> (Addr<Self>, ReceivedMessages) {
        let (ended, ended_receiver) = channel(MESSAGE_QUEUE);
        let (placed, placed_receiver) = channel(MESSAGE_QUEUE);
        let (statuses, statuses_receiver) = channel(MESSAGE_QUEUE);
        let (crashes, crashes_receiver) = channel(MESSAGE_QUEUE);
        let owner = Self {
            ended,
            placed,
            statuses,
            crashes,
        };
        let received = ReceivedMessages {
            ended: ended_receiver,
            placed: placed_receiver,
            statuses: statuses_receiver,
            crashes: crashes_receiver,
        };
        (owner.start(), received)
    }
}

impl Actor for FakeOwner {
    type Context = Context<Self>;
}

/// Forwards a message. Fails silently if the test is over.
fn pass<T>(sender: &Sender<T>, message: T) {
    let _ = sender.try_send(message);
}

impl Handler<CallEnded> for FakeOwner {
    type Result = ();

    fn handle(&mut self, ended: CallEnded, _: &mut Context<Self>) {
        pass(&self.ended, ended);
    }
}

impl Handler<CallPlaced> for FakeOwner {
    type Result = ();

    fn handle(&mut self, placed: CallPlaced, _: &mut Context<Self>) {
        pass(&self.placed, placed);
    }
}

impl Handler<SideStatusReported> for FakeOwner {
    type Result = ();

    fn handle(&mut self, SideStatusReported(statuses): SideStatusReported, _: &mut Context<Self>) {
        for status in statuses {
            pass(&self.statuses, status.version);
        }
    }
}

impl Handler<CrashesReported> for FakeOwner {
    type Result = ();

    fn handle(&mut self, CrashesReported(reports): CrashesReported, _: &mut Context<Self>) {
        pass(&self.crashes, reports);
    }
}
