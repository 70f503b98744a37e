//! A side process that does what a test says.

use std::net::SocketAddr;

use bytes::Bytes;
use ebony_link::{LinkListener, LinkOptions, LinkReceiver, LinkSender};
use ebony_types::{CallId, CallUsage, DomainName, ModelName, ProblemReport, ServiceName, TargetName};
use ebony_wire::{
    AnswerFrame, AnswerHead, DispatchOrder, EntryFrame, LinkRole, SideFrame, TargetKind, TargetReport,
};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::JoinHandle;

use super::{LIMIT, identity, within};

/// Frames that wait for a test.
const FRAMES: usize = 4_096;

/// A side process beside an engine and a service.
pub(crate) struct FakeSide {
    name: String,
    listener: LinkListener,
    models: Vec<ModelName>,
}

impl FakeSide {
    /// Starts a life of a side process.
    pub(crate) async fn start(name: &str, incarnation: u8) -> Self {
        let options = LinkOptions {
            silence_limit: LIMIT,
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

    /// Takes all models from the engine.
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

    /// Accepts the next link and describes the targets.
    pub(crate) async fn accept(&mut self) -> FakeLink {
        let link = within(self.listener.next()).await.expect("listens");
        let (sender, receiver) = link.split();
        let (queue, frames) = channel(FRAMES);
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

/// Answers pings and passes other frames on.
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

/// One link to the dispatcher.
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

    /// Returns the next frame, or `None` once the link is over.
    pub(crate) async fn next(&mut self) -> Option<EntryFrame> {
        within(self.frames.recv()).await
    }

    /// Returns the next frame that the function accepts.
    pub(crate) async fn find<T>(&mut self, accept: impl Fn(EntryFrame) -> Option<T>) -> T {
        loop {
            let frame = self.next().await.expect("the link is open");
            if let Some(found) = accept(frame) {
                return found;
            }
        }
    }

    /// Returns the next call.
    pub(crate) async fn dispatched(&mut self) -> DispatchOrder {
        self.find(|frame| match frame {
            EntryFrame::Dispatch(order) => Some(*order),
            _ => None,
        })
        .await
    }

    /// Returns the calls that have arrived.
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

    /// Sends a whole answer.
    pub(crate) fn answer(&self, call: CallId, body: &[u8]) {
        self.accept(call);
        self.head(call);
        self.chunk(call, 0, body);
        self.end(call, body.len() as u64);
    }

    /// Closes the link without a word.
    pub(crate) fn cut(self) {
        self.task.abort();
    }
}
