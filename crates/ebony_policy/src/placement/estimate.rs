//! Estimates the finish time of a call on a target.

use std::time::Duration;

use super::load_view::LoadView;
use crate::speed::{EngineSpeed, duration_from_secs};

/// Assumed seconds that a call occupies a slot, used until a call on the target has ended: 294 tokens at 28 ms each.
const DEFAULT_CALL_SECONDS: f64 = 8.0;

/// The prompt and answer size of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallSize {
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
}

/// The estimated timing of a call on one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FinishEstimate {
    /// Prompt tokens that are expected to be cached on the target.
    pub cached_tokens: u64,
    /// Prompt tokens that need prefill.
    pub uncached_tokens: u64,
    /// Time until the prefill of the call starts.
    pub wait: Duration,
    /// Time until the first token of the answer.
    pub first_token: Duration,
    /// Time until the end of the answer.
    pub finish: Duration,
}

/// Estimates the timing of a call from the queue ahead of it, the prefill of its uncached tokens, and decoding at the
/// current batch size. `slowdown` scales prefill and decode times.
pub(crate) fn estimate_finish(
    speed: &EngineSpeed,
    load: &LoadView,
    size: CallSize,
    cached_tokens: u64,
    slowdown: f64,
) -> FinishEstimate {
    let slots = load.slots();
    let calls = load.calls();
    let uncached_tokens = size.prompt_tokens.saturating_sub(cached_tokens);
    let prefill_wait = speed.prefill_seconds(load.prefill_tokens());
    let call_seconds = load.mean_call_seconds().unwrap_or(DEFAULT_CALL_SECONDS);
    let calls_ahead = calls.saturating_add(1).saturating_sub(slots);
    let slot_wait = f64::from(calls_ahead) * call_seconds / f64::from(slots);
    let wait = (prefill_wait * slowdown).max(slot_wait);
    let first_token = wait + speed.prefill_seconds(uncached_tokens) * slowdown;
    let batch = calls.saturating_add(1).min(slots);
    let finish = first_token + speed.decode_seconds(size.output_tokens, batch) * slowdown;
    FinishEstimate {
        cached_tokens,
        uncached_tokens,
        wait: duration_from_secs(wait),
        first_token: duration_from_secs(first_token),
        finish: duration_from_secs(finish),
    }
}

/// Returns the seconds of prefill that running the call here costs: prefill of its uncached tokens, and later refill
/// of the cache of other programs that has to be evicted for them.
pub(crate) fn wasted_prefill_seconds(speed: &EngineSpeed, load: &LoadView, estimate: &FinishEstimate) -> f64 {
    let free = load.free_kv_tokens().unwrap_or(u64::MAX);
    let displaced = estimate.uncached_tokens.saturating_sub(free);
    speed.prefill_seconds(estimate.uncached_tokens.saturating_add(displaced))
}
