//! Options of retries and hedging.

use serde::{Deserialize, Serialize};

/// Options of a [`RetryBudget`](super::RetryBudget) and a [`HedgeRule`](super::HedgeRule).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryOptions {
    /// Whether calls are ever sent a second time.
    pub enabled: bool,
    /// Repeats for each hundred first attempts of a window.
    pub share_percent: u32,
    /// Repeats of a window on top of the share, for entries with few calls.
    pub fixed_repeats: u32,
    /// Length of a window in milliseconds.
    pub window_ms: u32,
    /// The most attempts of one call.
    pub max_attempts: u32,
    /// The longest wait before the first repeat, in milliseconds. It doubles with each further one.
    pub backoff_ms: u32,
    /// The longest wait before any repeat, in milliseconds.
    pub max_backoff_ms: u32,
    /// Whether calls of plain services that may run twice are hedged.
    pub hedging: bool,
    /// Whether model calls are hedged as well. It fills a prefix twice and gained no latency in `examples/compare.rs`.
    pub hedge_model_calls: bool,
    /// How many times its estimated time to the first token a call waits before it is hedged.
    pub hedge_factor: f64,
    /// What is added to that wait, in milliseconds. Estimates err by about this much.
    pub hedge_margin_ms: u32,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            enabled: true,
            share_percent: 10,
            fixed_repeats: 10,
            window_ms: 10_000,
            max_attempts: 4,
            backoff_ms: 50,
            max_backoff_ms: 2_000,
            hedging: true,
            hedge_model_calls: false,
            hedge_factor: 3.0,
            hedge_margin_ms: 4_000,
        }
    }
}
