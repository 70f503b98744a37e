//! Slow-downs of hosts, as reported by their targets.

use std::time::Duration;

use ebony_types::ClockTime;

/// The half-life of the weight of a reported slow-down. Slow spells of hosts last about 600 ms; the test
/// `half_life_of_slowdowns` compares half-lives against spells of this length.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(300);

/// How long work takes on a host, relative to the usual time, between [`Self::MIN_PERCENT`] and [`Self::MAX_PERCENT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowdownFactor {
    percent: u16,
}

impl SlowdownFactor {
    /// The least slow-down, in percent.
    pub const MIN_PERCENT: u16 = 25;

    /// The greatest slow-down, in percent.
    pub const MAX_PERCENT: u16 = 800;

    /// Creates a factor from percent. Values beyond the bounds count as the nearest bound.
    ///
    /// ```
    /// use ebony_dispatch::slowdown::SlowdownFactor;
    ///
    /// assert_eq!(SlowdownFactor::from_percent(250).as_f64(), 2.5);
    /// assert_eq!(SlowdownFactor::from_percent(9_000).as_f64(), 8.0);
    /// assert_eq!(SlowdownFactor::from_percent(0).as_f64(), 0.25);
    /// ```
    pub fn from_percent(percent: u16) -> Self {
        Self {
            percent: percent.clamp(Self::MIN_PERCENT, Self::MAX_PERCENT),
        }
    }

    /// Returns the factor by which work takes longer.
    pub fn as_f64(self) -> f64 {
        f64::from(self.percent) / 100.0
    }
}

/// The slow-down that a target last reported. Its weight halves with each half-life, because other work on the host
/// changes the slow-down many times a second.
///
/// ```
/// use std::time::Duration;
/// use ebony_dispatch::slowdown::{ReportedSlowdown, SlowdownFactor};
/// use ebony_types::ClockTime;
///
/// let now = ClockTime::default();
/// let mut slowdown = ReportedSlowdown::default();
/// assert_eq!(slowdown.factor(now), 1.0);
/// slowdown.record(SlowdownFactor::from_percent(300), now);
/// assert_eq!(slowdown.factor(now), 3.0);
/// assert_eq!(slowdown.factor(now + Duration::from_millis(300)), 2.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedSlowdown {
    latest: Option<(SlowdownFactor, ClockTime)>,
}

impl ReportedSlowdown {
    /// Records a report.
    pub fn record(&mut self, factor: SlowdownFactor, now: ClockTime) {
        self.latest = Some((factor, now));
    }

    /// Returns whether the target has reported a slow-down.
    pub fn is_known(&self) -> bool {
        self.latest.is_some()
    }

    /// Returns the factor by which work is expected to take longer now.
    pub fn factor(&self, now: ClockTime) -> f64 {
        self.factor_with(REPORT_HALF_LIFE, now)
    }

    /// Returns the factor for another half-life of the report's weight.
    pub fn factor_with(&self, half_life: Duration, now: ClockTime) -> f64 {
        let Some((factor, reported_at)) = self.latest else {
            return 1.0;
        };
        let half_lives = now.since(reported_at).as_secs_f64() / half_life.as_secs_f64();
        1.0 + (factor.as_f64() - 1.0) * 0.5_f64.powf(half_lives)
    }
}
