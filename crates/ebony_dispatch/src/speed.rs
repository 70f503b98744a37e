//! The speed of targets relative to their service, learned from the entry's own calls.

use std::time::Duration;

use ebony_types::ClockTime;

/// The least and the greatest time factor of a target.
const FACTOR_BOUNDS: (f64, f64) = (0.2, 5.0);

/// The weight of the assumption that a target is as fast as its service, in samples.
const PRIOR_SAMPLES: f64 = 1.0;

/// The share of the earlier samples' weight that remains after a further one. It bounds their weight to 10 samples,
/// which averages out the variation of single calls.
const SAMPLE_RETENTION: f64 = 0.9;

/// The share that remains after [`SURPRISES`] samples that differ from the estimate in the same direction.
const SURPRISED_RETENTION: f64 = 0.3;

/// The logarithm of the ratio by which a sample has to differ from the estimate to be a surprise: a factor of 2.
const SURPRISE: f64 = std::f64::consts::LN_2;

/// The number of surprises in the same direction that show a change of a target's speed. Two occur often by chance.
const SURPRISES: i8 = 3;

/// The half-life of the weight of samples.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(8);

/// The share of a sample in the usual time of a service, once there are many.
const PACE_SHARE: f64 = 0.02;

/// The share of a report in the mean load of a service.
const NOTICE_SHARE: f64 = 0.1;

/// The assumed weight of the configured slot time, in samples.
const SLOT_TIME_PRIOR: f64 = 10.0;

/// A kind of work whose time shows a target's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// One event of a stream.
    Event,
    /// One token of a prompt.
    Prefill,
    /// A plain call.
    Run,
}

/// The time that work takes at one incarnation of a target, relative to the usual time of its service.
///
/// The estimate is a mean of logarithms, shrunk to the usual time while there are few samples. Samples are forgotten
/// within tens of seconds.
///
/// ```
/// use ebony_dispatch::speed::TargetSpeed;
/// use ebony_types::ClockTime;
///
/// let now = ClockTime::from_millis(1_000);
/// let mut speed = TargetSpeed::default();
/// assert_eq!(speed.time_factor(now), 1.0);
/// (0..20).for_each(|_| speed.record(3.0, now));
/// assert!((2.5..3.0).contains(&speed.time_factor(now)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetSpeed {
    log_sum: f64,
    weight: f64,
    updated_at: ClockTime,
    /// Consecutive surprises; negative if the samples were faster than the estimate.
    surprises: i8,
}

impl TargetSpeed {
    /// Records that work took `ratio` times as long as is usual at the service.
    pub fn record(&mut self, ratio: f64, now: ClockTime) {
        let (least, most) = FACTOR_BOUNDS;
        let sample = ratio.clamp(least, most).ln();
        let difference = sample - self.log_factor(now);
        self.surprises = match difference {
            difference if difference > SURPRISE => self.surprises.max(0).saturating_add(1),
            difference if difference < -SURPRISE => self.surprises.min(0).saturating_sub(1),
            _ => 0,
        };
        let is_changed = self.surprises.abs() >= SURPRISES;
        let retention = if is_changed {
            SURPRISED_RETENTION
        } else {
            SAMPLE_RETENTION
        };
        let kept = retention * self.remaining(now);
        self.log_sum = self.log_sum * kept + sample;
        self.weight = self.weight * kept + 1.0;
        self.updated_at = now;
    }

    /// Returns the time that work takes, relative to the usual time of the service.
    pub fn time_factor(&self, now: ClockTime) -> f64 {
        if self.weight == 0.0 {
            return 1.0;
        }
        let (least, most) = FACTOR_BOUNDS;
        self.log_factor(now).exp().clamp(least, most)
    }

    fn log_factor(&self, now: ClockTime) -> f64 {
        let remaining = self.remaining(now);
        self.log_sum * remaining / (self.weight * remaining + PRIOR_SAMPLES)
    }

    /// Returns the share of the samples' weight that remains.
    fn remaining(&self, now: ClockTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        0.5_f64.powf(age / SAMPLE_HALF_LIFE.as_secs_f64())
    }
}

/// The usual times of a service's work, as means over its targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServicePace {
    logs: [Option<f64>; 3],
    samples: [u32; 3],
    slot_millis: f64,
    slot_weight: f64,
    others_per_slot: f64,
    call_tokens: f64,
    reports_slowdown: bool,
}

impl ServicePace {
    /// Records the time of one piece of work at a target, in milliseconds.
    ///
    /// Returns the ratio of the time to the usual one; `None` for the first sample.
    pub fn record(
        &mut self,
        kind: WorkKind,
        millis: f64,
        target: &TargetSpeed,
        now: ClockTime,
    ) -> Option<f64> {
        let index = kind as usize;
        let log = millis.ln();
        let Some(usual) = &mut self.logs[index] else {
            self.logs[index] = log.is_finite().then_some(log);
            return None;
        };
        if !log.is_finite() {
            return None;
        }
        let ratio = (log - *usual).exp();
        self.samples[index] = self.samples[index].saturating_add(1);
        let share = (1.0 / f64::from(self.samples[index].saturating_add(1))).max(PACE_SHARE);
        *usual += share * (log - target.time_factor(now).ln() - *usual);
        Some(ratio)
    }

    /// Records the calls of other entries per slot that a target reported, and whether it reported a slow-down.
    pub fn record_notice(&mut self, others_per_slot: f64, has_slowdown: bool) {
        self.others_per_slot += NOTICE_SHARE * (others_per_slot - self.others_per_slot);
        self.reports_slowdown |= has_slowdown;
    }

    /// Returns the mean of the calls of other entries per slot, as reported.
    pub fn others_per_slot(&self) -> f64 {
        self.others_per_slot
    }

    /// Returns whether a target reported a slow-down.
    pub fn reports_slowdown(&self) -> bool {
        self.reports_slowdown
    }

    /// Records the memory that a call needs, in tokens.
    pub fn record_tokens(&mut self, tokens: u64) {
        let share = if self.call_tokens == 0.0 { 1.0 } else { PACE_SHARE };
        self.call_tokens += share * (tokens as f64 - self.call_tokens);
    }

    /// Returns the mean of the memory that a call needs, in tokens.
    pub fn call_tokens(&self) -> f64 {
        self.call_tokens
    }

    /// Records the time for which a call occupied a slot, with the target's speed and queueing taken out.
    pub fn record_slot_time(&mut self, millis: f64) {
        let kept = 1.0 - PACE_SHARE;
        self.slot_millis = self.slot_millis * kept + millis;
        self.slot_weight = self.slot_weight * kept + 1.0;
    }

    /// Returns the time for which a call usually occupies a slot, in milliseconds, given the assumed time.
    pub fn slot_time_ms(&self, assumed: f64) -> f64 {
        (self.slot_millis + SLOT_TIME_PRIOR * assumed) / (self.slot_weight + SLOT_TIME_PRIOR)
    }
}
