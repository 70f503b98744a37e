//! The clocks of a process. Decision crates read no clock; they are given the time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ebony_types::ClockTime;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that counts from its start. Copies share the start.
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
    /// Starts the clock.
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

/// A monotonic clock that counts from its start, including the time for which the host is suspended. Copies share the
/// start.
///
/// ```
/// use ebony_telemetry::BootClock;
///
/// let clock = BootClock::start();
/// let earlier = clock.now();
/// assert!(clock.now() >= earlier);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the time since the start.
    pub fn now(self) -> ClockTime {
        let micros = since_boot().saturating_sub(self.start).as_micros();
        ClockTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or_default())
}

/// Returns the wall-clock time as the duration since the Unix epoch; zero if the host's clock is set before the epoch.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
