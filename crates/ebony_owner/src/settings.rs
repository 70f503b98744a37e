//! Bounds and rates of an owner.

use std::time::Duration;

use crate::wall_time::WallTime;

/// Time for which a program is kept after its end, so that its history can be shown.
pub const PROGRAM_RETENTION: Duration = Duration::from_secs(600);

/// Time for which the key of a program of one call is kept after its answer.
pub const KEY_RETENTION: Duration = Duration::from_secs(86_400);

/// Time that a target has to confirm the end of a call whose caller was already answered. After it, the program's next
/// call may start.
pub const CANCEL_GRACE: Duration = Duration::from_secs(10);

/// Time that calls have to end when a busy shard moves only to spread load. A longer wait would delay the other
/// programs of the shard for a move that is not urgent.
pub const REBALANCE_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two attempts to move a busy shard to spread load.
pub const REBALANCE_INTERVAL: Duration = Duration::from_secs(60);

/// The shortest and the longest pause before a failed write or read of the platform is repeated.
pub const RETRY_BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// The longest time budget of a program. It bounds the time for which stored bodies are referenced.
pub const MAX_PROGRAM_SECONDS: u32 = 86_400;

/// The most levels of child programs, whatever the budget says. It bounds the walk from a call to all its budgets.
pub const MAX_DEPTH: u8 = 16;

/// The most children of one program that are open or not yet evicted.
pub const MAX_CHILDREN_PER_PROGRAM: usize = 64;

/// Seconds after which a caller that was refused for lack of room should come back.
pub const RETRY_AFTER_SECONDS: u32 = 2;

/// Settings of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Number of shards; the same in the whole fleet.
    pub shard_count: u16,
    /// Journal rows a second that all owners together may write.
    pub writes_per_second: u32,
    /// Rows between two checkpoints.
    pub checkpoint_rows: u64,
    /// The most programs in memory. Ended programs make room for new ones.
    pub max_programs: usize,
    /// The most calls in memory.
    pub max_calls: usize,
    /// The most idempotency keys. A further key is refused, because forgetting one could run its request twice.
    pub max_keys: usize,
    /// The most turns of one program. The longest expected program has 84.
    pub max_turns: u32,
    /// The most finished turns that wait for the journal.
    pub max_undurable_turns: usize,
    /// The most bytes of messages and answers that wait for the journal.
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
    /// Returns the shortest time between two journal rows of one owner: `writers / writes_per_second`.
    pub fn min_flush_interval(&self, writers: usize) -> Duration {
        let writers = u32::try_from(writers.max(1)).unwrap_or(u32::MAX);
        Duration::from_secs(1) * writers / self.writes_per_second.max(1)
    }
}
