//! The order in which refused callers come back.

use std::time::Duration;

use ebony_types::ClockTime;

/// The longest delay that callers are asked to keep: about a third of the time that they usually have, and they give up
/// rather than wait for longer.
const MAX_RETURN_DELAY: Duration = Duration::from_millis(1_500);

/// Spreads the callers that one gateway refuses over the times at which permits are due, so that they do not come back
/// together and get refused together again.
///
/// ```
/// use std::time::Duration;
/// use ebony_limit::ReturnSchedule;
/// use ebony_types::ClockTime;
///
/// let (now, spacing) = (ClockTime::default(), Duration::from_millis(500));
/// let mut schedule = ReturnSchedule::default();
/// let mut delay = || schedule.delay(now, Duration::from_millis(100), spacing);
/// assert_eq!(delay(), Some(Duration::from_millis(100)));
/// assert_eq!(delay(), Some(Duration::from_millis(600)));
/// assert_eq!(delay(), Some(Duration::from_millis(1_100)));
/// assert_eq!(delay(), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnSchedule {
    next_at: ClockTime,
}

impl ReturnSchedule {
    /// Returns the delay of the next caller: not before a permit may be due after `wait`, and `spacing` after the caller
    /// before. Returns `None` if more callers are expected back than can be served by then.
    pub fn delay(&mut self, now: ClockTime, wait: Duration, spacing: Duration) -> Option<Duration> {
        let at = self.next_at.max(now + wait);
        let delay = at.since(now);
        if delay > MAX_RETURN_DELAY {
            return None;
        }
        self.next_at = at + spacing;
        Some(delay)
    }
}
