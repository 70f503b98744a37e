//! Links that other entries dialed, with the calls that they forward to this owner.

use std::collections::HashMap;
use std::sync::Arc;

use ebony_link::LinkSender;
use ebony_types::CallId;
use ebony_types::limits::ANSWER_WINDOW_BYTES;
use ebony_wire::{AnswerFrame, PeerFrame};
use tokio::sync::Semaphore;

use crate::answer::{AnswerPart, AnswerPipe};

/// An accepted link.
pub(super) struct IncomingLink {
    pub(super) sender: LinkSender<PeerFrame>,
    calls: HashMap<CallId, ReturnedAnswer>,
}

/// An answer on its way back to the entry that forwarded its call.
struct ReturnedAnswer {
    pipe: Arc<AnswerPipe>,
    /// One permit per byte that may be sent.
    credit: Arc<Semaphore>,
}

impl IncomingLink {
    pub(super) fn new(sender: LinkSender<PeerFrame>) -> Self {
        Self {
            sender,
            calls: HashMap::new(),
        }
    }

    /// Sends an answer back as it arrives in the pipe. Must be called within a Tokio `LocalSet`.
    pub(super) fn return_answer(&mut self, pipe: Arc<AnswerPipe>) {
        self.calls.retain(|_, answer| !answer.credit.is_closed());
        let credit = Arc::new(Semaphore::new(ANSWER_WINDOW_BYTES as usize));
        let answer = ReturnedAnswer {
            pipe: Arc::clone(&pipe),
            credit: Arc::clone(&credit),
        };
        self.calls.insert(pipe.call(), answer);
        actix::spawn(send_answer(self.sender.clone(), pipe, credit));
    }

    /// Grants credit to an answer, at most one window. Ignored while more than one window of credit is unused.
    pub(super) fn grant(&self, call: CallId, bytes: u32) {
        if let Some(answer) = self.calls.get(&call)
            && answer.credit.available_permits() <= ANSWER_WINDOW_BYTES as usize
        {
            answer.credit.add_permits(bytes.min(ANSWER_WINDOW_BYTES) as usize);
        }
    }

    /// Marks the reader of one answer as gone.
    pub(super) fn cancel(&mut self, call: CallId) {
        if let Some(answer) = self.calls.remove(&call) {
            answer.pipe.abandon();
        }
    }

    /// Marks the readers of all answers as gone.
    pub(super) fn cancel_all(&mut self) {
        for (_, answer) in self.calls.drain() {
            answer.pipe.abandon();
        }
    }
}

/// Sends the parts of an answer within the receiver's credit, and closes the credit at the end.
async fn send_answer(sender: LinkSender<PeerFrame>, pipe: Arc<AnswerPipe>, credit: Arc<Semaphore>) {
    let call = pipe.call();
    let mut offset = 0;
    while let Some(part) = pipe.next().await {
        let frame = match part {
            AnswerPart::Head(head) => AnswerFrame::Head { call, head },
            AnswerPart::Bytes(bytes) => {
                let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
                let Ok(permits) = credit.acquire_many(length).await else {
                    return;
                };
                permits.forget();
                let frame = AnswerFrame::Chunk { call, offset, bytes };
                offset += u64::from(length);
                frame
            }
            AnswerPart::End(usage) => AnswerFrame::End {
                call,
                length: offset,
                usage,
            },
            AnswerPart::Failed(problem) => AnswerFrame::Failed { call, problem },
        };
        if sender.send(&PeerFrame::Answer(frame)).is_err() {
            pipe.abandon();
            break;
        }
    }
    credit.close();
}
