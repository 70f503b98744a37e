//! Options of an account book.

use std::time::Duration;

/// Options of an [`crate::AccountBook`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountOptions {
    /// A turn is sent only once it is covered if the program's remaining budget is below this many turns of its size.
    pub scarce_turns: u64,
    /// The owner of a program requests the budget divided by this at a time, but at most a quarter of what is left
    /// unless turns need more. Typical programs use 15% of their budget, so that most need one request and continue
    /// while the store does not answer.
    pub block_divisor: u64,
    /// The least cover, in events, with which a turn starts on an allowance: about the length of a typical turn.
    pub min_allowance_events: u64,
    /// How long an entry relies on a reply that the budget is spent, and refuses turns without another request.
    pub recheck_interval: Duration,
    /// The most accounts that an entry keeps. With 330,000 open programs on 390 nodes, an entry has about 850.
    pub max_accounts: usize,
    /// How long an account without a turn is kept: one and a half times as long as a stopped program may be resumed. A
    /// restarted entry cannot tell first turns from repeated ones for this long.
    pub retention: Duration,
}

impl Default for AccountOptions {
    fn default() -> Self {
        Self {
            scarce_turns: 4,
            block_divisor: 4,
            min_allowance_events: 16,
            recheck_interval: Duration::from_millis(500),
            max_accounts: 16_384,
            retention: Duration::from_secs(90),
        }
    }
}
