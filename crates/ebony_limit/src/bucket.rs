//! Permits to send requests at a limited rate.

use std::time::Duration;

use ebony_types::ClockTime;

use crate::rate::RequestRate;

/// How long unused permits are kept, so that calls that arrive in a burst need not wait for each other.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The call may be sent after a wait.
    Granted {
        /// The wait.
        wait: Duration,
    },
    /// The next permit is not due within the time that the call may wait.
    Denied {
        /// The time until the next permit is due.
        wait: Duration,
    },
}

/// Issues permits at a limited rate, in the order in which they are asked for.
///
/// ```
/// use std::time::Duration;
/// use ebony_limit::{PermitBucket, PermitDecision, RequestRate};
/// use ebony_types::ClockTime;
///
/// let start = ClockTime::default();
/// let rate = RequestRate::per_second(2.0)?;
/// let mut bucket = PermitBucket::open(rate, start);
/// let patience = Duration::from_secs(1);
/// let first = bucket.take(start, patience);
/// assert_eq!(first, PermitDecision::Granted { wait: Duration::from_millis(500) });
/// let second = bucket.take(start, patience);
/// assert_eq!(second, PermitDecision::Granted { wait: Duration::from_secs(1) });
/// let third = bucket.take(start, patience);
/// assert_eq!(third, PermitDecision::Denied { wait: Duration::from_millis(1_500) });
/// # Ok::<(), ebony_limit::rate::RateError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitBucket {
    rate: RequestRate,
    /// When the next permit is due.
    next_at: ClockTime,
}

impl PermitBucket {
    /// Creates a bucket whose first permit is due after one interval, because whoever issued permits before may have
    /// issued one just now.
    pub fn open(rate: RequestRate, now: ClockTime) -> Self {
        Self {
            rate,
            next_at: now + rate.interval(),
        }
    }

    /// Changes the rate. The permits that are issued ahead stay issued.
    pub fn set_rate(&mut self, rate: RequestRate, now: ClockTime) {
        if rate == self.rate {
            return;
        }
        let is_lower = rate < self.rate;
        let ahead =
            self.next_at.since(now).as_secs_f64() / self.rate.interval().as_secs_f64().max(f64::EPSILON);
        let ahead = Duration::try_from_secs_f64(ahead * rate.interval().as_secs_f64());
        self.rate = rate;
        self.next_at = now + ahead.unwrap_or_default();
        if is_lower {
            // Gateways that all lower their rate at once must not each send a request for it.
            self.next_at = self.next_at.max(now + rate.interval());
        }
    }

    /// Issues a permit for a call that waits `max_wait` at most.
    pub fn take(&mut self, now: ClockTime, max_wait: Duration) -> PermitDecision {
        let oldest = ClockTime::from_micros(now.as_micros().saturating_sub(BURST_TIME.as_micros() as u64));
        let due = self.next_at.max(oldest);
        let wait = due.since(now);
        if wait > max_wait {
            return PermitDecision::Denied { wait };
        }
        self.next_at = due + self.rate.interval();
        PermitDecision::Granted { wait }
    }

    /// Takes back a permit whose call was not sent.
    pub fn put_back(&mut self) {
        let interval = self.rate.interval().as_micros() as u64;
        self.next_at = ClockTime::from_micros(self.next_at.as_micros().saturating_sub(interval));
    }
}
