//! The side process's ledger: at-most-once execution, fencing and crash tracking.
//!
//! [`CallLedger`] is the state of one side process. A shell passes it the orders of entries and what happens on the
//! targets, and carries out its decisions. The crate has no I/O, no clock and no randomness.
//!
//! # Contract with entries
//!
//! The ledger lives in memory. A side process that restarts has a new incarnation and an empty ledger, so:
//!
//! - An entry that sees a new incarnation treats every call that it dispatched to the old one, and that had no final
//!   frame, as [`RunVerdict::MayHaveRun`](ebony_types::RunVerdict::MayHaveRun). It never dispatches an idempotency
//!   key with an open intent again.
//! - A young ledger answers [`EntryFrame::Resume`](ebony_wire::EntryFrame::Resume) of an unknown call with
//!   `may_have_run`, because the call may belong to the process's former life.
//! - An entry that dispatches a call without a key again combines the verdicts of its attempts: `not_run` from a later
//!   one does not take back an earlier `may_have_run`.
//! - The highest fencing tokens are learned anew. A stale owner's late order may run once after a restart; its
//!   successor reports the key's intent as `may_have_run` and dispatches it nowhere, so the key still runs once.
//!
//! # Contract with the shell
//!
//! - Once an entry has opened a newer link, frames of its older links are dropped unread. A call that was answered
//!   with `not_run` because it is unknown could otherwise arrive late.
//! - [`EntryFrame::Credit`](ebony_wire::EntryFrame::Credit) grants exactly the bytes that the entry has taken over;
//!   the side process may drop them.

pub mod answer_buffer;
pub mod answer_cursor;
pub mod caller_credit;
pub mod crash_tracker;
pub mod fencing;
pub mod ledger;
pub mod limits;
pub mod quarantine;
pub mod tombstone;

/// Re-exports the ledger and its decisions.
pub mod prelude {
    pub use crate::answer_buffer::{AnswerBuffer, AnswerOutcome, BufferError, BufferRead};
    pub use crate::answer_cursor::AnswerCursor;
    pub use crate::caller_credit::{CreditWindow, INITIAL_CREDIT_BYTES};
    pub use crate::crash_tracker::{
        CrashPolicy, CrashReport, CrashSite, CrashStanding, CrashTracker, SiteReport,
    };
    pub use crate::fencing::{FenceError, TokenFence};
    pub use crate::ledger::{
        CallLedger, CallState, CancelDecision, CrashOutcome, LedgerDecision, LedgerError, ResumeDecision,
        StartDecision,
    };
    pub use crate::limits::LedgerLimits;
}

pub use prelude::*;
