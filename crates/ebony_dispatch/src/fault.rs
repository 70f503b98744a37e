//! Failures of a target, as the entry's own calls show them.

use ebony_types::ClockTime;

use crate::options::DispatchOptions;

/// The most doublings of the pause; further ones would exceed any bound.
const MOST_DOUBLINGS: u32 = 16;

/// Failures in a row, and until when they keep calls away.
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
/// assert!(!fault.is_avoided(now + options.fault_pause));
/// fault.record_success();
/// assert!(!fault.is_avoided(now));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetFault {
    failures: u32,
    avoided_until: ClockTime,
    full_until: ClockTime,
}

impl TargetFault {
    /// Notes a call that failed on the way or broke off.
    pub fn record_failure(&mut self, options: &DispatchOptions, now: ClockTime) {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        let pause = options
            .fault_pause
            .saturating_mul(1 << doublings)
            .min(options.most_fault_pause);
        self.failures = self.failures.saturating_add(1);
        self.avoided_until = now + pause;
    }

    /// Notes that the target turned a call away because it is full.
    pub fn record_full(&mut self, options: &DispatchOptions, now: ClockTime) {
        self.full_until = now + options.full_pause;
    }

    /// Notes a whole answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.avoided_until = ClockTime::default();
    }

    /// Returns how many calls in a row failed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether calls go elsewhere if they can, because of failures.
    pub fn is_avoided(&self, now: ClockTime) -> bool {
        now < self.avoided_until
    }

    /// Returns whether the target turned a call away a moment ago.
    pub fn is_full(&self, now: ClockTime) -> bool {
        now < self.full_until
    }
}
