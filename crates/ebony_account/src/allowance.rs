//! The tokens that the owner of a program may forward while the store does not answer.

use crate::program_account::ProgramAccount;

/// The rule for tokens that may be forwarded without a recorded grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramAllowance {
    /// Other entries may still reach the store and record grants up to the whole budget, so that only the one turn by
    /// which a budget may be exceeded is available.
    OneTurn,
    /// No entry reaches the store, so that no grant can be recorded in the meantime.
    Unrecorded,
}

impl ProgramAllowance {
    /// Returns the tokens that may be forwarded without a grant.
    ///
    /// The debt for these tokens is lost if the owner dies, so each case relies on what is recorded then:
    ///
    /// - The owner saw the first turn, and the program has no row: if the owner dies, the entry that gets a later turn
    ///   and finds no row records [`unseen_tokens`], which is half of the budget.
    /// - As before, but only the first turn came: callers may send it again after the owner died. [`repeated_tokens`]
    ///   are recorded then, and the one turn by which a budget may be exceeded comes on top of them.
    /// - A request went unanswered: the row may exist after all. It then records the tokens requested as granted, so
    ///   the allowance is limited to the smallest request, or one turn if that is more.
    /// - The row exists: grants up to the whole budget may be recorded, and one turn is all that may be added.
    /// - The owner did not see the first turn: an earlier owner may have used that one turn, so there is no allowance.
    ///
    /// With [`Self::OneTurn`], a program without a known row gets one turn in the first three cases.
    pub(crate) fn tokens(self, account: &ProgramAccount, turn_tokens: u64) -> u64 {
        match (self, account.recorded) {
            _ if !account.knows_all_turns => 0,
            (Self::Unrecorded, None) => {
                let requested = account.least_requested.unwrap_or(u64::MAX);
                let unseen = match account.has_later_turn {
                    true => unseen_tokens(account.budget),
                    false => repeated_tokens(account.budget) + turn_tokens,
                };
                unseen.min(requested.max(turn_tokens))
            }
            (Self::OneTurn, None) => turn_tokens,
            // Recorded debts beyond the budget have used a part of the one turn.
            (_, Some(recorded)) => turn_tokens.min((account.budget + turn_tokens).saturating_sub(recorded)),
        }
    }
}

/// Returns the tokens that earlier turns of a program without a row in the store may have generated.
pub(crate) fn unseen_tokens(budget: u64) -> u64 {
    budget / 2
}

/// Returns the tokens beyond one turn that earlier attempts at a first turn may have generated, if the program has no
/// row.
///
/// The share is small because current programs need up to two thirds of their budgets, counting their last turn with
/// its most tokens, and a quarter may be lost with an owner that held it as a grant.
pub(crate) fn repeated_tokens(budget: u64) -> u64 {
    budget / 6
}
