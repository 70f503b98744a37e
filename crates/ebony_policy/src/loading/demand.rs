//! Measures the demand for one model in one failure domain.

use std::time::Duration;

use ebony_types::ClockTime;

/// Exponentially weighted rate of the engine time that a model's calls need, and the time since which it is high.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelDemand {
    weighted_seconds: f64,
    updated: ClockTime,
    high_since: Option<ClockTime>,
}

impl ModelDemand {
    pub(crate) fn record(&mut self, engine_seconds: f64, window: Duration, now: ClockTime) {
        self.decay(window, now);
        self.weighted_seconds += engine_seconds.max(0.0);
    }

    /// Returns the demand as a number of fully used engines.
    pub(crate) fn engines(&mut self, window: Duration, now: ClockTime) -> f64 {
        self.decay(window, now);
        self.weighted_seconds / window.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Records whether the demand is high. Returns `true` once it has been high for `sustain`.
    pub(crate) fn is_sustained(&mut self, is_high: bool, sustain: Duration, now: ClockTime) -> bool {
        if !is_high {
            self.high_since = None;
            return false;
        }
        let since = *self.high_since.get_or_insert(now);
        now.since(since) >= sustain
    }

    fn decay(&mut self, window: Duration, now: ClockTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.weighted_seconds *= (-elapsed / window.as_secs_f64().max(f64::MIN_POSITIVE)).exp();
        self.updated = self.updated.max(now);
    }
}
