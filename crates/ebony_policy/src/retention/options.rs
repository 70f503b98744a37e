//! Options of retention.

use serde::{Deserialize, Serialize};

/// Options of a [`PauseModel`](super::PauseModel), a [`HoldPlan`](super::HoldPlan) and a
/// [`HeldTable`](super::HeldTable).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetentionOptions {
    /// Whether KV cache is kept during tool pauses; otherwise it is left to the engine's eviction.
    pub keep: bool,
    /// Whether pauses are learned for each caller and kind of program; otherwise all share one distribution.
    pub learned_pauses: bool,
    /// Whether KV cache is exported under memory pressure instead of released.
    pub export: bool,
    /// Whether the KV cache of an ended program is released at once.
    pub release_ended: bool,
    /// Maximum kinds of pauses that are kept; beyond it, the least recently observed one is removed.
    pub pause_kinds: usize,
    /// Maximum programs in the table of one target.
    pub held_programs: usize,
    /// Time after which a program is released if its owner does not renew its lease, in milliseconds.
    pub lease_ms: u32,
    /// Time after which an unconfirmed release is repeated, in milliseconds. It doubles with each attempt.
    pub repeat_ms: u32,
    /// Maximum time between two attempts of a release, in milliseconds.
    pub max_repeat_ms: u32,
    /// Time until a program's expected return from which on any call may evict its pinned KV cache, in milliseconds.
    pub break_even_ms: u32,
    /// Wait after which a call may evict the KV cache of any paused program, in milliseconds.
    pub patience_ms: u32,
    /// Maximum time for which KV cache is kept, in milliseconds.
    pub max_hold_ms: u32,
    /// Maximum tokens of exported KV cache of one target.
    pub export_tokens: u64,
    /// Rate of exports and imports in tokens per second.
    pub transfer_tokens_per_second: f64,
}

impl Default for RetentionOptions {
    fn default() -> Self {
        Self {
            keep: true,
            learned_pauses: true,
            export: true,
            release_ended: true,
            pause_kinds: 1_024,
            held_programs: 4_096,
            lease_ms: 30_000,
            repeat_ms: 1_000,
            max_repeat_ms: 30_000,
            break_even_ms: 10_000,
            patience_ms: 10_000,
            max_hold_ms: 300_000,
            export_tokens: 250_000,
            transfer_tokens_per_second: 100_000.0,
        }
    }
}
