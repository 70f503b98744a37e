//! The load of a target.

use ebony_types::ClockTime;

use crate::options::DispatchOptions;

/// What a target said of its load in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadNotice {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that run at once at the most.
    pub slots: u32,
}

/// The load of a target: the entry's own calls, and an estimate of those of other entries.
///
/// ```
/// use std::time::Duration;
/// use ebony_dispatch::load::{LoadNotice, TargetLoad};
/// use ebony_dispatch::DispatchOptions;
/// use ebony_types::ClockTime;
///
/// let options = DispatchOptions::default();
/// let now = ClockTime::default();
/// let mut load = TargetLoad::default();
/// load.begin(1_000);
/// load.record_notice(LoadNotice { running: 5, waiting: 0, slots: 8 }, now);
/// assert_eq!(load.calls(&options, now), 5.0);
/// // The part of other entries fades, because the notice ages.
/// assert_eq!(load.calls(&options, now + options.report_half_life), 3.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLoad {
    own_calls: u32,
    own_prefill: u64,
    others: u32,
    noticed_at: ClockTime,
}

impl TargetLoad {
    /// Notes a call of this entry whose prompt needs about `prefill` tokens read.
    pub fn begin(&mut self, prefill: u64) {
        self.own_calls += 1;
        self.own_prefill += prefill;
    }

    /// Notes that the prompt of a call of this entry has been read.
    pub fn end_prefill(&mut self, prefill: u64) {
        self.own_prefill = self.own_prefill.saturating_sub(prefill);
    }

    /// Notes the end of a call of this entry.
    pub fn end(&mut self) {
        self.own_calls = self.own_calls.saturating_sub(1);
    }

    /// Notes what the target said of its load.
    pub fn record_notice(&mut self, notice: LoadNotice, now: ClockTime) {
        let total = notice.running.saturating_add(notice.waiting);
        self.others = total.saturating_sub(self.own_calls);
        self.noticed_at = now;
    }

    /// Returns the entry's own calls.
    pub fn own_calls(&self) -> u32 {
        self.own_calls
    }

    /// Returns the prompt tokens of the entry's own calls that are still to be read.
    pub fn own_prefill(&self) -> u64 {
        self.own_prefill
    }

    /// Returns the estimated calls of all entries.
    pub fn calls(&self, options: &DispatchOptions, now: ClockTime) -> f64 {
        let age = now.since(self.noticed_at).as_secs_f64();
        let half_lives = age / options.report_half_life.as_secs_f64();
        f64::from(self.own_calls) + f64::from(self.others) * 0.5_f64.powf(half_lives)
    }
}
