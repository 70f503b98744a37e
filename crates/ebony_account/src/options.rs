//! Options of an account book.

use std::time::Duration;

/// Options of an [`crate::AccountBook`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountOptions {
    /// The first grant is the budget divided by this. Half a budget covers most programs with one write, and leaves
    /// the other half for entries that the program moves to.
    pub first_grant_divisor: u64,
    /// Each further grant is the budget divided by this.
    pub next_grant_divisor: u64,
    /// The most accounts that an entry keeps. At 330,000 open programs over 390 nodes an entry holds about 850.
    pub max_accounts: usize,
    /// How long an account without a turn is kept.
    pub retention: Duration,
}

impl Default for AccountOptions {
    fn default() -> Self {
        Self {
            first_grant_divisor: 2,
            next_grant_divisor: 4,
            max_accounts: 16_384,
            retention: Duration::from_secs(90),
        }
    }
}
