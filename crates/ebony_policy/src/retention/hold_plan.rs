//! Decides whether a program's KV cache is held during a tool pause.
//!
//! Holding costs memory for the length of the pause; releasing costs a refill when the program returns. The plan holds
//! for the time with the highest expected benefit under the learned distribution of pauses, which may be zero or
//! longer than any pause. This is the ski-rental problem with a known distribution.

use std::time::Duration;

use super::RetentionOptions;
use super::pause_model::PauseHistogram;
use crate::speed::{EngineSpeed, duration_from_secs};

/// Length of a pause in seconds for which holding costs as much as a refill, when memory is full and the latency weight
/// is 0.5.
const BREAK_EVEN_SECONDS: f64 = 60.0;

/// Memory pressure on a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryPressure {
    /// The share of KV cache in use, in 0..=1.
    pub used_share: f64,
}

impl MemoryPressure {
    /// Used share up to which holding costs nothing, because no other program needs the memory.
    const FREE_SHARE: f64 = 0.7;

    /// Returns the price of memory in 0..=1: zero up to [`Self::FREE_SHARE`], one when memory is full.
    fn price(self) -> f64 {
        ((self.used_share - Self::FREE_SHARE) / (1.0 - Self::FREE_SHARE)).clamp(0.0, 1.0)
    }
}

/// How a program's KV cache is treated during a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// The target keeps it for at most the given time.
    Keep(Duration),
    /// The target exports it and frees its memory.
    Export,
    /// The target may evict it when the memory is needed.
    Leave,
}

/// Decides whether KV cache is held during pauses.
///
/// ```
/// use std::time::Duration;
/// use ebony_policy::retention::{
///     HoldDecision, HoldPlan, MemoryPressure, PauseKind, PauseModel, RetentionOptions,
/// };
/// use ebony_policy::speed::EngineSpeed;
/// use ebony_types::CallerName;
///
/// let options = RetentionOptions::default();
/// let kind = PauseKind { caller: CallerName::parse("shop").unwrap(), kind: 0 };
/// let mut pauses = PauseModel::open(&options);
/// (0..50).for_each(|_| pauses.observe(&kind, Duration::from_secs(2)));
/// let plan = HoldPlan::open(options, EngineSpeed::default(), 0.5);
/// let full = MemoryPressure { used_share: 1.0 };
/// let decision = plan.decide(20_000, &pauses.histogram(&kind), full);
/// assert!(matches!(decision, HoldDecision::Keep(_)));
/// ```
#[derive(Clone, Debug)]
pub struct HoldPlan {
    options: RetentionOptions,
    speed: EngineSpeed,
    latency_weight: f64,
}

impl HoldPlan {
    /// Creates a plan for targets of the given speed.
    pub fn open(options: RetentionOptions, speed: EngineSpeed, latency_weight: f64) -> Self {
        Self {
            options,
            speed,
            latency_weight: latency_weight.clamp(0.0, 1.0),
        }
    }

    /// Decides how to treat the KV cache of a program that pauses with `held_tokens` of history.
    pub fn decide(
        &self,
        held_tokens: u64,
        pauses: &PauseHistogram,
        pressure: MemoryPressure,
    ) -> HoldDecision {
        if !self.options.keep {
            return HoldDecision::Leave;
        }
        let refill = self.speed.prefill_seconds(held_tokens);
        let price = self.price_per_second(refill, pressure);
        let hold_seconds = best_hold_seconds(refill, price, pauses);
        let longest = Duration::from_millis(u64::from(self.options.max_hold_ms));
        if hold_seconds > 0.0 {
            return HoldDecision::Keep(duration_from_secs(hold_seconds).min(longest));
        }
        let transfer = 2.0 * held_tokens as f64 / self.options.transfer_tokens_per_second.max(1.0);
        if self.options.export && transfer < refill {
            HoldDecision::Export
        } else {
            HoldDecision::Leave
        }
    }

    /// Returns the cost of holding for one second of pause, in seconds of refill.
    ///
    /// Cost and value of holding are both proportional to the history, so the break-even pause does not depend on it.
    /// A lower latency weight lowers the cost: refills are then avoided by longer holds, which take memory that running
    /// calls could use.
    fn price_per_second(&self, refill: f64, pressure: MemoryPressure) -> f64 {
        let cost_weight = 0.5 + self.latency_weight;
        refill * pressure.price() * cost_weight / BREAK_EVEN_SECONDS
    }
}

/// Returns the hold time in seconds with the highest expected benefit, which is saved refills minus the cost of memory.
/// Considers zero and the upper ends of the histogram's buckets.
fn best_hold_seconds(refill: f64, price: f64, pauses: &PauseHistogram) -> f64 {
    let (mut best_seconds, mut best_benefit) = (0.0, 0.0);
    let (mut returned, mut ended_cost) = (0.0, 0.0);
    for (end, share) in pauses.buckets() {
        returned += share;
        ended_cost += share * 0.75 * end * price;
        let benefit = returned * refill - ended_cost - (1.0 - returned) * end * price;
        if benefit > best_benefit {
            (best_seconds, best_benefit) = (end, benefit);
        }
    }
    best_seconds
}
