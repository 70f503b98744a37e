//! The account of one program at one entry.

use ebony_types::{ClockTime, ProgramName};

/// What became of a request for cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverOutcome {
    /// The store recorded a grant.
    Granted {
        /// The tokens of the grant; 0 if the budget is spent.
        tokens: u64,
        /// What is left of the budget for further grants.
        left: u64,
    },
    /// The store did not answer, so that the grant may or may not be recorded. It counts as recorded and lost.
    Unavailable,
}

/// Whether an event may be handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendOutcome {
    /// The tokens are covered and now count as spent.
    Spent,
    /// The tokens wait for a grant.
    Uncovered,
    /// The budget is spent: no grant will come.
    Exhausted,
}

/// Tokens of one program that this entry may hand on, and has handed on.
#[derive(Clone, Debug)]
pub(crate) struct ProgramAccount {
    pub(crate) program: ProgramName,
    pub(crate) budget: u64,
    /// Tokens that the store granted to this entry.
    pub(crate) covered: u64,
    /// Tokens that were handed on.
    pub(crate) spent: u64,
    /// Tokens that one event stands for.
    pub(crate) event_tokens: u64,
    /// Turns under way.
    pub(crate) open_turns: u32,
    /// What the store has left for grants, as far as known.
    pub(crate) left: Option<u64>,
    /// Whether a request for cover is under way.
    pub(crate) is_asking: bool,
    pub(crate) last_used: ClockTime,
}

impl ProgramAccount {
    pub(crate) fn open(program: ProgramName, budget: u64, event_tokens: u64, now: ClockTime) -> Self {
        Self {
            program,
            budget,
            covered: 0,
            spent: 0,
            event_tokens,
            open_turns: 0,
            left: None,
            is_asking: false,
            last_used: now,
        }
    }

    /// Returns the covered tokens that were not handed on.
    pub(crate) fn free(&self) -> u64 {
        self.covered.saturating_sub(self.spent)
    }

    /// Returns whether the store has nothing left to grant.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.left == Some(0)
    }

    /// Returns whether a turn of up to `most` tokens has to be refused.
    ///
    /// An entry that was granted the whole budget knows what is left of it. Otherwise another entry may hold an unspent
    /// grant, and the turn starts as long as one event can be handed on.
    pub(crate) fn refuses(&self, most: u64, event_tokens: u64) -> bool {
        let needed = if self.covered >= self.budget {
            most
        } else {
            event_tokens
        };
        self.is_exhausted() && self.free() < needed.max(1)
    }
}
