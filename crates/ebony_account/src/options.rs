//! Options of an account book.

use std::time::Duration;

/// Options of an [`crate::AccountBook`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountOptions {
    /// Below this many turns of what is left, a turn is covered before it is sent.
    pub scarce_turns: u64,
    /// The owner of a program asks for the budget divided by this at once, if a quarter of what is left allows it. Typical
    /// programs use 15% of their budget, so that most need one request and go on while the store does not answer.
    pub block_divisor: u64,
    /// A turn without full cover starts on an allowance of at least this many events, about the length of a turn.
    pub allowance_events: u64,
    /// How long an entry takes the store's word that nothing is left. Until then turns are refused without a request.
    pub recheck: Duration,
    /// The most accounts that an entry keeps. At 330,000 open programs over 390 nodes an entry holds about 850.
    pub max_accounts: usize,
    /// How long an account without a turn is kept: the time in which a stopped program may come back, and a half. An entry
    /// that was started again cannot tell first turns from repeated ones for as long.
    pub retention: Duration,
}

impl Default for AccountOptions {
    fn default() -> Self {
        Self {
            scarce_turns: 4,
            block_divisor: 4,
            allowance_events: 16,
            recheck: Duration::from_millis(500),
            max_accounts: 16_384,
            retention: Duration::from_secs(90),
        }
    }
}
