//! The estimated load of one target between load reports.
//!
//! Reports lag behind the target's state. The estimate is the last report, plus the calls that this entry sent after
//! it or too shortly before it to be included, minus the calls that have ended since.

use std::collections::VecDeque;
use std::time::Duration;

use ebony_types::ClockTime;
use ebony_wire::LoadReport;

use crate::speed::{EngineSpeed, clamp_tokens};

/// Maximum changes by this entry that are kept individually; older ones are merged into the reported load. At 2.7
/// calls per second and target and one report per second, fewer than ten occur between two reports.
const MAX_RECENT_CHANGES: usize = 64;

/// Weight of a new observation in an exponential moving average.
const OBSERVATION_WEIGHT: f64 = 0.1;

/// Measured slowdown up to which a target counts as normal. Prefill of other calls slows decode by a factor of up to
/// 1.4, and reacting to that would move programs away from their caches.
const SLOWDOWN_TOLERANCE: f64 = 1.5;

/// Range to which observed slowdowns are clamped, against outliers.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 16.0);

/// The load that one call adds to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallWork {
    /// Prompt tokens that are expected to need prefill.
    pub uncached_tokens: u64,
    /// Tokens of KV cache that the call adds.
    pub new_kv_tokens: u64,
}

/// A change of the load that reports may not include yet.
#[derive(Clone, Copy, Debug)]
struct LoadChange {
    at: ClockTime,
    calls: i64,
    prefill_tokens: i64,
    kv_tokens: i64,
}

/// The estimated load of a target.
#[derive(Clone, Debug)]
pub struct LoadView {
    slots: u32,
    reported_calls: i64,
    reported_prefill_tokens: i64,
    reported_kv_tokens: i64,
    kv_total_tokens: Option<u64>,
    recent: VecDeque<LoadChange>,
    own_calls: u32,
    slowdown: f64,
    mean_call_seconds: Option<f64>,
}

impl LoadView {
    pub(crate) fn open(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            reported_calls: 0,
            reported_prefill_tokens: 0,
            reported_kv_tokens: 0,
            kv_total_tokens: None,
            recent: VecDeque::new(),
            own_calls: 0,
            slowdown: 1.0,
            mean_call_seconds: None,
        }
    }

    /// Returns the number of calls that the target can run concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of this entry's calls that have not ended.
    pub fn own_calls(&self) -> u32 {
        self.own_calls
    }

    /// Returns the estimated number of running and queued calls.
    pub fn calls(&self) -> u32 {
        let recent: i64 = self.recent.iter().map(|change| change.calls).sum();
        let calls = (self.reported_calls + recent).max(i64::from(self.own_calls));
        u32::try_from(calls).unwrap_or(u32::MAX)
    }

    /// Returns the estimated prompt tokens that are pending prefill.
    pub fn prefill_tokens(&self) -> u64 {
        let recent: i64 = self.recent.iter().map(|change| change.prefill_tokens).sum();
        u64::try_from(self.reported_prefill_tokens + recent).unwrap_or(0)
    }

    /// Returns the estimated free tokens of KV cache; `None` before the first report.
    pub fn free_kv_tokens(&self) -> Option<u64> {
        let recent: i64 = self.recent.iter().map(|change| change.kv_tokens).sum();
        let used = u64::try_from(self.reported_kv_tokens + recent).unwrap_or(0);
        Some(self.kv_total_tokens?.saturating_sub(used))
    }

    /// Returns the share of the KV cache in use, in 0..=1; zero before the first report.
    pub fn kv_used_share(&self) -> f64 {
        match (self.kv_total_tokens, self.free_kv_tokens()) {
            (Some(total), Some(free)) if total > 0 => 1.0 - free as f64 / total as f64,
            _ => 0.0,
        }
    }

    /// Returns how many times slower than expected the target decodes, divided by the tolerance of 1.5; at least 1.
    pub fn slowdown(&self) -> f64 {
        (self.slowdown / SLOWDOWN_TOLERANCE).max(1.0)
    }

    /// Returns the mean seconds that a call occupies a slot; `None` until a call has ended.
    pub fn mean_call_seconds(&self) -> Option<f64> {
        self.mean_call_seconds
    }

    pub(crate) fn record_dispatch(&mut self, work: CallWork, now: ClockTime) {
        self.own_calls += 1;
        self.push(LoadChange {
            at: now,
            calls: 1,
            prefill_tokens: signed(work.uncached_tokens),
            kv_tokens: signed(work.new_kv_tokens),
        });
    }

    pub(crate) fn record_end(&mut self, now: ClockTime) {
        self.own_calls = self.own_calls.saturating_sub(1);
        self.push(LoadChange {
            at: now,
            calls: -1,
            prefill_tokens: 0,
            kv_tokens: 0,
        });
    }

    /// Records the first token of a call, which ends its prefill.
    pub(crate) fn record_first_token(&mut self, uncached_tokens: u64, now: ClockTime) {
        self.push(LoadChange {
            at: now,
            calls: 0,
            prefill_tokens: -signed(uncached_tokens),
            kv_tokens: 0,
        });
    }

    pub(crate) fn observe_call(&mut self, seconds: f64) {
        let mean = self.mean_call_seconds.unwrap_or(seconds);
        self.mean_call_seconds = Some(mean + (seconds - mean) * OBSERVATION_WEIGHT);
    }

    pub(crate) fn observe_slowdown(&mut self, ratio: f64) {
        let (low, high) = SLOWDOWN_RANGE;
        self.slowdown += (ratio.clamp(low, high) - self.slowdown) * OBSERVATION_WEIGHT;
    }

    /// Replaces the reported load. Changes older than `lag` are assumed to be included in the report.
    pub(crate) fn apply_report(
        &mut self,
        report: &LoadReport,
        speed: &EngineSpeed,
        lag: Duration,
        now: ClockTime,
    ) {
        self.reported_calls = i64::from(report.running) + i64::from(report.queued);
        self.reported_prefill_tokens = signed(report.pending_tokens);
        self.reported_kv_tokens = signed(speed.tokens_in(report.kv_bytes_held));
        self.kv_total_tokens = Some(speed.tokens_in(report.kv_bytes_total));
        self.recent.retain(|change| change.at + lag > now);
    }

    fn push(&mut self, change: LoadChange) {
        if self.recent.len() == MAX_RECENT_CHANGES
            && let Some(oldest) = self.recent.pop_front()
        {
            self.reported_calls += oldest.calls;
            self.reported_prefill_tokens += oldest.prefill_tokens;
            self.reported_kv_tokens += oldest.kv_tokens;
        }
        self.recent.push_back(change);
    }
}

/// Converts a token count for signed sums.
fn signed(tokens: u64) -> i64 {
    i64::try_from(clamp_tokens(tokens)).unwrap_or(i64::MAX)
}
