//! Options of an account book.

use std::time::Duration;

/// Options of an [`crate::AccountBook`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountOptions {
    /// A grant is at least the budget divided by this. A program reaches up to nine entries and uses up to half of its
    /// budget, so that grants which dead or idle entries hold unspent must stay below the other half.
    pub grant_divisor: u64,
    /// A grant covers at least this many events of each open turn, about the length of a turn.
    pub grant_events: u64,
    /// Further cover is asked for when the open turns have less than this many events each, so that it arrives before
    /// it is needed: at 24 ms an event, the store has 190 ms.
    pub low_water_events: u64,
    /// The most accounts that an entry keeps. At 330,000 open programs over 390 nodes an entry holds about 850.
    pub max_accounts: usize,
    /// How long an account without a turn is kept.
    pub retention: Duration,
}

impl Default for AccountOptions {
    fn default() -> Self {
        Self {
            grant_divisor: 16,
            grant_events: 16,
            low_water_events: 8,
            max_accounts: 16_384,
            retention: Duration::from_secs(90),
        }
    }
}
