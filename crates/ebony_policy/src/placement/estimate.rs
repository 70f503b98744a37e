//! The estimated finish time of a call on a target.

use std::time::Duration;

use super::load_view::LoadView;
use crate::speed::{EngineSpeed, duration_of};

/// Seconds that a call occupies a slot before any ended: 294 tokens at 28 ms.
const INITIAL_CALL_SECONDS: f64 = 8.0;

/// What a call asks of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallSize {
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
}

/// The expected course of a call on one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FinishEstimate {
    /// Prompt tokens that the target is expected to hold.
    pub cached_tokens: u64,
    /// Prompt tokens that need prefill.
    pub uncached_tokens: u64,
    /// Time until the call's own prefill starts.
    pub wait: Duration,
    /// Time until the first token of the answer.
    pub first_token: Duration,
    /// Time until the end of the answer.
    pub finish: Duration,
}

/// Estimates the course of a call from the queue ahead, the prefill that the cached prefix saves, and decode at the
/// present batch.
pub(crate) fn estimate_finish(
    speed: &EngineSpeed,
    load: &LoadView,
    size: CallSize,
    cached_tokens: u64,
    pace: f64,
) -> FinishEstimate {
    let slots = load.slots();
    let calls = load.calls();
    let uncached_tokens = size.prompt_tokens.saturating_sub(cached_tokens);
    let prefill_wait = speed.prefill_seconds(load.prefill_tokens());
    let call_seconds = load.mean_call_seconds().unwrap_or(INITIAL_CALL_SECONDS);
    let calls_ahead = calls.saturating_add(1).saturating_sub(slots);
    let slot_wait = f64::from(calls_ahead) * call_seconds / f64::from(slots);
    let wait = (prefill_wait * pace).max(slot_wait);
    let first_token = wait + speed.prefill_seconds(uncached_tokens) * pace;
    let batch = calls.saturating_add(1).min(slots);
    let finish = first_token + speed.decode_seconds(size.output_tokens, batch) * pace;
    FinishEstimate {
        cached_tokens,
        uncached_tokens,
        wait: duration_of(wait),
        first_token: duration_of(first_token),
        finish: duration_of(finish),
    }
}

/// Returns the seconds of prefill that the choice wastes: the prefix that is filled again, and the cache of other
/// programs that has to make room.
pub(crate) fn wasted_seconds(speed: &EngineSpeed, load: &LoadView, estimate: &FinishEstimate) -> f64 {
    let free = load.free_kv_tokens().unwrap_or(u64::MAX);
    let displaced = estimate.uncached_tokens.saturating_sub(free);
    speed.prefill_seconds(estimate.uncached_tokens.saturating_add(displaced))
}
