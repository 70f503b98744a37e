//! Exponential backoff between attempts to dial a host.

use std::time::Duration;

use ebony_types::ClockTime;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;

/// Wait after the first failure, before jitter.
pub const BASE_WAIT: Duration = Duration::from_millis(100);

/// Maximum wait, before jitter.
pub const MAX_WAIT: Duration = Duration::from_secs(10);

/// After a link that was up for this long is lost, the wait starts again at [`BASE_WAIT`].
pub const STABLE_AFTER: Duration = Duration::from_secs(30);

/// Doublings after which the wait stays the same: 100 ms times 2^7 is above [`MAX_WAIT`].
const MAX_DOUBLINGS: u32 = 7;

/// Computes the wait before the next attempt. It doubles with every failed attempt and with every link that was lost
/// within [`STABLE_AFTER`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DialBackoff {
    failures: u32,
}

impl DialBackoff {
    /// Counts a failed attempt, or the loss of a link that was up since `up_since`, and returns when to dial again.
    ///
    /// Jitter spreads the wait over 0.5 to 1.5 times its length, so that entries that lost the same host do not
    /// reconnect at the same time.
    pub fn next_dial(
        &mut self,
        up_since: Option<ClockTime>,
        now: ClockTime,
        rng: &mut ChaCha8Rng,
    ) -> ClockTime {
        if up_since.is_some_and(|since| now.since(since) >= STABLE_AFTER) {
            self.failures = 0;
        }
        let wait = BASE_WAIT * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        let wait = wait.min(MAX_WAIT).as_micros() as u64;
        let jitter = rng.next_u64() % (wait + 1);
        now + Duration::from_micros(wait / 2 + jitter)
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
