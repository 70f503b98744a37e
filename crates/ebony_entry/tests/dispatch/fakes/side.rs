//! A side process controlled by a test.

use std::net::SocketAddr;

use bytes::Bytes;
use ebony_link::{LinkListener, LinkOptions, LinkReceiver, LinkSender};
use ebony_types::{CallId, CallUsage, DomainName, ModelName, ProblemReport, ServiceName, TargetName};
use ebony_wire::{
    AnswerFrame, AnswerHead, DispatchOrder, EntryFrame, LinkRole, SideFrame, TargetKind, TargetReport,
};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::JoinHandle;

use super::{WAIT_LIMIT, identity, within};

/// The maximum number of frames queued for a test.
const FRAME_QUEUE: usize = 4_096;

/// A fake side process with an engine and a service as targets.
pub(crate) struct FakeSide {
    name: String,
    listener: LinkListener,
    models: Vec<ModelName>,
}

impl FakeSide {
    /// Starts an incarnation of a side process.
    pub(crate) async fn start(name: &str, incarnation: u8) -> Self {
        let options = LinkOptions {
            silence_limit: WAIT_LIMIT,
            ..LinkOptions::default()
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = LinkListener::bind(address, identity(name, LinkRole::Side, incarnation), options);
        Self {
            name: name.to_owned(),
            listener: listener.await.expect("a free port"),
            models: vec![ModelName::parse("kalo").expect("a name")],
        }
    }

    /// Removes all models from the engine.
    pub(crate) fn without_models(mut self) -> Self {
        self.models.clear();
        self
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the engine's name.
    pub(crate) fn engine(&self) -> TargetName {
        TargetName::parse(&format!("engine-{}", self.name)).expect("a name")
    }

    /// Accepts the next link and sends the `Welcome` frame with the targets.
    pub(crate) async fn accept(&mut self) -> FakeLink {
        let link = within(self.listener.next()).await.expect("listens");
        let (sender, receiver) = link.split();
        let (queue, frames) = channel(FRAME_QUEUE);
        let task = tokio::task::spawn_local(read_frames(sender.clone(), receiver, queue));
        let link = FakeLink { sender, frames, task };
        link.send(SideFrame::Welcome {
            domain: DomainName::parse("here").expect("a name"),
            targets: self.targets(),
            is_draining: false,
        });
        link
    }

    fn targets(&self) -> Vec<TargetReport> {
        let models = self.models.clone();
        let service = ServiceName::parse("shop").expect("a name");
        let report = |target: TargetName, kind: TargetKind| TargetReport {
            target,
            kind,
            slots: 4,
            checks_fencing: false,
        };
        let shop = TargetName::parse(&format!("shop-{}", self.name)).expect("a name");
        vec![
            report(self.engine(), TargetKind::Engine { models }),
            report(shop, TargetKind::Service { service }),
        ]
    }
}

/// Answers pings and queues all other frames.
async fn read_frames(
    sender: LinkSender<SideFrame>,
    mut receiver: LinkReceiver<EntryFrame>,
    queue: Sender<EntryFrame>,
) {
    while let Ok(frame) = receiver.next().await {
        let is_passed = match frame {
            EntryFrame::Ping { nonce } => sender.send(&SideFrame::Pong { nonce }).is_ok(),
            frame => queue.send(frame).await.is_ok(),
        };
        if !is_passed {
            return;
        }
    }
}

/// A link to the dispatcher.
pub(crate) struct FakeLink {
    sender: LinkSender<SideFrame>,
    frames: Receiver<EntryFrame>,
    task: JoinHandle<()>,
}

impl FakeLink {
    pub(crate) fn send(&self, frame: SideFrame) {
        // The dispatcher may have closed the link.
        let _ = self.sender.send(&frame);
    }

    /// Waits for the next frame. Returns `None` once the link is closed.
    pub(crate) async fn next(&mut self) -> Option<EntryFrame> {
        within(self.frames.recv()).await
    }

    /// Waits for the first frame for which `accept` returns a value, and skips the frames before it.
    pub(crate) async fn find<T>(&mut self, accept: impl Fn(EntryFrame) -> Option<T>) -> T {
        loop {
            let frame = self.next().await.expect("the link is open");
            if let Some(found) = accept(frame) {
                return found;
            }
        }
    }

    /// Waits for the next dispatched call.
    pub(crate) async fn dispatched(&mut self) -> DispatchOrder {
        self.find(|frame| match frame {
            EntryFrame::Dispatch(order) => Some(*order),
            _ => None,
        })
        .await
    }

    /// Returns the dispatched calls among the queued frames, and discards all other queued frames.
    pub(crate) fn arrived(&mut self) -> Vec<DispatchOrder> {
        let frames = std::iter::from_fn(|| self.frames.try_recv().ok());
        let orders = frames.filter_map(|frame| match frame {
            EntryFrame::Dispatch(order) => Some(*order),
            _ => None,
        });
        orders.collect()
    }

    pub(crate) fn accept(&self, call: CallId) {
        self.send(SideFrame::Answer(AnswerFrame::Accepted { call }));
    }

    pub(crate) fn head(&self, call: CallId) {
        let head = AnswerHead {
            status: 200,
            headers: Vec::new(),
        };
        self.send(SideFrame::Answer(AnswerFrame::Head { call, head }));
    }

    pub(crate) fn chunk(&self, call: CallId, offset: u64, bytes: &[u8]) {
        let bytes = Bytes::copy_from_slice(bytes);
        self.send(SideFrame::Answer(AnswerFrame::Chunk { call, offset, bytes }));
    }

    pub(crate) fn end(&self, call: CallId, length: u64) {
        let usage = CallUsage {
            prompt_tokens: 100,
            cached_tokens: 0,
            output_tokens: 10,
        };
        self.send(SideFrame::Answer(AnswerFrame::End { call, length, usage }));
    }

    pub(crate) fn fail(&self, call: CallId, problem: ProblemReport) {
        self.send(SideFrame::Answer(AnswerFrame::Failed { call, problem }));
    }

    /// Sends a complete answer.
    pub(crate) fn answer(&self, call: CallId, body: &[u8]) {
        self.accept(call);
        self.head(call);
        self.chunk(call, 0, body);
        self.end(call, body.len() as u64);
    }

    /// Drops the connection without further frames.
    pub(crate) fn cut(self) {
        self.task.abort();
    }
}
