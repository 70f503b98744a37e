//! Options of placement.

use serde::{Deserialize, Serialize};

/// How a target is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementRule {
    /// The candidate with the lowest estimated cost: finish time plus refill cost.
    #[default]
    FinishTime,
    /// The targets of a pool in round-robin order. A baseline.
    RoundRobin,
    /// The target of the whole pool with the fewest calls. A baseline.
    LeastOutstanding,
    /// The program's last target while it serves, otherwise the target with the fewest calls. A reference for the
    /// gain of plain session affinity.
    LastTarget,
}

/// Options of a [`PlacementPlanner`](super::PlacementPlanner).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementOptions {
    /// How a target is chosen.
    pub rule: PlacementRule,
    /// Number of targets sampled in a failure domain.
    pub samples: usize,
    /// Whether the program's last target and the target that retains its KV cache are candidates.
    pub affinity: bool,
    /// Whether load estimates include the calls that this entry sent since the last load report.
    pub optimistic: bool,
    /// Whether the measured slowdown of a target scales its estimated times.
    pub measured_pace: bool,
    /// Whether refilling a prefix, and evicting other prefixes for it, adds to the cost of a target.
    pub refill_cost: bool,
    /// Cost of one second of wasted prefill, in seconds of finish time, at a latency weight of 0.5. It exceeds 1
    /// because prefill also delays the other calls of the target.
    pub refill_factor: f64,
    /// Whether another failure domain is sampled when the best candidate of the own domain is busy.
    pub spill: bool,
    /// Expected wait before prefill above which a candidate counts as busy, in milliseconds.
    pub spill_wait_ms: u32,
    /// Latency that a call to another failure domain adds, in milliseconds: 1 ms each way.
    pub other_domain_ms: u32,
    /// Lag of load reports, in milliseconds.
    pub report_lag_ms: u32,
    /// Expected answer tokens if the request does not state them: 9.4 million tokens per second over 32,000 requests
    /// per second.
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
