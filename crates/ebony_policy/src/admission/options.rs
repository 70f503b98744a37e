//! Options of admission.

use serde::{Deserialize, Serialize};

/// Options of an [`AdmissionController`](super::AdmissionController).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionOptions {
    /// Whether admission control is on; otherwise all programs are admitted at once.
    pub enabled: bool,
    /// Whether admissions and waiting places are shared fairly between callers.
    pub fair_share: bool,
    /// Whether the limit on programs adapts to the measured latency; otherwise it stays at `initial_limit`.
    pub adaptive: bool,
    /// Whether admission is limited by the KV cache that admitted programs need.
    pub memory_bound: bool,
    /// Percentage of the KV limit up to which programs are admitted at a latency weight of 0. It leaves room because
    /// programs grow after their admission.
    pub kv_percent_for_cache: u32,
    /// Percentage of the KV limit up to which programs are admitted at a latency weight of 1. Weights in between are
    /// interpolated linearly.
    pub kv_percent_for_latency: u32,
    /// Maximum tokens of the first prompt of a small program, which need not wait behind larger ones.
    pub small_program_tokens: u32,
    /// Delay that each token of the first prompt adds to the rank of a waiting program, in microseconds. A smaller
    /// program overtakes a larger one that arrived earlier by less than the difference of their delays.
    pub delay_per_token_us: u32,
    /// Initial limit on programs in progress.
    pub initial_limit: u32,
    /// Minimum limit on programs in progress.
    pub min_limit: u32,
    /// Maximum limit on programs in progress.
    pub max_limit: u32,
    /// Latency target: 95th percentile of the time to the first token, in milliseconds.
    pub first_token_target_ms: u32,
    /// Calls per thousand that may exceed the latency target before the limit falls.
    pub slow_permille: u32,
    /// Minimum time between two changes of the limit, in milliseconds.
    pub window_ms: u32,
    /// Minimum number of calls in a window before the limit changes.
    pub min_samples: u32,
    /// Maximum programs that wait for admission.
    pub waiting_places: usize,
    /// Maximum expected wait for admission, in milliseconds; a program that would wait longer is refused.
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
