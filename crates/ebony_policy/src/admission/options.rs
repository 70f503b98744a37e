//! Options of admission.

use serde::{Deserialize, Serialize};

/// Options of an [`AdmissionGate`](super::AdmissionGate).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionOptions {
    /// Whether programs are ever refused or held back.
    pub enabled: bool,
    /// Whether callers get a fair share of admissions and waiting places.
    pub fair_share: bool,
    /// Whether the limit on programs adapts to the measured latency; otherwise it stays at `initial_limit`.
    pub adaptive: bool,
    /// Whether the KV cache that admitted programs need limits admission.
    pub memory_bound: bool,
    /// The share of the KV limit up to which programs are admitted if only wasted cache counts, in percent. Programs
    /// grow after their admission.
    pub kv_percent_for_cache: u32,
    /// The share up to which programs are admitted if only latency counts, in percent. Weights in between interpolate.
    pub kv_percent_for_latency: u32,
    /// Tokens of a first prompt up to which a program need not wait behind larger ones.
    pub small_program_tokens: u32,
    /// How much later a waiting program is due for each token of its first prompt, in microseconds. Smaller programs
    /// overtake larger ones that have waited for less than the difference.
    pub delay_per_token_us: u32,
    /// Programs in progress at the start.
    pub initial_limit: u32,
    /// The least limit on programs in progress.
    pub min_limit: u32,
    /// The highest limit on programs in progress.
    pub max_limit: u32,
    /// Target of the time to the first token at the 95th percentile, in milliseconds.
    pub first_token_target_ms: u32,
    /// Calls in a thousand that may exceed the target before the limit falls.
    pub slow_permille: u32,
    /// The least time between two changes of the limit, in milliseconds.
    pub window_ms: u32,
    /// The fewest calls on which a change of the limit rests.
    pub min_samples: u32,
    /// Programs that may wait for admission.
    pub waiting_places: usize,
    /// The longest expected wait for admission, in milliseconds; a program that would wait longer is refused.
    pub max_wait_ms: u32,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            enabled: true,
            fair_share: true,
            adaptive: true,
            memory_bound: true,
            kv_percent_for_cache: 75,
            kv_percent_for_latency: 105,
            small_program_tokens: 6_000,
            delay_per_token_us: 1_000,
            initial_limit: 256,
            min_limit: 8,
            max_limit: 65_536,
            first_token_target_ms: 930,
            slow_permille: 500,
            window_ms: 5_000,
            min_samples: 20,
            waiting_places: 256,
            max_wait_ms: 30_000,
        }
    }
}
