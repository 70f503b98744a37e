//! A bounded single-reader pipe for one answer.

use std::sync::{Mutex, MutexGuard, PoisonError};

use actix::{Message, Recipient};
use bytes::{Bytes, BytesMut};
use ebony_types::limits::{ANSWER_WINDOW_BYTES, CREDIT_STEP_BYTES, MAX_CHUNK_BYTES};
use ebony_types::{CallId, CallUsage, ProblemReport};
use ebony_wire::AnswerHead;
use tokio::sync::Notify;

/// The maximum bytes buffered for the reader. Twice the window, because grants and chunks may cross on the link.
const MAX_BUFFERED_BYTES: usize = 2 * ANSWER_WINDOW_BYTES as usize;

/// A part of an answer, in order: a head, bytes, and one end or failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// Status and header fields.
    Head(AnswerHead),
    /// Bytes of the body.
    Bytes(Bytes),
    /// The body is complete, and its outcome is durable.
    End(CallUsage),
    /// The answer failed. The bytes before it are an incomplete answer.
    Failed(ProblemReport),
}

/// Grants more credit to the sender of an answer.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CreditGrant {
    /// The call.
    pub call: CallId,
    /// The number of additional bytes that may be sent.
    pub bytes: u32,
}

/// Cancels a call, because its reader is gone or has cancelled it.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CancelCall {
    /// The call.
    pub call: CallId,
}

/// Passes one answer from an actor to its reader, which may be on another thread.
///
/// The credit granted to the sender bounds the buffer. New credit is granted as the reader consumes bytes.
#[derive(Debug)]
pub struct AnswerPipe {
    call: CallId,
    state: Mutex<PipeState>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct PipeState {
    head: Option<AnswerHead>,
    body: BytesMut,
    outcome: Option<AnswerPart>,
    consumed: u32,
    is_closed: bool,
    is_abandoned: bool,
    credit: Option<Recipient<CreditGrant>>,
    cancel: Option<Recipient<CancelCall>>,
}

impl AnswerPipe {
    /// Creates an empty pipe for a call.
    pub fn new(call: CallId) -> Self {
        Self {
            call,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the call.
    pub fn call(&self) -> CallId {
        self.call
    }

    /// Sets the recipient of credit grants, sent when the reader has consumed bytes.
    pub fn set_credit(&self, recipient: Recipient<CreditGrant>) {
        self.lock().credit = Some(recipient);
    }

    /// Appends a part. Parts after an end or failure are dropped.
    ///
    /// Returns `false` if the reader is gone or the sender exceeded its credit; the sender must then end the answer.
    pub fn push(&self, part: AnswerPart) -> bool {
        let mut state = self.lock();
        if state.is_abandoned {
            return false;
        }
        if state.is_closed {
            return true;
        }
        match part {
            AnswerPart::Head(head) => state.head = Some(head),
            AnswerPart::Bytes(bytes) if state.body.len() + bytes.len() > MAX_BUFFERED_BYTES => return false,
            AnswerPart::Bytes(bytes) => state.body.extend_from_slice(&bytes),
            outcome => {
                state.outcome = Some(outcome);
                state.is_closed = true;
            }
        }
        drop(state);
        self.changed.notify_one();
        true
    }

    /// Waits for the next part. Returns `None` after an end or failure.
    pub async fn next(&self) -> Option<AnswerPart> {
        loop {
            let changed = self.changed.notified();
            if let Some(part) = self.take() {
                return Some(part);
            }
            if self.is_drained() {
                return None;
            }
            changed.await;
        }
    }

    /// Sets the recipient that is notified when the reader is gone.
    pub fn set_cancel(&self, recipient: Recipient<CancelCall>) {
        self.lock().cancel = Some(recipient);
    }

    /// Marks the reader as gone, so that the sender can end the call.
    pub fn abandon(&self) {
        let mut state = self.lock();
        state.is_abandoned = true;
        let is_over = state.is_closed;
        let cancel = state.cancel.take();
        drop(state);
        if let Some(recipient) = cancel.filter(|_| !is_over) {
            recipient.do_send(CancelCall { call: self.call });
        }
    }

    /// Returns `true` once the reader is gone.
    pub fn is_abandoned(&self) -> bool {
        self.lock().is_abandoned
    }

    fn is_drained(&self) -> bool {
        let state = self.lock();
        state.is_closed && state.outcome.is_none()
    }

    fn take(&self) -> Option<AnswerPart> {
        let mut state = self.lock();
        if let Some(head) = state.head.take() {
            return Some(AnswerPart::Head(head));
        }
        if state.body.is_empty() {
            return state.outcome.take();
        }
        let length = state.body.len().min(MAX_CHUNK_BYTES);
        let bytes = state.body.split_to(length).freeze();
        state.consumed += u32::try_from(length).unwrap_or(u32::MAX);
        if state.consumed >= CREDIT_STEP_BYTES {
            let grant = CreditGrant {
                call: self.call,
                bytes: std::mem::take(&mut state.consumed),
            };
            if let Some(recipient) = &state.credit {
                recipient.do_send(grant);
            }
        }
        Some(AnswerPart::Bytes(bytes))
    }

    fn lock(&self) -> MutexGuard<'_, PipeState> {
        // A panic while the lock is held can't leave the state inconsistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
