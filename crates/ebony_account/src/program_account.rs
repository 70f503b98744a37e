//! The account of one program at one entry.

use ebony_types::{ClockTime, ProgramName};

use crate::allowance::{repeated_tokens, unseen_tokens};

/// What became of a request for cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverOutcome {
    /// The store recorded the request.
    Granted {
        /// The tokens of the grant; 0 if the budget is spent.
        tokens: u64,
        /// All tokens of the program that the store has recorded, this grant among them. Debts may bring them above the
        /// budget.
        recorded: u64,
    },
    /// The store did not answer, so that the grant may or may not be recorded. It counts as recorded and lost.
    Unavailable,
}

/// Whether a turn is covered to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecureOutcome {
    /// Every event of the turn may be handed on.
    Secured,
    /// The cover waits for a grant.
    Waiting,
    /// The budget does not hold the turn.
    Exhausted,
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

/// What is known of the turns of a program before the one that opens its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgramOrigin {
    /// There were none.
    First,
    /// The turn is a first one, but this entry was started too lately to know of an earlier attempt at it.
    MaybeRepeated,
    /// There were some, at another entry or before a restart of this one.
    Later,
}

impl ProgramOrigin {
    /// Returns the tokens that earlier turns may have generated without a record, beyond the one turn by which a budget may
    /// be exceeded.
    fn unseen_tokens(self, budget: u64) -> u64 {
        match self {
            Self::First | Self::Later => unseen_tokens(budget),
            Self::MaybeRepeated => repeated_tokens(budget),
        }
    }
}

/// Tokens of one program that this entry may hand on, and has handed on.
#[derive(Clone, Debug)]
pub(crate) struct ProgramAccount {
    pub(crate) program: ProgramName,
    pub(crate) budget: u64,
    /// Tokens that this entry may hand on: its grants and its allowance.
    pub(crate) covered: u64,
    /// Tokens that were handed on.
    pub(crate) spent: u64,
    /// Tokens that are set aside for turns under way.
    pub(crate) reserved: u64,
    /// The part of the cover that no grant stands for yet.
    pub(crate) debt: u64,
    /// Tokens that turns wait for.
    pub(crate) wanted: u64,
    /// Whether this entry saw the program's first turn.
    pub(crate) is_witnessed: bool,
    /// Whether a turn came whose prompt shows earlier ones, so that the first turn was answered whole.
    pub(crate) has_moved_on: bool,
    /// Tokens that earlier turns may have generated, if the store does not know the program and it was not witnessed.
    pub(crate) unseen: u64,
    /// The most tokens of a turn, by the latest one.
    pub(crate) turn_tokens: u64,
    /// Turns under way.
    pub(crate) open_turns: u32,
    /// All tokens of the program that the store has recorded, as far as known.
    pub(crate) recorded: Option<u64>,
    /// The fewest tokens, cover and debt, of any request so far. A request without an answer may have been recorded.
    pub(crate) least_asked: Option<u64>,
    /// What the owner of the program had left for other turns when it last lent cover to this entry.
    pub(crate) lent_left: Option<u64>,
    /// Whether the owner of the program said that the budget is spent.
    pub(crate) is_told_spent: bool,
    /// Whether a request to the store is under way.
    pub(crate) is_asking: bool,
    pub(crate) last_used: ClockTime,
}

impl ProgramAccount {
    pub(crate) fn open(program: ProgramName, budget: u64, origin: ProgramOrigin, now: ClockTime) -> Self {
        Self {
            program,
            budget,
            is_witnessed: origin == ProgramOrigin::First,
            has_moved_on: false,
            unseen: origin.unseen_tokens(budget),
            covered: 0,
            spent: 0,
            reserved: 0,
            debt: 0,
            wanted: 0,
            turn_tokens: 0,
            open_turns: 0,
            recorded: None,
            least_asked: None,
            lent_left: None,
            is_told_spent: false,
            is_asking: false,
            last_used: now,
        }
    }

    /// Returns the covered tokens that were neither handed on nor set aside.
    pub(crate) fn free(&self) -> u64 {
        self.covered.saturating_sub(self.spent + self.reserved)
    }

    /// Returns what the store has left for grants, as far as known.
    pub(crate) fn left(&self) -> Option<u64> {
        self.recorded.map(|recorded| self.budget.saturating_sub(recorded))
    }

    /// Returns whether dropping the account would lose a turn or a debt.
    pub(crate) fn is_in_use(&self) -> bool {
        self.open_turns > 0 || self.debt > 0 || self.is_asking
    }

    /// Returns whether the store has nothing left to grant and no request is under way that could bring some back.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.left() == Some(0) && !self.is_asking
    }
}
