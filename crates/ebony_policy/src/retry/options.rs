//! Options of retries and hedging.

use serde::{Deserialize, Serialize};

/// Options of a [`RetryBudget`](super::RetryBudget) and a [`HedgeRule`](super::HedgeRule).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryOptions {
    /// Whether calls are ever retried or hedged.
    pub enabled: bool,
    /// Retries and hedges allowed for each hundred first attempts of a window.
    pub share_percent: u32,
    /// Retries and hedges allowed in each window in addition to the share, for entries with few calls.
    pub fixed_repeats: u32,
    /// Length of a window in milliseconds.
    pub window_ms: u32,
    /// Maximum attempts of one call.
    pub max_attempts: u32,
    /// Maximum wait before the first retry, in milliseconds. It doubles with each further retry.
    pub backoff_ms: u32,
    /// Maximum wait before any retry, in milliseconds.
    pub max_backoff_ms: u32,
    /// Whether calls that may run twice are hedged; model calls also need `hedge_model_calls`.
    pub hedging: bool,
    /// Whether model calls are hedged as well. This fills a prefix twice and did not lower latency in
    /// `examples/compare.rs`.
    pub hedge_model_calls: bool,
    /// Wait before a call is hedged, as a multiple of its estimated time to the first token.
    pub hedge_factor: f64,
    /// Margin added to that wait, in milliseconds: about the error of the estimates.
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
