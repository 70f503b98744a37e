//! The representation of time in the decision crates, which read no clock themselves.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on a process's monotonic clock, in microseconds since an arbitrary start.
///
/// Decision crates receive it with every event. Times of different processes must not be compared.
///
/// ```
/// use std::time::Duration;
/// use ebony_types::ClockTime;
///
/// let start = ClockTime::from_micros(1_000);
/// let later = start + Duration::from_millis(2);
/// assert_eq!(later.since(start), Duration::from_millis(2));
/// assert_eq!(start.since(later), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClockTime(u64);

impl ClockTime {
    /// Creates a time from microseconds since the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a time from milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for ClockTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
