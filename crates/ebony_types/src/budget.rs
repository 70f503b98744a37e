//! Budgets of programs and the amounts spent from them.

use serde::{Deserialize, Serialize};

/// The limits of one program, including its child programs.
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
    /// Number of tokens in prompts and answers together.
    pub tokens: u64,
    /// Number of model and service calls.
    pub calls: u32,
    /// Time from the first call to the last, in seconds.
    pub seconds: u32,
    /// Number of levels of child programs below this one.
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

    /// Returns the budget of a child program, which is what remains after `used`, with one level less. Returns `None`
    /// if no level is left.
    pub fn for_child(&self, used: BudgetUse) -> Option<Self> {
        Some(Self {
            tokens: self.tokens.saturating_sub(used.tokens),
            calls: self.calls.saturating_sub(used.calls),
            seconds: self.seconds,
            depth: self.depth.checked_sub(1)?,
        })
    }
}

/// Amounts that are spent or reserved from a [`ProgramBudget`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetUse {
    /// Number of tokens in prompts and answers together.
    pub tokens: u64,
    /// Number of model and service calls.
    pub calls: u32,
}

impl BudgetUse {
    /// Returns the sum of two amounts, saturating at the numeric bounds.
    pub fn plus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_add(other.tokens),
            calls: self.calls.saturating_add(other.calls),
        }
    }

    /// Returns this amount minus `other`, saturating at zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
        }
    }
}
