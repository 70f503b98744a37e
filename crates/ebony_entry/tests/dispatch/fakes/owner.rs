//! The owner and the other actors that the dispatcher tells something.

use actix::{Actor, Addr, Context, Handler};
use ebony_entry::config::SideStatusReported;
use ebony_entry::dispatch::{CallEnded, CallPlaced, CrashesReported};
use ebony_wire::CrashReport;
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Messages that wait for a test. No test causes as many.
const MESSAGES: usize = 16_384;

/// Passes what it is told to a test.
pub(crate) struct FakeOwner {
    ended: Sender<CallEnded>,
    placed: Sender<CallPlaced>,
    statuses: Sender<u64>,
    crashes: Sender<Vec<CrashReport>>,
}

/// What the owner was told.
pub(crate) struct ToldOwner {
    pub(crate) ended: Receiver<CallEnded>,
    pub(crate) placed: Receiver<CallPlaced>,
    pub(crate) statuses: Receiver<u64>,
    pub(crate) crashes: Receiver<Vec<CrashReport>>,
}

impl FakeOwner {
    pub(crate) fn start_with_channels() -> (Addr<Self>, ToldOwner) {
        let (ended, ended_told) = channel(MESSAGES);
        let (placed, placed_told) = channel(MESSAGES);
        let (statuses, statuses_told) = channel(MESSAGES);
        let (crashes, crashes_told) = channel(MESSAGES);
        let owner = Self {
            ended,
            placed,
            statuses,
            crashes,
        };
        let told = ToldOwner {
            ended: ended_told,
            placed: placed_told,
            statuses: statuses_told,
            crashes: crashes_told,
        };
        (owner.start(), told)
    }
}

impl Actor for FakeOwner {
    type Context = Context<Self>;
}

/// Passes a message on. The test may be over.
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
