//! Credit-based flow control for sending one answer to one entry.

/// The initial credit of a new or resumed answer, in bytes.
///
/// Entries and side processes must use the same value, because both ends keep track of the window.
pub const INITIAL_CREDIT_BYTES: u64 = ebony_types::limits::ANSWER_WINDOW_BYTES as u64;

/// The flow-control window of an answer.
///
/// It limits the bytes that are sent but not confirmed, however slowly the caller reads.
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
    /// Opens a window for an answer that is sent starting at byte `offset`.
    pub fn open(offset: u64) -> Self {
        Self {
            confirmed: offset,
            sent: offset,
        }
    }

    /// Applies a grant of credit for bytes that the entry has taken over. A grant beyond the bytes sent is capped to
    /// these.
    pub fn grant(&mut self, bytes: u32) {
        self.confirmed = self.confirmed.saturating_add(u64::from(bytes)).min(self.sent);
    }

    /// Uses up to `wanted` bytes of credit and returns the number of bytes used.
    pub fn take(&mut self, wanted: u64) -> u64 {
        let bytes = wanted.min(self.available());
        self.sent += bytes;
        bytes
    }

    /// Returns the number of bytes that may be sent.
    pub fn available(&self) -> u64 {
        INITIAL_CREDIT_BYTES - (self.sent - self.confirmed)
    }

    /// Returns the offset up to which the entry has taken over all bytes.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Returns the offset of the next byte to send.
    pub fn sent(&self) -> u64 {
        self.sent
    }
}
