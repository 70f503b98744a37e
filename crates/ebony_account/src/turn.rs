//! Turns, their cover, and the requests for cover that entries send to the store and to each other.

use ebony_types::ProgramName;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// The account of a program at one entry.
    pub struct AccountKey;
}

/// A request to start a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnRequest {
    /// The program.
    pub program: ProgramName,
    /// The tokens that all turns of the program together may generate.
    pub budget: u64,
    /// The most tokens that this turn may generate.
    pub most_tokens: u64,
    /// The number of tokens that one event represents.
    pub event_tokens: u64,
    /// Whether the turn's prompt contains earlier turns of the program.
    pub has_history: bool,
}

/// Whether a turn may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOpening {
    /// The turn was opened; [`crate::AccountBook::close_turn`] closes it.
    Open(TurnCover),
    /// The turn was refused, because all accounts are in use.
    Full,
}

/// The cover of one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnCover {
    pub(crate) account: AccountKey,
    pub(crate) most_tokens: u64,
    pub(crate) event_tokens: u64,
    /// Tokens reserved for the turn.
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
    /// The tokens that the other entry may forward.
    pub tokens: u64,
    /// The tokens that are left for other turns, if the owner knows.
    pub left: Option<u64>,
}

/// The role in which an entry requests cover from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverRequester {
    /// An entry that does not own the program. It requests only what its turns need.
    Borrower,
    /// The owner. It requests a block, from which it covers the turns of all entries.
    Owner,
    /// The owner while the store does not answer. It requests as much as it may forward before an answer.
    OwnerWithoutStore,
}

impl CoverRequester {
    /// Returns the divisor of the remaining budget that limits grants beyond the tokens that turns wait for. What is
    /// left stays available to entries that act as owners later.
    pub(crate) fn spare_divisor(self) -> u64 {
        match self {
            Self::OwnerWithoutStore => 2,
            Self::Borrower | Self::Owner => 4,
        }
    }
}

/// A request to the store for cover.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CoverRequest {
    /// The program.
    pub program: ProgramName,
    /// The budget, which is recorded if the program has no row yet.
    pub budget: u64,
    /// The tokens requested.
    pub tokens: u64,
    /// The part of `tokens` that turns wait for. The owner of a program requests more than that.
    pub needed: u64,
    /// If more than `needed` is requested, the grant is limited to `needed` or the remaining budget divided by this,
    /// whichever is larger.
    pub spare_divisor: u64,
    /// Tokens that were forwarded without a grant, to be recorded.
    pub debt: u64,
    /// Tokens that earlier turns may have generated without a record. They are recorded if the program has no row yet.
    pub unseen: u64,
}

impl CoverRequest {
    /// Returns a request for only the tokens that turns wait for, without the debt.
    pub fn needed_alone(&self) -> Self {
        Self {
            tokens: self.needed,
            debt: 0,
            ..self.clone()
        }
    }
}
