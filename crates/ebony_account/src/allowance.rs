//! What the owner of a program may hand on while the store does not answer.

use crate::program_account::ProgramAccount;

/// How much of a program's budget needs no record for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramAllowance {
    /// Another entry may reach the store and record grants up to the budget. The rule leaves one turn beyond it.
    OneTurn,
    /// No entry reaches the store, so that no grant is recorded meanwhile.
    Unrecorded,
}

impl ProgramAllowance {
    /// Returns the tokens that may be handed on without a grant.
    ///
    /// What is handed on without a grant is lost if the owner dies. A program whose beginning the owner saw has no row
    /// then, and [`unseen_tokens`] are recorded when a later turn meets no row, so that half of the budget is safe. If a
    /// request had no answer there may be a row after all, and the tokens that it asked for are safe, because the row says
    /// that they were granted. The row of any other program grants its whole budget, and one turn is all that may come on top. An owner that did not see
    /// the beginning does not know whether an earlier owner used that turn, and gets nothing. A first turn may be sent again
    /// after the owner died, and [`repeated_tokens`] are recorded then; the one turn more may come on top of them.
    pub(crate) fn tokens(self, account: &ProgramAccount, turn_tokens: u64) -> u64 {
        match (self, account.recorded) {
            _ if !account.is_witnessed => 0,
            (Self::Unrecorded, None) => {
                let asked = account.least_asked.unwrap_or(u64::MAX);
                let unseen = match account.has_moved_on {
                    true => unseen_tokens(account.budget),
                    false => repeated_tokens(account.budget) + turn_tokens,
                };
                unseen.min(asked.max(turn_tokens))
            }
            (Self::OneTurn, None) => turn_tokens,
            // Debts that were recorded above the budget used up a part of the one turn.
            (_, Some(recorded)) => turn_tokens.min((account.budget + turn_tokens).saturating_sub(recorded)),
        }
    }
}

/// Returns the tokens that earlier turns of a program may have generated that has no row in the store.
pub(crate) fn unseen_tokens(budget: u64) -> u64 {
    budget / 2
}

/// Returns the tokens beyond one turn that attempts at a first turn may have generated, if the store does not know the
/// program. Programs of today use up to two thirds of their budgets with the most of their last turn, and a quarter may be
/// lost with an owner that held it.
pub(crate) fn repeated_tokens(budget: u64) -> u64 {
    budget / 6
}
