//! How fast an engine is: the linear model behind every estimate of time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The speed of one kind of engine.
///
/// Prefill is linear in the uncached tokens; a decode step takes a base time and a little more for each running
/// call. Placement, retention and the queue's cost of a call share these figures.
///
/// ```
/// use ebony_policy::speed::EngineSpeed;
///
/// let speed = EngineSpeed::default();
/// assert!(speed.decode_seconds(100, 32) > speed.decode_seconds(100, 1));
/// assert_eq!(speed.prefill_seconds(8_000), 1.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpeed {
    /// Prompt tokens that one engine fills in a second.
    pub prefill_tokens_per_second: f64,
    /// Milliseconds of a decode step of one call.
    pub step_base_ms: f64,
    /// Milliseconds that each further call adds to a decode step.
    pub step_per_call_ms: f64,
    /// Bytes of KV cache of one token.
    pub kv_bytes_per_token: u64,
}

impl Default for EngineSpeed {
    /// The figures of the fake engine in `examples/compare.rs`. With 24 calls at once a step takes 28 ms, below the
    /// inter-token latency of 41 ms at the 95th percentile (docs/design.md, section 1.3).
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 8_000.0,
            step_base_ms: 16.0,
            step_per_call_ms: 0.5,
            kv_bytes_per_token: 100_000,
        }
    }
}

impl EngineSpeed {
    /// Returns the seconds that filling `tokens` takes.
    pub fn prefill_seconds(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_tokens_per_second.max(1.0)
    }

    /// Returns the seconds of one decode step while `batch` calls run.
    pub fn step_seconds(&self, batch: u32) -> f64 {
        (self.step_base_ms + self.step_per_call_ms * f64::from(batch)) / 1_000.0
    }

    /// Returns the seconds that decoding `tokens` takes while `batch` calls run.
    pub fn decode_seconds(&self, tokens: u64, batch: u32) -> f64 {
        tokens as f64 * self.step_seconds(batch)
    }

    /// Returns the service of a call in tokens of prefill: the engine time of its answer, shared by a full batch of
    /// `slots` calls, counts as the prompt tokens that could have been filled in that time.
    pub fn service_tokens(&self, uncached_tokens: u64, output_tokens: u64, slots: u32) -> u64 {
        let share_seconds = self.decode_seconds(output_tokens, slots) / f64::from(slots.max(1));
        uncached_tokens.saturating_add((share_seconds * self.prefill_tokens_per_second) as u64)
    }

    /// Returns the tokens of KV cache that fit into `bytes`.
    pub fn tokens_in(&self, bytes: u64) -> u64 {
        bytes / self.kv_bytes_per_token.max(1)
    }
}

/// The most tokens that one figure from outside may say, 540,000 being the longest history. The bound keeps sums of
/// malformed figures from overflowing.
const MAX_TOKENS: u64 = 1 << 40;

/// Bounds a number of tokens that comes from outside.
pub(crate) fn bounded_tokens(tokens: u64) -> u64 {
    tokens.min(MAX_TOKENS)
}

/// Converts seconds to a duration; negative and undefined values become zero.
pub(crate) fn duration_of(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
