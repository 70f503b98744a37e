//! Load estimates of a target.

use ebony_types::ClockTime;

use crate::options::DispatchOptions;
use crate::slowdown::SlowdownFactor;

/// The load that a target reported with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadNotice {
    /// Running calls.
    pub running: u32,
    /// Queued calls.
    pub waiting: u32,
    /// The most calls that run at once.
    pub slots: u32,
    /// How long work takes on the target's host now, relative to the usual time; `None` if the target does not say.
    pub slowdown: Option<SlowdownFactor>,
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
/// load.record_notice(LoadNotice { running: 5, slots: 8, ..LoadNotice::default() }, now);
/// assert_eq!(load.calls(&options, now), 5.0);
/// // The share of other entries decays with the age of the report.
/// assert_eq!(load.calls(&options, now + options.report_half_life), 3.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLoad {
    own_calls: u32,
    own_prefill: u64,
    own_tokens: u64,
    other_calls: u32,
    reported_at: ClockTime,
}

impl TargetLoad {
    /// Counts a call that this entry sent, whose prompt requires about `prefill` tokens to be prefilled.
    pub fn begin(&mut self, prefill: u64) {
        self.own_calls += 1;
        self.own_prefill += prefill;
    }

    /// Records that the prompt of a call of this entry was prefilled.
    pub fn end_prefill(&mut self, prefill: u64) {
        self.own_prefill = self.own_prefill.saturating_sub(prefill);
    }

    /// Records the end of a call of this entry.
    pub fn end(&mut self) {
        self.own_calls = self.own_calls.saturating_sub(1);
    }

    /// Counts the memory that a call of this entry needs.
    pub fn hold_tokens(&mut self, tokens: u64) {
        self.own_tokens = self.own_tokens.saturating_add(tokens);
    }

    /// Records that a call of this entry needs no memory any more.
    pub fn free_tokens(&mut self, tokens: u64) {
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
    }

    /// Returns the memory that the entry's own calls need, in tokens.
    pub fn own_tokens(&self) -> u64 {
        self.own_tokens
    }

    /// Takes over the load that the target reported. What exceeds the entry's own calls counts for other entries.
    pub fn record_notice(&mut self, notice: LoadNotice, now: ClockTime) {
        let total = notice.running.saturating_add(notice.waiting);
        self.other_calls = total.saturating_sub(self.own_calls);
        self.reported_at = now;
    }

    /// Returns the number of the entry's own calls.
    pub fn own_calls(&self) -> u32 {
        self.own_calls
    }

    /// Returns the prompt tokens of the entry's own calls that are not prefilled yet.
    pub fn own_prefill(&self) -> u64 {
        self.own_prefill
    }

    /// Returns the number of calls of other entries, as last reported.
    pub fn other_calls(&self) -> u32 {
        self.other_calls
    }

    /// Returns the weight of the last report, which halves with each half-life; 0 without a report.
    pub fn report_weight(&self, options: &DispatchOptions, now: ClockTime) -> f64 {
        if self.reported_at == ClockTime::default() {
            return 0.0;
        }
        let age = now.since(self.reported_at).as_secs_f64();
        0.5_f64.powf(age / options.report_half_life.as_secs_f64())
    }

    /// Returns the estimated number of calls of all entries.
    pub fn calls(&self, options: &DispatchOptions, now: ClockTime) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        let half_lives = age / options.report_half_life.as_secs_f64();
        f64::from(self.own_calls) + f64::from(self.other_calls) * 0.5_f64.powf(half_lives)
    }
}
