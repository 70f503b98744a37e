//! What a program may spend and what it has spent.

use serde::{Deserialize, Serialize};

/// The limits of one program, its children included.
///
/// ```
/// use ebony_types::{BudgetUse, ProgramBudget};
///
/// let budget = ProgramBudget { calls: 2, ..ProgramBudget::default() };
/// let mut used = BudgetUse::default();
/// assert!(budget.allows(used.plus(BudgetUse { calls: 2, ..BudgetUse::default() })));
/// used.calls = 2;
/// assert!(!budget.allows(used.plus(BudgetUse { calls: 1, ..BudgetUse::default() })));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProgramBudget {
    /// Tokens of prompts and answers together.
    pub tokens: u64,
    /// Model and service calls.
    pub calls: u32,
    /// Seconds from the first call to the last.
    pub seconds: u32,
    /// Levels of child programs below this one.
    pub depth: u8,
}

impl Default for ProgramBudget {
    fn default() -> Self {
        Self {
            tokens: 600_000,
            calls: 200,
            seconds: 3_600,
            depth: 3,
        }
    }
}

impl ProgramBudget {
    /// Returns `true` if `used` is within the limits on tokens and calls.
    pub fn allows(&self, used: BudgetUse) -> bool {
        used.tokens <= self.tokens && used.calls <= self.calls
    }

    /// Returns the budget that remains for a child when `used` is spent, one level deeper; `None` at the last level.
    pub fn for_child(&self, used: BudgetUse) -> Option<Self> {
        Some(Self {
            tokens: self.tokens.saturating_sub(used.tokens),
            calls: self.calls.saturating_sub(used.calls),
            seconds: self.seconds,
            depth: self.depth.checked_sub(1)?,
        })
    }
}

/// Spent or reserved amounts of a [`ProgramBudget`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetUse {
    /// Tokens of prompts and answers together.
    pub tokens: u64,
    /// Model and service calls.
    pub calls: u32,
}

impl BudgetUse {
    /// Returns the sum of two amounts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_add(other.tokens),
            calls: self.calls.saturating_add(other.calls),
        }
    }

    /// Returns this amount less `other`, not below zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
        }
    }
}
