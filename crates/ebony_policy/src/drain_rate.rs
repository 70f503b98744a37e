//! Measures how fast a backlog drains, for retry times and early refusals.

use std::time::Duration;

use ebony_types::ClockTime;

/// Maximum retry time in seconds. The drain rate is likely to have changed before a longer time has passed.
pub const MAX_RETRY_AFTER_SECONDS: u32 = 60;

/// Exponentially weighted rate at which a backlog drains, in units per second of busy time.
///
/// Idle time does not count, because an empty backlog says nothing about how fast a backlog drains.
///
/// ```
/// use std::time::Duration;
/// use ebony_policy::drain_rate::DrainRate;
/// use ebony_types::ClockTime;
///
/// let mut rate = DrainRate::open(Duration::from_secs(10));
/// for second in 0..100 {
///     rate.record(50, true, ClockTime::from_millis(second * 1_000));
/// }
/// let wait = rate.time_to_drain(500).unwrap();
/// assert!((9..=11).contains(&wait.as_secs()));
/// ```
#[derive(Clone, Debug)]
pub struct DrainRate {
    window_seconds: f64,
    weighted_amount: f64,
    weighted_seconds: f64,
    updated_at: Option<ClockTime>,
    busy_since: Option<ClockTime>,
}

impl DrainRate {
    /// Creates a rate with the given time constant.
    pub fn open(window: Duration) -> Self {
        Self {
            window_seconds: window.as_secs_f64().max(f64::MIN_POSITIVE),
            weighted_amount: 0.0,
            weighted_seconds: 0.0,
            updated_at: None,
            busy_since: None,
        }
    }

    /// Records that `amount` units were served, and whether more are waiting. Units that did not wait do not count.
    pub fn record(&mut self, amount: u64, is_busy: bool, now: ClockTime) {
        let has_backlog = self.busy_since.is_some_and(|since| since < now);
        self.advance(is_busy, now);
        if has_backlog {
            self.weighted_amount += amount as f64;
        }
    }

    /// Advances the clock and sets whether units are waiting from now on.
    pub fn advance(&mut self, is_busy: bool, now: ClockTime) {
        if let Some(updated_at) = self.updated_at
            && self.busy_since.is_some()
        {
            let elapsed = now.since(updated_at).as_secs_f64();
            let kept = (-elapsed / self.window_seconds).exp();
            self.weighted_amount *= kept;
            self.weighted_seconds = self.weighted_seconds * kept + self.window_seconds * (1.0 - kept);
        }
        self.updated_at = Some(now);
        self.busy_since = is_busy.then(|| self.busy_since.unwrap_or(now));
    }

    /// Returns the rate in units per second; `None` until units were served and about a tenth of the time constant was
    /// busy.
    pub fn per_second(&self) -> Option<f64> {
        let is_known = self.weighted_seconds >= self.window_seconds / 10.0 && self.weighted_amount > 0.0;
        is_known.then(|| self.weighted_amount / self.weighted_seconds)
    }

    /// Returns the time in which `amount` units drain; `None` if the rate is unknown.
    pub fn time_to_drain(&self, amount: u64) -> Option<Duration> {
        let seconds = amount as f64 / self.per_second()?;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Returns the time in which `amount` units drain in whole seconds, from 1 to [`MAX_RETRY_AFTER_SECONDS`]; 1 if the
    /// rate is unknown.
    pub fn retry_after_seconds(&self, amount: u64) -> u32 {
        let wait = self.time_to_drain(amount).unwrap_or(Duration::ZERO);
        let seconds = wait.as_secs_f64().ceil().min(f64::from(MAX_RETRY_AFTER_SECONDS));
        (seconds as u32).max(1)
    }
}
