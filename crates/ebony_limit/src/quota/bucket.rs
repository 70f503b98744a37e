//! A bucket of tokens that fills at a rate.

use ebony_types::ClockTime;

/// Holds tokens. Its level may fall below zero, for tokens that are issued before they are due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    filled_at: ClockTime,
}

impl TokenBucket {
    /// Creates a bucket with some tokens.
    pub fn open(level: f64, now: ClockTime) -> Self {
        Self {
            level,
            filled_at: now,
        }
    }

    /// Returns the tokens in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adds the tokens that became due since the last time, and discards what exceeds the capacity.
    ///
    /// ```
    /// use ebony_limit::quota::bucket::TokenBucket;
    /// use ebony_types::ClockTime;
    ///
    /// let mut bucket = TokenBucket::open(0.0, ClockTime::from_millis(0));
    /// bucket.fill(4.0, 10.0, ClockTime::from_millis(500));
    /// assert_eq!(bucket.level(), 2.0);
    /// bucket.fill(4.0, 10.0, ClockTime::from_millis(60_000));
    /// assert_eq!(bucket.level(), 10.0);
    /// ```
    pub fn fill(&mut self, rate: f64, capacity: f64, now: ClockTime) {
        let due = rate * now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + due).min(capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes tokens out, or puts some back if the number is negative.
    pub fn draw(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Returns the seconds until the bucket holds a number of tokens.
    pub fn wait_for(&self, tokens: f64, rate: f64) -> f64 {
        let missing = tokens - self.level;
        if missing <= 0.0 {
            return 0.0;
        }
        missing / rate.max(f64::EPSILON)
    }
}
