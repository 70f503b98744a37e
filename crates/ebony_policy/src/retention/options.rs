//! Options of retention.

use serde::{Deserialize, Serialize};

/// Options of a [`PauseModel`](super::PauseModel), a [`HoldPlan`](super::HoldPlan) and a
/// [`HeldTable`](super::HeldTable).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetentionOptions {
    /// Whether KV cache is kept through tool pauses; otherwise the engine's own eviction decides.
    pub keep: bool,
    /// Whether pauses are learned per caller and kind of program; otherwise all share one distribution.
    pub learned_pauses: bool,
    /// Whether KV cache is exported under memory pressure instead of released.
    pub export: bool,
    /// Whether the KV cache of a program that ended is released at once.
    pub release_ended: bool,
    /// The most kinds of pauses that are remembered; the least recently used one is forgotten.
    pub pause_kinds: usize,
    /// The most programs of one target in the table.
    pub held_programs: usize,
    /// Milliseconds after which a program that nobody vouched for is released.
    pub lease_ms: u32,
    /// Milliseconds after which an unconfirmed release is repeated. The time doubles with each repeat.
    pub repeat_ms: u32,
    /// The longest time between two repeats, in milliseconds.
    pub max_repeat_ms: u32,
    /// The time until a program's return from which on its KV cache gives way to any call, in milliseconds.
    pub break_even_ms: u32,
    /// The wait after which a call takes the memory of any paused program, in milliseconds.
    pub patience_ms: u32,
    /// The longest time for which KV cache is kept, in milliseconds.
    pub max_hold_ms: u32,
    /// Tokens of KV cache that one target's exports may take.
    pub export_tokens: u64,
    /// Tokens that are exported or imported in a second.
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
