//! The process's monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use ebony_config::WallTime;
use ebony_types::ClockTime;

/// Counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(self) -> ClockTime {
        let micros = self.start.elapsed().as_micros();
        ClockTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Returns the time of day, by which exceptions of the configuration expire.
pub(crate) fn wall_time() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since_epoch.as_secs())
}
