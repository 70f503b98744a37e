//! Credit-based flow control of one answer towards one entry.

/// The credit that a call starts with, and that a resumed answer starts with again, in bytes.
///
/// Entries and side processes share the constant, because both ends count the window.
pub const INITIAL_CREDIT_BYTES: u64 = ebony_types::limits::ANSWER_WINDOW_BYTES as u64;

/// How far an answer may be sent.
///
/// The unsent and unconfirmed part of an answer is bounded by the window, however slow the caller reads.
///
/// ```
/// use ebony_ledger::{CreditWindow, INITIAL_CREDIT_BYTES};
///
/// let mut window = CreditWindow::open(0);
/// assert_eq!(window.take(u64::MAX), INITIAL_CREDIT_BYTES);
/// assert_eq!(window.take(1), 0);
/// window.grant(10);
/// assert_eq!(window.confirmed(), 10);
/// assert_eq!(window.available(), 10);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditWindow {
    confirmed: u64,
    sent: u64,
}

impl CreditWindow {
    /// Opens a window for an answer that is sent from byte `offset` on.
    pub fn open(offset: u64) -> Self {
        Self {
            confirmed: offset,
            sent: offset,
        }
    }

    /// Takes a grant of the bytes that the entry has taken over. A grant beyond what was sent counts up to there.
    pub fn grant(&mut self, bytes: u32) {
        self.confirmed = self.confirmed.saturating_add(u64::from(bytes)).min(self.sent);
    }

    /// Takes up to `wanted` bytes of credit and returns the bytes taken.
    pub fn take(&mut self, wanted: u64) -> u64 {
        let bytes = wanted.min(self.available());
        self.sent += bytes;
        bytes
    }

    /// Returns the bytes that may be sent.
    pub fn available(&self) -> u64 {
        INITIAL_CREDIT_BYTES - (self.sent - self.confirmed)
    }

    /// Returns the offset below which the entry has taken over all bytes.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Returns the offset of the first byte that was not sent.
    pub fn sent(&self) -> u64 {
        self.sent
    }
}
