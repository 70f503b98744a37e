//! Whether KV cache is worth its memory through a tool pause.
//!
//! Holding costs memory for the length of the pause; letting go costs a refill when the program returns. The plan
//! holds for the time that has the best expected balance under the learned distribution of pauses, which may be
//! no time at all or longer than any pause. This is the ski-rental problem with a known distribution.

use std::time::Duration;

use super::RetentionOptions;
use super::pause_model::PauseHistogram;
use crate::speed::{EngineSpeed, duration_of};

/// The length of a pause whose memory is worth as much as the refill, in seconds, when memory is full and the weights
/// are even.
const BREAK_EVEN_SECONDS: f64 = 60.0;

/// The state of the target's memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryPressure {
    /// The share of KV cache in use, in 0..=1.
    pub used_share: f64,
}

impl MemoryPressure {
    /// The share of memory up to which holding is free: nobody else needs the memory.
    const FREE_SHARE: f64 = 0.7;

    /// Returns the price of memory in 0..=1: zero with free memory, one when it is full.
    fn price(self) -> f64 {
        ((self.used_share - Self::FREE_SHARE) / (1.0 - Self::FREE_SHARE)).clamp(0.0, 1.0)
    }
}

/// What becomes of a program's KV cache during a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// The target keeps it, for at most the given time.
    Keep(Duration),
    /// The target exports it and gives its memory to others.
    Export,
    /// The target leaves it to its own eviction, which takes it when the memory is needed.
    Leave,
}

/// Decides on holding.
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

    /// Decides on the KV cache of a program that pauses with `held_tokens` of history.
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
            return HoldDecision::Keep(duration_of(hold_seconds).min(longest));
        }
        let transfer = 2.0 * held_tokens as f64 / self.options.transfer_tokens_per_second.max(1.0);
        if self.options.export && transfer < refill {
            HoldDecision::Export
        } else {
            HoldDecision::Leave
        }
    }

    /// Returns what holding costs for each second of pause, in seconds of refill.
    ///
    /// Cost and value of holding both grow with the history, so the break-even pause does not depend on it. The more
    /// wasted cache weighs, the longer a refill may be avoided at the price of memory that running calls could use.
    fn price_per_second(&self, refill: f64, pressure: MemoryPressure) -> f64 {
        let preference = 0.5 + self.latency_weight;
        refill * pressure.price() * preference / BREAK_EVEN_SECONDS
    }
}

/// Returns the time to hold with the best expected balance of saved refills over memory, among the ends of the
/// classes of pauses and zero.
fn best_hold_seconds(refill: f64, price: f64, pauses: &PauseHistogram) -> f64 {
    let (mut best_seconds, mut best_balance) = (0.0, 0.0);
    let (mut returned, mut ended_cost) = (0.0, 0.0);
    for (end, share) in pauses.classes() {
        returned += share;
        ended_cost += share * 0.75 * end * price;
        let balance = returned * refill - ended_cost - (1.0 - returned) * end * price;
        if balance > best_balance {
            (best_seconds, best_balance) = (end, balance);
        }
    }
    best_seconds
}
