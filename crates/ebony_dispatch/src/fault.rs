//! Failures of a target, as observed by the entry's own calls.

use std::time::Duration;

use ebony_types::ClockTime;

use crate::options::DispatchOptions;

/// The most doublings of the back-off; further ones would exceed any maximum.
const MAX_DOUBLINGS: u32 = 16;

/// Consecutive failures of a target, with an exponential back-off.
///
/// ```
/// use std::time::Duration;
/// use ebony_dispatch::{DispatchOptions, TargetFault};
/// use ebony_types::ClockTime;
///
/// let options = DispatchOptions::default();
/// let now = ClockTime::default();
/// let mut fault = TargetFault::default();
/// fault.record_failure(&options, now);
/// assert!(fault.is_avoided(now));
/// assert!(!fault.is_avoided(now + options.first_failure_backoff));
/// fault.record_success();
/// assert!(!fault.is_avoided(now));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetFault {
    failures: u32,
    avoided_until: ClockTime,
    full_until: ClockTime,
    failed_at: Option<ClockTime>,
}

impl TargetFault {
    /// Records a call that could not be sent or whose answer was cut off.
    pub fn record_failure(&mut self, options: &DispatchOptions, now: ClockTime) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff = options
            .first_failure_backoff
            .saturating_mul(1 << doublings)
            .min(options.max_failure_backoff);
        self.failures = self.failures.saturating_add(1);
        self.avoided_until = now + backoff;
        self.failed_at = Some(now);
    }

    /// Records that the target rejected a call because it was full.
    pub fn record_full(&mut self, options: &DispatchOptions, now: ClockTime) {
        self.full_until = now + options.full_target_backoff;
    }

    /// Records a complete answer, which ends the back-off.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.avoided_until = ClockTime::default();
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the target is in back-off after failures, so that other targets are preferred.
    pub fn is_avoided(&self, now: ClockTime) -> bool {
        now < self.avoided_until
    }

    /// Returns whether a call failed at the target within a time, also if it has answered others since.
    pub fn has_failed_within(&self, time: Duration, now: ClockTime) -> bool {
        self.failed_at.is_some_and(|failed| now.since(failed) < time)
    }

    /// Returns whether the target lately rejected a call because it was full.
    pub fn is_full(&self, now: ClockTime) -> bool {
        now < self.full_until
    }
}
