//! The limit on programs in progress, adapted to measured latency.
//!
//! The rule is additive increase and multiplicative decrease. Within each window the limit counts calls whose time to
//! the first token exceeds the target. If more than the allowed share does, the limit falls to nine tenths of the
//! programs in progress; otherwise, if the limit is in use, it grows by a tenth. It never falls below the calls that
//! the targets run at once.
//!
//! The target is that of the 95th percentile, but the limit reacts only when half of all calls exceed it: one long
//! prompt delays its neighbours on any system, and a limit that reacted to 5% held programs back while engines idled.
//!
//! A sample leaves out the prefill of the tokens that the call itself adds: a long first prompt is slow on an idle
//! system too and says nothing about load. Prefill of a prefix that was evicted counts, because overload causes it.

use std::time::Duration;

use ebony_types::ClockTime;

use super::AdmissionOptions;

/// The factor of a decrease.
const DECREASE_FACTOR: f64 = 0.9;

/// The share of an increase.
const INCREASE_SHARE: f64 = 0.1;

/// The share of the limit that must be in use for it to grow; an idle limit proves nothing.
const IN_USE_SHARE: f64 = 0.8;

/// The measured time to a first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstTokenSample {
    /// From the arrival of the call to its first token.
    pub measured: Duration,
    /// Prefill of the tokens that this call added to its program's history.
    pub own_prefill: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    floor: f64,
    window_start: ClockTime,
    samples: u32,
    slow: u32,
}

impl ConcurrencyLimit {
    pub(crate) fn open(options: &AdmissionOptions) -> Self {
        Self {
            limit: f64::from(options.initial_limit),
            floor: f64::from(options.min_limit),
            window_start: ClockTime::default(),
            samples: 0,
            slow: 0,
        }
    }

    pub(crate) fn programs(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the calls that the targets run at once. A program runs one call at a time, so that fewer programs than
    /// slots would leave slots idle.
    pub(crate) fn set_floor(&mut self, slots: u32) {
        self.floor = f64::from(slots);
    }

    pub(crate) fn observe(
        &mut self,
        options: &AdmissionOptions,
        sample: FirstTokenSample,
        programs: u32,
        now: ClockTime,
    ) {
        let target = Duration::from_millis(u64::from(options.first_token_target_ms));
        self.samples += 1;
        self.slow += u32::from(sample.measured.saturating_sub(sample.own_prefill) > target);
        let window = Duration::from_millis(u64::from(options.window_ms));
        if self.samples >= options.min_samples && now.since(self.window_start) >= window {
            self.adapt(options, f64::from(programs));
            self.window_start = now;
            self.samples = 0;
            self.slow = 0;
        }
    }

    fn adapt(&mut self, options: &AdmissionOptions, programs: f64) {
        let is_slow =
            u64::from(self.slow) * 1_000 > u64::from(self.samples) * u64::from(options.slow_permille);
        if is_slow {
            self.limit = self.limit.min(programs) * DECREASE_FACTOR;
        } else if programs >= self.limit * IN_USE_SHARE {
            self.limit += (self.limit * INCREASE_SHARE).max(1.0);
        }
        let low = self.floor.max(f64::from(options.min_limit));
        self.limit = self.limit.max(low).min(f64::from(options.max_limit));
    }
}
