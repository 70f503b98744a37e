//! How many bytes of an answer a side process may send.

use ebony_types::limits::ANSWER_WINDOW_BYTES;

/// The credit of one answer.
///
/// The side process starts a window at the offset where an answer begins or resumes. The account keeps what the side
/// process may send within one window of what the reader has consumed; after a resumption, which opens a window at the
/// first missing byte, within two, which the pipe has room for.
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

    /// Notes that the reader has consumed bytes.
    pub(super) fn consume(&mut self, bytes: u32) {
        self.consumed += u64::from(bytes);
    }

    /// Notes that the reader needs nothing more: all bytes up to `received` count as consumed.
    pub(super) fn consume_all(&mut self, received: u64) {
        self.consumed = self.consumed.max(received);
    }

    /// Returns the bytes to grant now and counts them as granted.
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

    /// Notes that the answer resumes at `offset`.
    pub(super) fn resume(&mut self, offset: u64) {
        self.allowed = offset + u64::from(ANSWER_WINDOW_BYTES);
    }
}
