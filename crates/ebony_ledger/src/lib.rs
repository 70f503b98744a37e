//! The side process's ledger: at-most-once execution, fencing and crash tracking.
//!
//! [`CallLedger`] is the state machine of one side process. A shell feeds it the orders of entries and the events of
//! targets, and carries out its decisions. The crate does no I/O and uses no clock or randomness of its own.
//!
//! # Contract with entries
//!
//! The ledger is kept in memory. A side process that restarts has a new incarnation and an empty ledger, so:
//!
//! - An entry that sees a new incarnation treats every call that it dispatched to the old one and that got no final
//!   frame as [`RunVerdict::MayHaveRun`](ebony_types::RunVerdict::MayHaveRun). It never dispatches an idempotency key
//!   with an open intent again.
//! - A ledger that was opened recently answers [`EntryFrame::Resume`](ebony_wire::EntryFrame::Resume) of an unknown
//!   call with `may_have_run`, because the process's previous incarnation may have run the call.
//! - An entry that dispatches a call without a key again combines the verdicts of all attempts: a later `not_run` does
//!   not override an earlier `may_have_run`.
//! - The highest fencing tokens are lost. A late order of a stale owner may therefore run once after a restart. The new
//!   owner reports the intent of its key as `may_have_run` and does not dispatch it, so the key still runs only once.
//!
//! # Contract with the shell
//!
//! - Once an entry has opened a newer link, the shell drops frames of its older links without reading them. Otherwise
//!   the order for a call could arrive after the call was reported as unknown and `not_run`.
//! - [`EntryFrame::Credit`](ebony_wire::EntryFrame::Credit) grants exactly the bytes that the entry has taken over,
//!   which the side process may then drop.

pub mod answer_buffer;
pub mod answer_cursor;
pub mod caller_credit;
pub mod crash_tracker;
pub mod fencing;
pub mod ledger;
pub mod limits;
pub mod quarantine;
pub mod tombstone;
pub mod unanswered;

/// Re-exports the ledger, its parts and its decisions.
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
    pub use crate::unanswered::{CallLoss, LifeStanding, LifeVerdict, TargetLife, UnansweredTable};
}

pub use prelude::*;
