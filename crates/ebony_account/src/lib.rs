//! Token budgets of programs, enforced over all entries by grants that the store records.
//!
//! An entry forwards a token to a caller only if it has cover for it. Cover comes from grants, which are recorded in
//! the program's row in the store before they are used, so that all entries together stay within the budget.
//! [`AccountRecord`] is that row; its count of granted tokens only grows, by conditional writes. [`AccountBook`] is the
//! state of one entry: it decides how much cover to request, and whether the next event of a stream may be forwarded. A
//! grant held by a process that died counts as spent.
//!
//! Each program has one entry as its owner. The owner requests blocks of tokens from the store, lends cover to turns at
//! other entries, and takes back what they did not use. While no entry reaches the store, only the owner forwards
//! tokens without a grant, within the [`ProgramAllowance`], and records them as a debt later.
//!
//! The crate does no I/O and reads no clock.

pub mod allowance;
pub mod book;
pub mod options;
pub mod program_account;
pub mod record;
pub mod turn;

/// Re-exports the book, the record and their messages.
pub mod prelude {
    pub use crate::allowance::ProgramAllowance;
    pub use crate::book::AccountBook;
    pub use crate::options::AccountOptions;
    pub use crate::program_account::{CoverOutcome, ReserveOutcome, SpendOutcome};
    pub use crate::record::{AccountRecord, RecordError};
    pub use crate::turn::{
        AccountKey, CoverRequest, CoverRequester, LentCover, TurnCover, TurnOpening, TurnRequest,
    };
}

pub use prelude::*;
