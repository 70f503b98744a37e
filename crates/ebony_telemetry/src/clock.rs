//! The clocks of a process, for decision crates that have none.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ebony_types::ClockTime;

/// Counts from its start. Copies count from the same start.
///
/// ```
/// use ebony_telemetry::ProcessClock;
///
/// let clock = ProcessClock::start();
/// let earlier = clock.now();
/// assert!(clock.now() >= earlier);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts to count.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(self) -> ClockTime {
        let micros = self.start.elapsed().as_micros();
        ClockTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Returns the time of day as the duration since 1970-01-01 00:00 UTC; zero if the host's clock is set before that.
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
