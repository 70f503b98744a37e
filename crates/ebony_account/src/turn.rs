//! Turns that ask for cover, and what entries ask the store and each other for.

use ebony_types::ProgramName;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// The account of a program.
    pub struct AccountKey;
}

/// A turn that asks to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnRequest {
    /// The program.
    pub program: ProgramName,
    /// Tokens that all turns of the program may generate.
    pub budget: u64,
    /// The most tokens that this turn generates.
    pub most_tokens: u64,
    /// Tokens that one event stands for.
    pub event_tokens: u64,
    /// Whether the turn's prompt shows earlier turns of the program.
    pub has_history: bool,
}

/// Whether a turn may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOpening {
    /// The turn has an account. [`crate::AccountBook::close_turn`] ends it.
    Open(TurnCover),
    /// All accounts are in use.
    Full,
}

/// The cover of one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnCover {
    pub(crate) account: AccountKey,
    pub(crate) most_tokens: u64,
    pub(crate) event_tokens: u64,
    /// Tokens that are set aside for the turn.
    pub(crate) reserved: u64,
    pub(crate) is_waiting: bool,
}

impl TurnCover {
    /// Returns the account.
    pub fn account(&self) -> AccountKey {
        self.account
    }
}

/// Cover that the owner of a program lends to another entry for one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LentCover {
    /// The tokens that the other entry may hand on.
    pub tokens: u64,
    /// The tokens that the owner has left for other turns, as far as it knows.
    pub left: Option<u64>,
}

/// Who asks the store for cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverAsker {
    /// An entry that does not own the program. It asks for what its turns need.
    Borrower,
    /// The owner. It asks for a block, from which it covers turns of all entries.
    Owner,
    /// The owner while the store does not answer it. It asks for as much as it may hand on without an answer.
    OwnerWithoutStore,
}

impl CoverAsker {
    /// Returns by what the rest of a budget is divided for the most that is granted beyond what turns wait for. The rest stays
    /// for entries that act as owners later.
    pub(crate) fn spare_divisor(self) -> u64 {
        match self {
            Self::OwnerWithoutStore => 2,
            Self::Borrower | Self::Owner => 4,
        }
    }
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CoverWant {
    /// The program.
    pub program: ProgramName,
    /// The budget, for a program that the store does not know.
    pub budget: u64,
    /// The tokens to ask for.
    pub tokens: u64,
    /// The tokens that turns wait for. The owner of a program asks for more.
    pub needed: u64,
    /// Beyond them, at most what is left divided by this is granted.
    pub spare_divisor: u64,
    /// Tokens that were handed on without a grant.
    pub debt: u64,
    /// Tokens that earlier turns may have generated, for a program that the store does not know.
    pub unseen: u64,
}

impl CoverWant {
    /// Returns a request for only what turns wait for.
    pub fn needed_alone(&self) -> Self {
        Self {
            tokens: self.needed,
            debt: 0,
            ..self.clone()
        }
    }
}
