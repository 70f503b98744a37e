//! Permits to send requests at a limited rate.

use std::time::Duration;

use ebony_types::ClockTime;

use crate::rate::RequestRate;

/// How long unused permits are kept, so that calls that arrive in a burst need not wait for each other.
const BURST_TIME: Duration = Duration::from_millis(250);

/// What happens to permits that no call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnusedPermits {
    /// They are kept for [`BURST_TIME`], and the last one for an interval.
    Kept,
    /// They expire after [`BURST_TIME`]. Otherwise many gateways with a small share each could use kept permits at the
    /// same time.
    Expire,
}

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
    unused: UnusedPermits,
}

impl PermitBucket {
    /// Creates a bucket whose first permit is due after one interval, because whoever issued permits before may have
    /// issued one just now.
    pub fn open(rate: RequestRate, now: ClockTime) -> Self {
        Self {
            rate,
            next_at: now + rate.interval(),
            unused: UnusedPermits::Kept,
        }
    }

    /// Creates the bucket of a small share, whose permits are due at fixed times. The first one is due after a `phase`,
    /// from 0 to 1, of the interval; gateways with different phases spread their requests.
    pub fn open_share(rate: RequestRate, now: ClockTime, phase: f64) -> Self {
        Self {
            rate,
            next_at: now + rate.interval().mul_f64(phase.clamp(0.0, 1.0)),
            unused: UnusedPermits::Expire,
        }
    }

    /// Returns the rate.
    pub fn rate(&self) -> RequestRate {
        self.rate
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
        let due = match self.unused {
            UnusedPermits::Kept => {
                let kept = BURST_TIME.max(self.rate.interval());
                self.next_at.max(earlier(now, kept))
            }
            UnusedPermits::Expire => self.next_unexpired(now),
        };
        let wait = due.since(now);
        if wait > max_wait {
            return PermitDecision::Denied { wait };
        }
        self.next_at = due + self.rate.interval();
        PermitDecision::Granted { wait }
    }

    /// Returns when the first permit is due that has not expired.
    fn next_unexpired(&self, now: ClockTime) -> ClockTime {
        let expired = earlier(now, BURST_TIME).since(self.next_at);
        let interval = self.rate.interval().max(Duration::from_micros(1));
        let missed = expired.as_micros().div_ceil(interval.as_micros());
        let missed = u32::try_from(missed).unwrap_or(u32::MAX);
        self.next_at + interval.saturating_mul(missed)
    }

    /// Takes back a permit whose call was not sent.
    pub fn put_back(&mut self) {
        self.next_at = earlier(self.next_at, self.rate.interval());
    }
}

fn earlier(time: ClockTime, by: Duration) -> ClockTime {
    let by = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
    ClockTime::from_micros(time.as_micros().saturating_sub(by))
}
