//! Request rates.

use std::fmt;
use std::iter::Sum;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Micro-requests in one request.
const MICROS: f64 = 1_000_000.0;

/// The lowest rate at which a limited target is called, in micro-requests a second: one request in 10 s. Only the answer
/// to a request can show that the target has lifted its limit, even one of zero.
const TRIAL_RATE: RequestRate = RequestRate(100_000);

/// The interval of a rate of zero.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);

/// Why a number is not a request rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RateError {
    /// The number is negative, infinite or not a number.
    #[error("a request rate is a finite number that is not negative")]
    OutOfRange,
}

/// The result of converting a number to a rate.
pub type Result<T, E = RateError> = std::result::Result<T, E>;

/// A rate of requests, in millionths of a request a second, so that rates compare and encode exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate from requests a second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ebony_limit::RequestRate;
    ///
    /// let rate = RequestRate::per_second(2.5)?;
    /// assert_eq!(rate.interval(), Duration::from_millis(400));
    /// assert!(RequestRate::per_second(f64::NAN).is_err());
    /// # Ok::<(), ebony_limit::rate::RateError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns [`RateError`] if the number is negative, infinite or not a number.
    pub fn per_second(requests: f64) -> Result<Self> {
        if !requests.is_finite() || requests < 0.0 {
            return Err(RateError::OutOfRange);
        }
        // The conversion saturates.
        Ok(Self((requests * MICROS).round() as u64))
    }

    /// Returns the rate in requests a second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / MICROS
    }

    /// Returns the rate, or that of one request in 10 s if it is lower, so that the end of any limit is noticed.
    #[must_use]
    pub fn at_least_trials(self) -> Self {
        self.max(TRIAL_RATE)
    }

    /// Returns the interval between two requests, at most a day.
    pub fn interval(self) -> Duration {
        let seconds = 1.0 / self.as_per_second();
        Duration::try_from_secs_f64(seconds).map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL))
    }

    /// Returns an even share of the rate for one of `sharers`.
    ///
    /// ```
    /// use ebony_limit::RequestRate;
    ///
    /// let rate = RequestRate::per_second(0.8)?;
    /// assert_eq!(rate.share_of(8).as_per_second(), 0.1);
    /// # Ok::<(), ebony_limit::rate::RateError>(())
    /// ```
    #[must_use]
    pub fn share_of(self, sharers: usize) -> Self {
        let sharers = u64::try_from(sharers.max(1)).unwrap_or(u64::MAX);
        Self(self.0 / sharers)
    }
}

impl Sum for RequestRate {
    fn sum<I: Iterator<Item = Self>>(rates: I) -> Self {
        Self(rates.fold(0, |sum, rate| sum.saturating_add(rate.0)))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.as_per_second())
    }
}
