//! Credit-based flow control of answers from side processes.

use ebony_types::limits::ANSWER_WINDOW_BYTES;

/// The flow-control credit of one answer.
///
/// The side process opens a window at the offset where an answer begins or resumes. The account lets the side process
/// send at most one window beyond what the reader has consumed. After a resumption, which opens a window at the first
/// missing byte, the limit is two windows, which is the size of the pipe's buffer.
#[derive(Clone, Copy, Debug)]
pub(super) struct CreditAccount {
    consumed: u64,
    allowed: u64,
}

impl CreditAccount {
    /// Opens the account of an answer that starts at `offset`.
    pub(super) fn open(offset: u64) -> Self {
        Self {
            consumed: offset,
            allowed: offset + u64::from(ANSWER_WINDOW_BYTES),
        }
    }

    /// Records that the reader has consumed bytes.
    pub(super) fn consume(&mut self, bytes: u32) {
        self.consumed += u64::from(bytes);
    }

    /// Treats all bytes up to `received` as consumed, because the reader needs no more.
    pub(super) fn consume_all(&mut self, received: u64) {
        self.consumed = self.consumed.max(received);
    }

    /// Returns the number of bytes to grant now, if any, and counts them as granted.
    pub(super) fn take_grant(&mut self) -> Option<u32> {
        let target = self.consumed + u64::from(ANSWER_WINDOW_BYTES);
        let grant = u32::try_from(target.checked_sub(self.allowed)?).ok()?;
        self.allowed += u64::from(grant);
        (grant > 0).then_some(grant)
    }

    /// Returns `true` if the reader has room for the window that a resumption at `offset` opens.
    pub(super) fn may_resume(&self, offset: u64) -> bool {
        offset.saturating_sub(self.consumed) <= u64::from(ANSWER_WINDOW_BYTES)
    }

    /// Records that the answer resumes at `offset`.
    pub(super) fn resume(&mut self, offset: u64) {
        self.allowed = offset + u64::from(ANSWER_WINDOW_BYTES);
    }
}
