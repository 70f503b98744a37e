//! The read position of one entry in an answer.

use ebony_types::CallId;
use ebony_types::limits::MAX_CHUNK_BYTES;
use ebony_wire::AnswerFrame;

pub use crate::answer_buffer::Result;
use crate::answer_buffer::{AnswerBuffer, AnswerOutcome, BufferRead};
use crate::caller_credit::CreditWindow;

/// Converts a buffered answer into frames for one entry, within its credit.
#[derive(Clone, Debug)]
pub struct AnswerCursor {
    call: CallId,
    window: CreditWindow,
    needs_accepted: bool,
    needs_head: bool,
    is_ended: bool,
}

impl AnswerCursor {
    /// Creates the cursor of a newly admitted call. Its first frame confirms the admission, and the answer follows from
    /// byte 0.
    pub fn open(call: CallId) -> Self {
        Self {
            needs_accepted: true,
            ..Self::resume(call, 0)
        }
    }

    /// Creates the cursor of an answer that resumes at `offset` over a new link. It sends the head again.
    pub fn resume(call: CallId, offset: u64) -> Self {
        Self {
            call,
            window: CreditWindow::open(offset),
            needs_accepted: false,
            needs_head: true,
            is_ended: false,
        }
    }

    /// Applies a grant of credit and returns the offset up to which the entry has all bytes.
    pub fn grant(&mut self, bytes: u32) -> u64 {
        self.window.grant(bytes);
        self.window.confirmed()
    }

    /// Returns `true` if the final frame was returned.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns the next frame, or `None` until the target sends more or the entry grants credit.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError`](crate::BufferError) if the next byte was dropped from the buffer, or if the entry
    /// resumed beyond what the target has sent. The answer must then end as failed.
    pub fn next_frame(&mut self, buffer: &AnswerBuffer) -> Result<Option<AnswerFrame>> {
        if self.is_ended {
            return Ok(None);
        }
        let call = self.call;
        if std::mem::take(&mut self.needs_accepted) {
            return Ok(Some(AnswerFrame::Accepted { call }));
        }
        let offset = self.window.sent();
        let limit = MAX_CHUNK_BYTES.min(self.window.available() as usize);
        match buffer.read(offset, limit)? {
            BufferRead::Ended(AnswerOutcome::Failed(problem)) => {
                self.is_ended = true;
                let problem = problem.clone();
                Ok(Some(AnswerFrame::Failed { call, problem }))
            }
            _ if self.needs_head && buffer.head().is_some() => Ok(self.take_head(buffer)),
            BufferRead::Ended(AnswerOutcome::Complete(usage)) => {
                self.is_ended = true;
                let length = buffer.length();
                let usage = *usage;
                Ok(Some(AnswerFrame::End { call, length, usage }))
            }
            BufferRead::Chunk(bytes) if !bytes.is_empty() => {
                self.window.take(bytes.len() as u64);
                Ok(Some(AnswerFrame::Chunk { call, offset, bytes }))
            }
            BufferRead::Chunk(_) | BufferRead::Pending => Ok(None),
        }
    }

    fn take_head(&mut self, buffer: &AnswerBuffer) -> Option<AnswerFrame> {
        let head = buffer.head()?.clone();
        self.needs_head = false;
        Some(AnswerFrame::Head {
            call: self.call,
            head,
        })
    }
}
