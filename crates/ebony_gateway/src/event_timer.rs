//! The time that a target takes for the events of a stream.

use std::time::Duration;

use ebony_types::ClockTime;

/// The number of events in one measurement. The network delivers several events at a time, so that the time of single
/// ones says little.
const MEASURED_EVENTS: u32 = 16;

/// The least share of a measurement for which the gateway waited for the target. Otherwise the caller read slowly, and
/// events were ready earlier than they were taken.
const MIN_WAITING_SHARE: f64 = 0.8;

/// Measures the time of events, without the time for which the caller kept the target waiting.
#[derive(Debug, Default)]
pub(crate) struct EventTimer {
    since: Option<ClockTime>,
    events: u32,
    waited: Duration,
}

impl EventTimer {
    /// Records a time for which the gateway waited for the target.
    pub(crate) fn record_wait(&mut self, wait: Duration) {
        self.waited += wait;
    }

    /// Records events that were taken. Returns the number and the time of the events of a measurement that ended.
    pub(crate) fn record_events(&mut self, events: u32, now: ClockTime) -> Option<(u32, Duration)> {
        let Some(since) = self.since else {
            self.restart(now);
            return None;
        };
        self.events += events;
        if self.events < MEASURED_EVENTS {
            return None;
        }
        let elapsed = now.since(since);
        let measured = (self.events, elapsed);
        let is_of_target = self.waited.as_secs_f64() >= elapsed.as_secs_f64() * MIN_WAITING_SHARE;
        self.restart(now);
        is_of_target.then_some(measured)
    }

    fn restart(&mut self, now: ClockTime) {
        *self = Self {
            since: Some(now),
            ..Self::default()
        };
    }
}
