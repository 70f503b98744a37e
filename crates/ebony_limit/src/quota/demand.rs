//! How many tokens the calls of one customer need at one gateway.

use ebony_types::ClockTime;

/// The time over which calls are counted, in seconds.
const AVERAGING_TIME_S: f64 = 1.0;

/// The calls of the last second, weighted by their age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandRate {
    weight: f64,
    at: ClockTime,
}

impl DemandRate {
    /// Creates the rate of a customer without calls.
    pub fn open(now: ClockTime) -> Self {
        Self { weight: 0.0, at: now }
    }

    /// Counts a call.
    ///
    /// ```
    /// use ebony_limit::quota::demand::DemandRate;
    /// use ebony_types::ClockTime;
    ///
    /// let mut demand = DemandRate::open(ClockTime::default());
    /// for call in 0..100 {
    ///     demand.record(ClockTime::from_millis(call * 100));
    /// }
    /// assert!((demand.per_second(ClockTime::from_millis(9_900)) - 10.0).abs() < 1.0);
    /// assert!(demand.per_second(ClockTime::from_millis(13_000)) < 1.0);
    /// ```
    pub fn record(&mut self, now: ClockTime) {
        self.weight = self.weight_at(now) + 1.0;
        self.at = now;
    }

    /// Returns the calls a second.
    pub fn per_second(&self, now: ClockTime) -> f64 {
        self.weight_at(now) / AVERAGING_TIME_S
    }

    fn weight_at(&self, now: ClockTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.weight * (-age / AVERAGING_TIME_S).exp()
    }
}
