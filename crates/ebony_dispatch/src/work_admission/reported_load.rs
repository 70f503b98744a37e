//! The load of a service as its targets reported it.

use std::time::Duration;

use ebony_types::ClockTime;

use super::decay_factor;
use crate::load::LoadNotice;

/// The time constant of the average. Reports are 100 to 300 ms old when they arrive, so that a shorter one would not
/// show the load any earlier.
const REPORT_TIME: Duration = Duration::from_millis(250);

/// The weight of reports below which the load counts as unknown: that of one report after 750 ms.
const MIN_WEIGHT: f64 = 0.05;

/// The mean load over recent reports, in calls per slot.
///
/// A report counts for the whole service and not for its target only: with 34 gateways and 40 engines, a gateway hears
/// of each engine once in some seconds, but of some engine every 50 ms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedLoad {
    sum: f64,
    weight: f64,
    updated_at: ClockTime,
}

impl ReportedLoad {
    pub(crate) fn record(&mut self, notice: LoadNotice, now: ClockTime) {
        self.advance(now);
        let calls = notice.running.saturating_add(notice.waiting);
        self.sum += f64::from(calls) / f64::from(notice.slots.max(1));
        self.weight += 1.0;
    }

    /// Returns the load; `None` without recent reports.
    pub(crate) fn mean(&self, now: ClockTime) -> Option<f64> {
        let mut load = *self;
        load.advance(now);
        (load.weight > MIN_WEIGHT).then(|| load.sum / load.weight)
    }

    fn advance(&mut self, now: ClockTime) {
        let factor = decay_factor(now.since(self.updated_at), REPORT_TIME);
        self.sum *= factor;
        self.weight *= factor;
        self.updated_at = now;
    }
}
