//! Options of model loading.

use serde::{Deserialize, Serialize};

/// Options of a [`LoadPlanner`](super::LoadPlanner).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadingOptions {
    /// Whether models are loaded and unloaded as demand shifts.
    pub enabled: bool,
    /// Transfers that the weight store allows in a window.
    pub transfers: u32,
    /// Length of the weight store's window in milliseconds.
    pub transfer_window_ms: u32,
    /// Models that fit into one engine.
    pub models_per_engine: usize,
    /// The share of its engines' time that a model must need before it gets a further engine.
    pub high_share: f64,
    /// The share that another model may need of its remaining engines after it gave one up.
    pub low_share: f64,
    /// Milliseconds for which the need must last.
    pub sustain_ms: u32,
    /// Milliseconds for which an engine keeps the models that it has after a change.
    pub dwell_ms: u32,
    /// Time constant of the measured demand in milliseconds.
    pub demand_window_ms: u32,
    /// Milliseconds after which a load that the weight store refused or that failed is tried again.
    pub backoff_ms: u32,
}

impl Default for LoadingOptions {
    fn default() -> Self {
        Self {
            enabled: true,
            transfers: 2,
            transfer_window_ms: 60_000,
            models_per_engine: 1,
            high_share: 0.85,
            low_share: 0.7,
            sustain_ms: 15_000,
            dwell_ms: 120_000,
            demand_window_ms: 30_000,
            backoff_ms: 30_000,
        }
    }
}
