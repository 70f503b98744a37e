//! The account of one program at one entry.

use ebony_types::{ClockTime, ProgramName};

use crate::allowance::{repeated_tokens, unseen_tokens};

/// The result of a request to the store for cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverOutcome {
    /// The request was recorded.
    Granted {
        /// The tokens granted; 0 if the budget is spent.
        tokens: u64,
        /// All tokens recorded for the program, including this grant. Debts may raise them above the budget.
        recorded: u64,
    },
    /// The store did not answer. The grant may have been recorded; it is treated as recorded and lost.
    Unavailable,
}

/// Whether a turn has cover for its most tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// All events of the turn may be forwarded.
    Reserved,
    /// The turn has to wait for a grant.
    Waiting,
    /// The remaining budget is too small for the turn.
    Exhausted,
}

/// Whether an event may be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendOutcome {
    /// The tokens were covered and count as spent.
    Spent,
    /// The event has to wait for a grant.
    Uncovered,
    /// The budget is spent, and no grant is pending.
    Exhausted,
}

/// What an entry knows about earlier turns of a program when it opens the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgramOrigin {
    /// There was none.
    First,
    /// The turn is a first one, but may be a repeat of an attempt from before this entry was started.
    MaybeRepeated,
    /// There were earlier turns, at another entry or before a restart of this one.
    Later,
}

impl ProgramOrigin {
    /// Returns the tokens that earlier turns may have generated without a record, not counting the one turn by which a
    /// budget may be exceeded.
    fn unseen_tokens(self, budget: u64) -> u64 {
        match self {
            Self::First | Self::Later => unseen_tokens(budget),
            Self::MaybeRepeated => repeated_tokens(budget),
        }
    }
}

/// Tokens of one program that this entry may forward and has forwarded.
#[derive(Clone, Debug)]
pub(crate) struct ProgramAccount {
    pub(crate) program: ProgramName,
    pub(crate) budget: u64,
    /// Tokens that this entry may forward in total, from grants and allowances.
    pub(crate) covered: u64,
    /// Tokens that were forwarded, or lent to other entries.
    pub(crate) spent: u64,
    /// Tokens reserved for open turns.
    pub(crate) reserved: u64,
    /// The part of `covered` that is not recorded yet.
    pub(crate) debt: u64,
    /// The part of `debt` that a request contains which has not ended.
    pub(crate) requested_debt: u64,
    /// Tokens that waiting turns need.
    pub(crate) awaited: u64,
    /// Whether this entry saw the program's first turn, and no other entry has acted as the program's owner since.
    pub(crate) knows_all_turns: bool,
    /// Whether a later turn arrived, whose prompt shows that the first turn was answered completely.
    pub(crate) has_later_turn: bool,
    /// Tokens that earlier turns may have generated. They are recorded if the program has no row and this entry did not
    /// see its first turn.
    pub(crate) unseen: u64,
    /// The most tokens that the latest turn may generate.
    pub(crate) turn_tokens: u64,
    /// The number of open turns.
    pub(crate) open_turns: u32,
    /// All tokens that the store has recorded for the program, if known.
    pub(crate) recorded: Option<u64>,
    /// The smallest request so far, in tokens of cover and debt together. An unanswered request may have been recorded.
    pub(crate) least_requested: Option<u64>,
    /// The tokens that the owner had left for other turns when it last lent cover to this entry.
    pub(crate) owner_left: Option<u64>,
    /// Whether the owner of the program reported that the budget is spent.
    pub(crate) is_reported_spent: bool,
    /// Whether a request to the store is pending.
    pub(crate) has_pending_request: bool,
    pub(crate) last_used: ClockTime,
}

impl ProgramAccount {
    pub(crate) fn open(program: ProgramName, budget: u64, origin: ProgramOrigin, now: ClockTime) -> Self {
        Self {
            program,
            budget,
            knows_all_turns: origin == ProgramOrigin::First,
            has_later_turn: false,
            unseen: origin.unseen_tokens(budget),
            covered: 0,
            spent: 0,
            reserved: 0,
            debt: 0,
            requested_debt: 0,
            awaited: 0,
            turn_tokens: 0,
            open_turns: 0,
            recorded: None,
            least_requested: None,
            owner_left: None,
            is_reported_spent: false,
            has_pending_request: false,
            last_used: now,
        }
    }

    /// Returns the covered tokens that are neither spent nor reserved.
    pub(crate) fn free(&self) -> u64 {
        self.covered.saturating_sub(self.spent + self.reserved)
    }

    /// Returns the tokens that the store can still grant, if known.
    pub(crate) fn left(&self) -> Option<u64> {
        self.recorded.map(|recorded| self.budget.saturating_sub(recorded))
    }

    /// Returns whether dropping the account would lose a turn or a debt.
    pub(crate) fn is_in_use(&self) -> bool {
        self.open_turns > 0 || self.debt > 0 || self.has_pending_request
    }

    /// Returns whether the store has nothing left to grant and no pending request could still add cover.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.left() == Some(0) && !self.has_pending_request
    }
}
