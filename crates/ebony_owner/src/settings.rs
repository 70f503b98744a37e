//! Limits, timeouts and rates of an owner.

use std::time::Duration;

use crate::wall_time::WallTime;

/// How long a program is kept after its end, so that its history can be read.
pub const PROGRAM_RETENTION: Duration = Duration::from_secs(600);

/// How long the key of a one-call program is kept after the program's end.
pub const KEY_RETENTION: Duration = Duration::from_secs(86_400);

/// How long a target may take to confirm the end of a call whose caller was already answered. After that, the
/// program's next call may start.
pub const CANCEL_GRACE: Duration = Duration::from_secs(10);

/// How long calls may take to end when a busy shard moves only to balance load. A longer wait would delay the other
/// programs of the shard for a move that is not urgent.
pub const REBALANCE_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Shortest time between two attempts to move a busy shard to balance load.
pub const REBALANCE_INTERVAL: Duration = Duration::from_secs(60);

/// The shortest and the longest pause before a failed platform request is repeated.
pub const RETRY_BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// The longest time budget of a program. It limits how long stored bodies are referenced.
pub const MAX_PROGRAM_SECONDS: u32 = 86_400;

/// The most levels of child programs, whatever the budget allows. It limits the number of ancestors whose budgets a
/// call must check.
pub const MAX_DEPTH: u8 = 16;

/// The most children of one program that are open or not evicted yet.
pub const MAX_CHILDREN_PER_PROGRAM: usize = 64;

/// `retry_after` of a call that was refused for lack of capacity, in seconds.
pub const RETRY_AFTER_SECONDS: u32 = 2;

/// Settings of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Number of shards, which must be the same in the whole fleet.
    pub shard_count: u16,
    /// Journal rows per second that all owners together may write.
    pub writes_per_second: u32,
    /// Rows between two checkpoints.
    pub checkpoint_rows: u64,
    /// The most programs in memory. Ended programs are evicted to make room for new ones.
    pub max_programs: usize,
    /// The most calls in memory.
    pub max_calls: usize,
    /// The most idempotency keys. When all are in use, a call with a new key is refused: evicting a key could run its
    /// request twice.
    pub max_keys: usize,
    /// The most turns of one program. The longest expected program has 84.
    pub max_turns: u32,
    /// The most turns that wait for the journal.
    pub max_undurable_turns: usize,
    /// The most bytes of records and bodies that wait for the journal.
    pub max_undurable_bytes: usize,
    /// Wall-clock time at the start of the process's monotonic clock.
    pub wall_start: WallTime,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            shard_count: 64,
            writes_per_second: 300,
            checkpoint_rows: 512,
            max_programs: 16_384,
            max_calls: 16_384,
            max_keys: 65_536,
            max_turns: 256,
            max_undurable_turns: 8_192,
            max_undurable_bytes: 16 * 1024 * 1024,
            wall_start: WallTime::default(),
        }
    }
}

impl OwnerSettings {
    /// Returns the shortest time between two journal rows of one owner when `writers` owners share the write rate:
    /// `writers / writes_per_second` in seconds.
    pub fn min_flush_interval(&self, writers: usize) -> Duration {
        let writers = u32::try_from(writers.max(1)).unwrap_or(u32::MAX);
        Duration::from_secs(1) * writers / self.writes_per_second.max(1)
    }
}
