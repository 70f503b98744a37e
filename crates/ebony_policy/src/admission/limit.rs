//! Limits the number of programs in progress, adapting to measured latency.
//!
//! Each window counts the calls whose time to the first token exceeds the latency target. If more than the allowed
//! share do, the limit falls to nine tenths of the programs in progress; otherwise, if most of the limit is in use, it
//! grows by a tenth. It never falls below the number of calls that the targets can run concurrently.
//!
//! The latency target is meant for the 95th percentile, but the limit falls only when half of all calls exceed it: a
//! long prompt delays other calls under any load, and a limit that reacted to 5% of the calls held programs back while
//! engines were idle.
//!
//! A sample excludes the prefill of the tokens that the call itself adds, because a long first prompt is slow on an
//! idle system too. Refilling an evicted prefix is included, because overload causes it.

use std::time::Duration;

use ebony_types::ClockTime;

use super::AdmissionOptions;

/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.9;

/// Share of the limit by which it increases.
const INCREASE_SHARE: f64 = 0.1;

/// Share of the limit that must be in use for it to grow. Latency under a lower load does not show whether a higher
/// limit is safe.
const MIN_USED_SHARE: f64 = 0.8;

/// The measured time to a first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstTokenSample {
    /// Time from the arrival of the call to its first token.
    pub measured: Duration,
    /// Prefill time of the tokens that this call added to its program's history.
    pub own_prefill: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    min_programs: f64,
    window_start: ClockTime,
    samples: u32,
    slow_samples: u32,
}

impl ConcurrencyLimit {
    pub(crate) fn open(options: &AdmissionOptions) -> Self {
        Self {
            limit: f64::from(options.initial_limit),
            min_programs: f64::from(options.min_limit),
            window_start: ClockTime::default(),
            samples: 0,
            slow_samples: 0,
        }
    }

    pub(crate) fn programs(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the lower bound of the limit to the slots of the targets. A program runs one call at a time, so fewer
    /// programs than slots would leave slots idle.
    pub(crate) fn set_min_programs(&mut self, slots: u32) {
        self.min_programs = f64::from(slots);
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
        self.slow_samples += u32::from(sample.measured.saturating_sub(sample.own_prefill) > target);
        let window = Duration::from_millis(u64::from(options.window_ms));
        if self.samples >= options.min_samples && now.since(self.window_start) >= window {
            self.adapt(options, f64::from(programs));
            self.window_start = now;
            self.samples = 0;
            self.slow_samples = 0;
        }
    }

    fn adapt(&mut self, options: &AdmissionOptions, programs: f64) {
        let is_slow =
            u64::from(self.slow_samples) * 1_000 > u64::from(self.samples) * u64::from(options.slow_permille);
        if is_slow {
            self.limit = self.limit.min(programs) * DECREASE_FACTOR;
        } else if programs >= self.limit * MIN_USED_SHARE {
            self.limit += (self.limit * INCREASE_SHARE).max(1.0);
        }
        let low = self.min_programs.max(f64::from(options.min_limit));
        self.limit = self.limit.max(low).min(f64::from(options.max_limit));
    }
}
