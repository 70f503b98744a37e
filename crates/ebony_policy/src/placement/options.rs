//! Options of placement.

use serde::{Deserialize, Serialize};

/// How a target is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementRule {
    /// The lowest estimated cost among a few candidates.
    #[default]
    FinishTime,
    /// The targets of a pool in turn. A baseline.
    RoundRobin,
    /// The target with the fewest calls of the whole pool. A baseline.
    LeastOutstanding,
    /// The program's last target while it serves, otherwise the one with the fewest calls. A reference for what
    /// plain session affinity gains.
    LastTarget,
}

/// Options of a [`PlacementPlanner`](super::PlacementPlanner).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementOptions {
    /// How a target is chosen.
    pub rule: PlacementRule,
    /// Targets that are sampled in a failure domain.
    pub samples: usize,
    /// Whether the program's last target and the one with its retained KV cache are candidates.
    pub affinity: bool,
    /// Whether own calls count between load reports.
    pub optimistic: bool,
    /// Whether the measured pace of a target scales its estimate.
    pub measured_pace: bool,
    /// Whether filling a prefix again, and evicting others for it, adds to the cost of a target.
    pub refill_cost: bool,
    /// How many seconds of finish time a second of wasted prefill is worth at even weights. It delays the other calls
    /// of the target, too.
    pub refill_factor: f64,
    /// Whether other failure domains are sampled when the best candidate of the own one is busy.
    pub spill: bool,
    /// The wait before the first token from which on other failure domains are sampled, in milliseconds.
    pub spill_wait_ms: u32,
    /// What a call to another failure domain adds, in milliseconds: 1 ms each way.
    pub other_domain_ms: u32,
    /// Milliseconds by which load reports lag.
    pub report_lag_ms: u32,
    /// Answer tokens that are expected if the request does not say: 9.4 million tokens over 32,000 requests a second.
    pub expected_output_tokens: u32,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            rule: PlacementRule::FinishTime,
            samples: 2,
            affinity: true,
            optimistic: true,
            measured_pace: true,
            refill_cost: true,
            refill_factor: 8.0,
            spill: true,
            spill_wait_ms: 250,
            other_domain_ms: 2,
            report_lag_ms: 1_000,
            expected_output_tokens: 294,
        }
    }
}
