//! Linear model of engine speed, used for all time estimates.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The speed of one kind of engine.
///
/// Prefill time is linear in the uncached tokens; a decode step takes a base time plus a time for each running call.
/// Placement, retention and the cost of queued calls use these figures.
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
    /// Prefill rate of one engine, in prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Base time of a decode step, in milliseconds.
    pub step_base_ms: f64,
    /// Time that each running call adds to a decode step, in milliseconds.
    pub step_per_call_ms: f64,
    /// Bytes of KV cache for each token.
    pub kv_bytes_per_token: u64,
}

impl Default for EngineSpeed {
    /// With 24 concurrent calls a step takes 28 ms, below the inter-token latency of 41 ms at the 95th percentile
    /// (docs/design.md, section 1.3).
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
    /// Returns the time to prefill `tokens`, in seconds.
    pub fn prefill_seconds(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_tokens_per_second.max(1.0)
    }

    /// Returns the time of one decode step while `batch` calls run, in seconds.
    pub fn step_seconds(&self, batch: u32) -> f64 {
        (self.step_base_ms + self.step_per_call_ms * f64::from(batch)) / 1_000.0
    }

    /// Returns the time to decode `tokens` while `batch` calls run, in seconds.
    pub fn decode_seconds(&self, tokens: u64, batch: u32) -> f64 {
        tokens as f64 * self.step_seconds(batch)
    }

    /// Returns the service of a call in prefill tokens. The decode time of its answer, divided by a full batch of
    /// `slots` calls, counts as the tokens that could have been prefilled in that time.
    pub fn service_tokens(&self, uncached_tokens: u64, output_tokens: u64, slots: u32) -> u64 {
        let share_seconds = self.decode_seconds(output_tokens, slots) / f64::from(slots.max(1));
        uncached_tokens.saturating_add((share_seconds * self.prefill_tokens_per_second) as u64)
    }

    /// Returns the number of tokens whose KV cache fits into `bytes`.
    pub fn tokens_in(&self, bytes: u64) -> u64 {
        bytes / self.kv_bytes_per_token.max(1)
    }
}

/// Maximum of a token count from an external source; the longest history has 540,000 tokens. The bound prevents
/// overflow of sums with malformed counts.
const MAX_TOKENS: u64 = 1 << 40;

/// Clamps a token count from an external source to [`MAX_TOKENS`].
pub(crate) fn clamp_tokens(tokens: u64) -> u64 {
    tokens.min(MAX_TOKENS)
}

/// Converts seconds to a duration; negative and undefined values become zero.
pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
