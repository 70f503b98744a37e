//! Waits between attempts to dial a host.

use std::time::Duration;

use ebony_types::ClockTime;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;

/// The first wait, before jitter.
pub const BASE_WAIT: Duration = Duration::from_millis(100);

/// The longest wait, before jitter.
pub const MAX_WAIT: Duration = Duration::from_secs(10);

/// A link that stayed up for this long counts as stable, and its loss starts again at [`BASE_WAIT`].
pub const STABLE_AFTER: Duration = Duration::from_secs(30);

/// Doublings after which the wait stays the same: 100 ms times 2^7 is above [`MAX_WAIT`].
const MAX_DOUBLINGS: u32 = 7;

/// The wait before the next attempt: it doubles with every failure, and with every link that was lost before it was
/// stable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DialBackoff {
    failures: u32,
}

impl DialBackoff {
    /// Counts a failed attempt, or a link that was up since `up_since`, and returns when to dial again.
    ///
    /// The wait is spread over half to one and a half of its length, so that entries that lost the same host do not
    /// come back at the same moment.
    pub fn next_dial(
        &mut self,
        up_since: Option<ClockTime>,
        now: ClockTime,
        source: &mut ChaCha8Rng,
    ) -> ClockTime {
        if up_since.is_some_and(|since| now.since(since) >= STABLE_AFTER) {
            self.failures = 0;
        }
        let wait = BASE_WAIT * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        let wait = wait.min(MAX_WAIT).as_micros() as u64;
        let jitter = source.next_u64() % (wait + 1);
        now + Duration::from_micros(wait / 2 + jitter)
    }

    /// Returns the failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
