//! Buffers for the answers of calls, addressed by byte offset, while they stream and for some time afterwards.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use ebony_types::limits::MAX_CHUNK_BYTES;
use ebony_types::{CallUsage, ProblemReport};
use ebony_wire::AnswerHead;

use crate::caller_credit::INITIAL_CREDIT_BYTES;

/// The size at which a segment is closed. Engines stream a few hundred bytes per token, so that a segment for each
/// would cause high overhead.
const SEGMENT_BYTES: usize = 16 * 1024;

/// The most bytes that a target may send beyond those that the entry has confirmed: the credit, and one chunk that
/// waits for more credit. With 64 running calls, the worst case is 20 MiB.
pub const MAX_UNCONFIRMED_BYTES: u64 = INITIAL_CREDIT_BYTES + MAX_CHUNK_BYTES as u64;

/// The reason why an operation on a buffer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum BufferError {
    /// The answer has ended.
    #[error("the answer has ended")]
    Ended,
    /// The entry has to confirm bytes first.
    #[error("the answer is too far ahead of its reader")]
    Full,
    /// The bytes at the offset were dropped.
    #[error("the answer's first bytes are no longer stored")]
    Dropped,
    /// The offset is beyond the bytes that the target has sent.
    #[error("the offset lies beyond the answer")]
    Beyond,
}

/// The result of an operation on a buffer.
pub type Result<T, E = BufferError> = std::result::Result<T, E>;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The target sent the complete answer.
    Complete(CallUsage),
    /// The call failed, and the bytes so far are not a complete answer.
    Failed(ProblemReport),
}

/// The content of a buffer at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BufferRead<'a> {
    /// The bytes that start at the offset.
    Chunk(Bytes),
    /// The target has not sent more yet.
    Pending,
    /// The answer ends at the offset or has failed.
    Ended(&'a AnswerOutcome),
}

/// The stored part of an answer.
///
/// ```
/// use bytes::Bytes;
/// use ebony_ledger::{AnswerBuffer, BufferRead};
///
/// let mut buffer = AnswerBuffer::default();
/// buffer.push(&Bytes::from_static(b"hello"))?;
/// assert_eq!(buffer.read(1, 3)?, BufferRead::Chunk(Bytes::from_static(b"ell")));
/// assert_eq!(buffer.read(5, 3)?, BufferRead::Pending);
/// # Ok::<(), ebony_ledger::BufferError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerBuffer {
    head: Option<AnswerHead>,
    segments: VecDeque<Bytes>,
    tail: BytesMut,
    first_offset: u64,
    length: u64,
    confirmed: u64,
    outcome: Option<AnswerOutcome>,
}

impl AnswerBuffer {
    /// Stores the status and header fields. A second head is ignored.
    pub fn set_head(&mut self, head: AnswerHead) {
        self.head.get_or_insert(head);
    }

    /// Appends bytes from the target. They are copied, so that the buffer does not keep read buffers alive.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError::Ended`] after the end, and [`BufferError::Full`] if [`AnswerBuffer::has_room`] is
    /// `false`.
    pub fn push(&mut self, bytes: &Bytes) -> Result<()> {
        if self.outcome.is_some() {
            return Err(BufferError::Ended);
        }
        if !self.has_room() {
            return Err(BufferError::Full);
        }
        self.tail.extend_from_slice(bytes);
        self.length += bytes.len() as u64;
        if self.tail.len() >= SEGMENT_BYTES {
            let segment = self.tail.split().freeze();
            self.segments.push_back(segment);
        }
        Ok(())
    }

    /// Ends the answer. Later outcomes are ignored.
    pub fn end(&mut self, outcome: AnswerOutcome) {
        self.outcome.get_or_insert(outcome);
    }

    /// Records that a reader has all bytes before `offset`.
    pub fn confirm(&mut self, offset: u64) {
        self.confirmed = self.confirmed.max(offset.min(self.length));
    }

    /// Returns `true` if the target may send more.
    pub fn has_room(&self) -> bool {
        self.length - self.confirmed < MAX_UNCONFIRMED_BYTES
    }

    /// Drops confirmed segments from the front until at most `limit` bytes remain, and returns the number of bytes
    /// dropped.
    pub fn trim(&mut self, limit: usize) -> usize {
        let before = self.stored_bytes();
        while self.stored_bytes() > limit {
            let Some(segment) = self.segments.front() else {
                break;
            };
            let next = self.first_offset + segment.len() as u64;
            if next > self.confirmed {
                break;
            }
            self.first_offset = next;
            self.segments.pop_front();
        }
        before - self.stored_bytes()
    }

    /// Drops all bytes and returns their number.
    pub fn discard(&mut self) -> usize {
        let bytes = self.stored_bytes();
        self.segments = VecDeque::new();
        self.tail = BytesMut::new();
        self.first_offset = self.length;
        bytes
    }

    /// Returns up to `limit` bytes starting at `offset`, or the outcome if the answer ended there.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError::Dropped`] or [`BufferError::Beyond`] if the offset is outside the buffer.
    pub fn read(&self, offset: u64, limit: usize) -> Result<BufferRead<'_>> {
        if let Some(outcome @ AnswerOutcome::Failed(_)) = &self.outcome {
            return Ok(BufferRead::Ended(outcome));
        }
        if offset < self.first_offset {
            return Err(BufferError::Dropped);
        }
        if offset > self.length {
            return Err(BufferError::Beyond);
        }
        if offset == self.length {
            return Ok(self
                .outcome
                .as_ref()
                .map_or(BufferRead::Pending, BufferRead::Ended));
        }
        Ok(BufferRead::Chunk(self.slice(offset, limit)))
    }

    fn slice(&self, offset: u64, limit: usize) -> Bytes {
        let mut skip = (offset - self.first_offset) as usize;
        for segment in &self.segments {
            if skip < segment.len() {
                let end = segment.len().min(skip.saturating_add(limit));
                return segment.slice(skip..end);
            }
            skip -= segment.len();
        }
        let end = self.tail.len().min(skip.saturating_add(limit));
        Bytes::copy_from_slice(&self.tail[skip..end])
    }

    /// Returns the status and header fields.
    pub fn head(&self) -> Option<&AnswerHead> {
        self.head.as_ref()
    }

    /// Returns the outcome, if the answer has ended.
    pub fn outcome(&self) -> Option<&AnswerOutcome> {
        self.outcome.as_ref()
    }

    /// Returns the number of bytes that the target has sent so far.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the number of stored bytes.
    pub fn stored_bytes(&self) -> usize {
        (self.length - self.first_offset) as usize
    }

    /// Returns `true` if no byte was dropped.
    pub fn is_whole(&self) -> bool {
        self.first_offset == 0
    }
}
