//! Backoff between attempts of a failed platform request.

use std::time::Duration;

use rand::{Rng, RngCore};

use crate::settings::RETRY_BACKOFF_RANGE;

/// Returns the pause before attempt number `attempt`, counted from 1. It doubles with each attempt and is shortened
/// by up to half at random, so that owners do not retry in lockstep after an outage.
pub(crate) fn retry_backoff(attempt: u32, rng: &mut impl RngCore) -> Duration {
    let (first, longest) = RETRY_BACKOFF_RANGE;
    let doubled = first
        .saturating_mul(1 << attempt.saturating_sub(1).min(16))
        .min(longest);
    doubled.mul_f64(rng.random_range(0.5..=1.0))
}
