//! Options of model loading.

use serde::{Deserialize, Serialize};

/// Options of a [`LoadPlanner`](super::LoadPlanner).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadingOptions {
    /// Whether models are loaded and unloaded as demand shifts.
    pub enabled: bool,
    /// Transfers that the weight store allows in each window.
    pub transfers: u32,
    /// Length of the weight store's window in milliseconds.
    pub transfer_window_ms: u32,
    /// Number of models that fit into one engine.
    pub models_per_engine: usize,
    /// Utilization of a model's engines above which it needs a further engine.
    pub high_share: f64,
    /// Utilization of a model's remaining engines below which it can give up an engine.
    pub low_share: f64,
    /// Time for which demand must stay high before a model gets a further engine, in milliseconds.
    pub sustain_ms: u32,
    /// Minimum time between two changes of an engine's models, in milliseconds.
    pub dwell_ms: u32,
    /// Time constant of the demand rate in milliseconds.
    pub demand_window_ms: u32,
    /// Time for which an engine gets no load after one failed or was refused, in milliseconds.
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
