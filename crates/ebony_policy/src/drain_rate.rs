//! Measures how fast a backlog drains, for honest retry times and early refusals.

use std::time::Duration;

use ebony_types::ClockTime;

/// The longest retry time that is told, in seconds. A longer forecast would rest on a rate that has changed by then.
pub const MAX_RETRY_AFTER_SECONDS: u32 = 60;

/// An exponentially weighted rate of served amounts, in units per second of busy time.
///
/// Idle time does not count: a backlog that is empty drains nothing, yet says nothing about the speed of draining.
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
/// let wait = rate.time_for(500).unwrap();
/// assert!((9..=11).contains(&wait.as_secs()));
/// ```
#[derive(Clone, Debug)]
pub struct DrainRate {
    window_seconds: f64,
    weighted_amount: f64,
    weighted_seconds: f64,
    last: Option<ClockTime>,
    busy_since: Option<ClockTime>,
}

impl DrainRate {
    /// Creates a rate that forgets with the given time constant.
    pub fn open(window: Duration) -> Self {
        Self {
            window_seconds: window.as_secs_f64().max(f64::MIN_POSITIVE),
            weighted_amount: 0.0,
            weighted_seconds: 0.0,
            last: None,
            busy_since: None,
        }
    }

    /// Records that `amount` units were served and whether more wait. Units that did not wait do not count.
    pub fn record(&mut self, amount: u64, is_busy: bool, now: ClockTime) {
        let has_waited = self.busy_since.is_some_and(|since| since < now);
        self.advance(is_busy, now);
        if has_waited {
            self.weighted_amount += amount as f64;
        }
    }

    /// Advances the clock and notes whether units wait from here on.
    pub fn advance(&mut self, is_busy: bool, now: ClockTime) {
        if let Some(last) = self.last
            && self.busy_since.is_some()
        {
            let elapsed = now.since(last).as_secs_f64();
            let kept = (-elapsed / self.window_seconds).exp();
            self.weighted_amount *= kept;
            self.weighted_seconds = self.weighted_seconds * kept + self.window_seconds * (1.0 - kept);
        }
        self.last = Some(now);
        self.busy_since = is_busy.then(|| self.busy_since.unwrap_or(now));
    }

    /// Returns the rate in units per second; `None` before a tenth of the window was busy.
    pub fn per_second(&self) -> Option<f64> {
        let is_known = self.weighted_seconds >= self.window_seconds / 10.0 && self.weighted_amount > 0.0;
        is_known.then(|| self.weighted_amount / self.weighted_seconds)
    }

    /// Returns the time in which `amount` units drain; `None` while the rate is unknown.
    pub fn time_for(&self, amount: u64) -> Option<Duration> {
        let seconds = amount as f64 / self.per_second()?;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Returns whole seconds after which `amount` units have drained: at least 1 and at most
    /// [`MAX_RETRY_AFTER_SECONDS`]; 1 while the rate is unknown.
    pub fn retry_after_seconds(&self, amount: u64) -> u32 {
        let wait = self.time_for(amount).unwrap_or(Duration::ZERO);
        let seconds = wait.as_secs_f64().ceil().min(f64::from(MAX_RETRY_AFTER_SECONDS));
        (seconds as u32).max(1)
    }
}
