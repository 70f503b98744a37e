//! Token accounts of programs: what an entry may hand on, and what it has to ask the store for.
//!
//! A program's budget holds over all entries because every token that an entry hands on is covered by a grant that
//! the program's row in the store records first. [`AccountRecord`] is that row; it only ever grows, by conditional
//! writes. [`AccountBook`] is the part of one entry: it says how much cover to ask for, and whether the next event of
//! a stream may be handed on. A grant that a dead process held counts as spent.
//!
//! One entry owns each program. It asks the store for blocks, covers the turns of the other entries from them, and takes
//! back what they did not need. While no entry reaches the store, the owner alone hands on what is not recorded, within
//! the [`ProgramAllowance`], and records it as a debt afterwards.
//!
//! The crate does no I/O and reads no clock.

pub mod allowance;
pub mod book;
pub mod options;
pub mod program_account;
pub mod record;
pub mod turn;

/// Re-exports the book and the record.
pub mod prelude {
    pub use crate::allowance::ProgramAllowance;
    pub use crate::book::AccountBook;
    pub use crate::options::AccountOptions;
    pub use crate::program_account::{CoverOutcome, SecureOutcome, SpendOutcome};
    pub use crate::record::{AccountRecord, RecordError};
    pub use crate::turn::{
        AccountKey, CoverAsker, CoverWant, LentCover, TurnCover, TurnOpening, TurnRequest,
    };
}

pub use prelude::*;
