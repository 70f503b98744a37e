//! Progress output on standard error.

use std::time::Duration;

/// Progress counters of a replay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayProgress {
    pub(crate) programs: usize,
    pub(crate) ended: usize,
    pub(crate) in_flight: usize,
    pub(crate) sent: u64,
    pub(crate) repeated: u64,
}

impl ReplayProgress {
    pub(crate) fn print(&self, run: &str, elapsed: Duration) {
        eprintln!(
            "{run}: {:>3} s, {} of {} programs ended, {} calls sent, {} under way, {} repeated",
            elapsed.as_secs(),
            self.ended,
            self.programs,
            self.sent,
            self.in_flight,
            self.repeated,
        );
    }
}
