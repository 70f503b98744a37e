//! The entry's end of a link.

use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use bytes::BytesMut;
use ebony_link::{LinkReceiver, LinkSender, OpenLink};
use ebony_standins::engine::{ChatRequest, EchoAnswer};
use ebony_types::{CallId, ProblemReport};
use ebony_wire::{AnswerFrame, DispatchOrder, EntryFrame, SideFrame};
use tokio::time::timeout;

/// The longest wait for a frame. It is reached only if a test fails.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(60);

/// A link on which a test acts as an entry.
pub(crate) struct LinkEnd {
    sender: LinkSender<EntryFrame>,
    receiver: LinkReceiver<SideFrame>,
    /// Frames that arrived while the test waited for another one.
    skipped: Vec<SideFrame>,
}

/// The received part of an answer.
#[derive(Debug, Default)]
pub(crate) struct ReadAnswer {
    pub(crate) body: BytesMut,
    /// The problem that ended the answer; `None` for a complete answer.
    pub(crate) problem: Option<ProblemReport>,
}

impl ReadAnswer {
    pub(crate) fn problem(self) -> Result<ProblemReport> {
        self.problem.context("the call was answered")
    }

    /// Returns the text of a streamed chat completion after checking that it is the complete answer to the request.
    pub(crate) fn check_stream(&self, request: &ChatRequest) -> Result<EchoAnswer> {
        ensure!(self.problem.is_none(), "{:?}", self.problem);
        let mut text = String::new();
        for line in std::str::from_utf8(&self.body)?.lines() {
            let Some(event) = line.strip_prefix("data: ").filter(|event| *event != "[DONE]") else {
                continue;
            };
            let event: serde_json::Value = serde_json::from_str(event)?;
            text.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
        }
        Ok(EchoAnswer::check(&text, request)?)
    }
}

impl LinkEnd {
    pub(crate) fn open(link: OpenLink) -> Self {
        let (sender, receiver) = link.split();
        Self {
            sender,
            receiver,
            skipped: Vec::new(),
        }
    }

    pub(crate) fn send(&self, frame: EntryFrame) -> Result<()> {
        Ok(self.sender.send(&frame)?)
    }

    pub(crate) fn dispatch(&self, order: &DispatchOrder) -> Result<()> {
        self.send(EntryFrame::Dispatch(Box::new(order.clone())))
    }

    /// Returns the result of `choose` for the first frame, skipped earlier or new, that it accepts.
    pub(crate) async fn wait<T>(&mut self, choose: impl Fn(&SideFrame) -> Option<T>) -> Result<T> {
        let position = self.skipped.iter().position(|frame| choose(frame).is_some());
        if let Some(position) = position {
            let frame = self.skipped.remove(position);
            return choose(&frame).context("a chosen frame");
        }
        loop {
            let Ok(frame) = timeout(MAX_WAIT, self.receiver.next()).await else {
                bail!("no such frame; skipped {:?}", self.skipped);
            };
            let frame = frame?;
            if let Some(chosen) = choose(&frame) {
                return Ok(chosen);
            }
            self.skipped.push(frame);
        }
    }

    async fn next_part(&mut self, call: CallId) -> Result<AnswerFrame> {
        self.wait(|frame| match frame {
            SideFrame::Answer(answer) if answer.call() == call => Some(answer.clone()),
            _ => None,
        })
        .await
    }

    /// Reads an answer to its end and grants credit.
    pub(crate) async fn read(&mut self, call: CallId) -> Result<ReadAnswer> {
        let mut answer = ReadAnswer::default();
        self.read_on(call, &mut answer, usize::MAX).await?;
        Ok(answer)
    }

    /// Reads an answer until it has at least `limit` bytes or ends. A gap or a repeated byte is an error.
    pub(crate) async fn read_on(
        &mut self,
        call: CallId,
        answer: &mut ReadAnswer,
        limit: usize,
    ) -> Result<()> {
        while answer.body.len() < limit {
            match self.next_part(call).await? {
                AnswerFrame::Accepted { .. } | AnswerFrame::Head { .. } => {}
                AnswerFrame::Chunk { offset, bytes, .. } => {
                    ensure!(
                        offset == answer.body.len() as u64,
                        "the answer has a gap or repeated bytes"
                    );
                    answer.body.extend_from_slice(&bytes);
                    let bytes = bytes.len() as u32;
                    self.send(EntryFrame::Credit { call, bytes })?;
                }
                AnswerFrame::End { length, .. } => {
                    ensure!(length == answer.body.len() as u64, "the answer is incomplete");
                    return Ok(());
                }
                AnswerFrame::Failed { problem, .. } => {
                    answer.problem = Some(problem);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Waits until the side process has handled all frames sent so far.
    pub(crate) async fn sync(&mut self) -> Result<()> {
        self.send(EntryFrame::Ping { nonce: 77 })?;
        self.wait(|frame| (*frame == SideFrame::Pong { nonce: 77 }).then_some(()))
            .await
    }
}
