//! The quota of one customer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rate::RequestRate;

/// Micro-tokens in one token.
const MICROS: f64 = 1_000_000.0;

/// The capacity of a bucket whose quota has a smaller burst, in seconds of the rate and in tokens. In any 5 s, 5.5 s of
/// the rate and 20 requests are tolerated beyond the burst; the rest of them is left for changes of the issuer. One
/// second of the rate, the most that a bucket without a burst holds, would exceed that from 40 requests a second on.
const MIN_CAPACITY_TIME: Duration = Duration::from_millis(300);
const MIN_CAPACITY_TOKENS: f64 = 7.0;
const MAX_UNSTATED_TIME: Duration = Duration::from_secs(1);

/// The least capacity, in tokens. With less, a customer of a few requests a second is refused for two that come together,
/// and cannot use its quota.
const LEAST_CAPACITY: f64 = 6.0;

/// What gateways may use of a share that another one may still be issuing, in seconds of the rate and in tokens: a part
/// of what the tolerance leaves, divided by the time for which it is uncertain.
const DOUBT_ALLOWANCE_TIME: Duration = Duration::from_millis(100);
const DOUBT_ALLOWANCE_TOKENS: f64 = 4.0;
const DOUBT_TIME: Duration = Duration::from_millis(1_200);

/// Why a number is not a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RuleError {
    /// The burst is negative, infinite or not a number.
    #[error("a burst is a finite number that is not negative")]
    BurstOutOfRange,
}

/// The result of creating a quota.
pub type Result<T, E = RuleError> = std::result::Result<T, E>;

/// The quota of one customer: a rate and a burst, as the configuration states them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuotaRule {
    /// The requests a second.
    pub rate: RequestRate,
    /// The burst in micro-tokens, so that quotas compare and encode exactly.
    burst: u64,
}

impl QuotaRule {
    /// Creates a quota.
    ///
    /// ```
    /// use ebony_limit::RequestRate;
    /// use ebony_limit::quota::QuotaRule;
    ///
    /// let rate = RequestRate::per_second(10.0)?;
    /// assert_eq!(QuotaRule::open(rate, 25.0)?.capacity(), 25.0);
    /// assert_eq!(QuotaRule::open(rate, 0.0)?.capacity(), 10.0);
    /// assert!(QuotaRule::open(rate, f64::INFINITY).is_err());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns [`RuleError`] if the burst is negative, infinite or not a number.
    pub fn open(rate: RequestRate, burst: f64) -> Result<Self> {
        if !burst.is_finite() || burst < 0.0 {
            return Err(RuleError::BurstOutOfRange);
        }
        // The conversion saturates.
        let burst = (burst * MICROS).round() as u64;
        Ok(Self { rate, burst })
    }

    /// Returns the burst in tokens, as the configuration states it.
    pub fn burst(&self) -> f64 {
        self.burst as f64 / MICROS
    }

    /// Returns the most tokens that may be unused at a time, in the bucket and in blocks together.
    pub fn capacity(&self) -> f64 {
        let rate = self.rate.as_per_second();
        let tolerated = rate * MIN_CAPACITY_TIME.as_secs_f64() + MIN_CAPACITY_TOKENS;
        let unstated = rate * MAX_UNSTATED_TIME.as_secs_f64();
        self.burst().max(unstated.min(tolerated)).max(LEAST_CAPACITY)
    }

    /// Returns the part of its own share that a gateway may use while another one may still be issuing it.
    ///
    /// ```
    /// use ebony_limit::RequestRate;
    /// use ebony_limit::quota::QuotaRule;
    ///
    /// let part = |rate| Ok::<_, Box<dyn std::error::Error>>(
    ///     QuotaRule::open(RequestRate::per_second(rate)?, 0.0)?.doubtful_part(),
    /// );
    /// assert_eq!(part(3.0)?, 1.0);
    /// assert!(part(1_000.0)? < 0.2);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn doubtful_part(&self) -> f64 {
        let rate = self.rate.as_per_second();
        let allowance = rate * DOUBT_ALLOWANCE_TIME.as_secs_f64() + DOUBT_ALLOWANCE_TOKENS;
        (allowance / (rate * DOUBT_TIME.as_secs_f64())).min(1.0)
    }
}
