//! When a call is sent to a second target because the first one is late.

use std::time::Duration;

use super::RetryOptions;
use crate::speed::duration_of;

/// Below this weight of latency a call is never hedged: a hedge always fills a prefix twice.
const MIN_LATENCY_WEIGHT: f64 = 0.1;

/// Whether a call may run twice, and what that costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRepeat {
    /// Running the call twice does no harm.
    Repeatable,
    /// Running the call twice does no harm but fills a prefix cache twice.
    RepeatableModel,
    /// The call runs at most once.
    Once,
}

/// Decides when a call is hedged.
///
/// ```
/// use std::time::Duration;
/// use ebony_policy::retry::{CallRepeat, HedgeRule, RetryOptions};
///
/// let rule = HedgeRule::open(&RetryOptions::default(), 0.8);
/// assert!(rule.delay(CallRepeat::Repeatable, Duration::from_millis(200)).is_some());
/// assert_eq!(rule.delay(CallRepeat::Once, Duration::from_millis(200)), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct HedgeRule {
    is_enabled: bool,
    has_model_calls: bool,
    factor: f64,
    margin_seconds: f64,
    latency_weight: f64,
}

impl HedgeRule {
    /// Creates the rule. The less latency weighs against wasted cache, the later a call is hedged.
    pub fn open(options: &RetryOptions, latency_weight: f64) -> Self {
        Self {
            is_enabled: options.enabled && options.hedging && latency_weight >= MIN_LATENCY_WEIGHT,
            has_model_calls: options.hedge_model_calls,
            factor: options.hedge_factor,
            margin_seconds: f64::from(options.hedge_margin_ms) / 1_000.0,
            latency_weight,
        }
    }

    /// Returns `true` if a second attempt is likely to overtake the first one: its target is expected to answer in less
    /// than half of the time that the call has waited. In an overload no target is, and hedging would add to it.
    pub fn is_worthwhile(&self, waited: Duration, alternative_first_token: Duration) -> bool {
        alternative_first_token < waited / 2
    }

    /// Returns how long after its dispatch a call without a first token is sent to a second target; `None` if never.
    /// The second attempt also needs [`RetryBudget::spend_hedge`](super::RetryBudget::spend_hedge), and a call that
    /// has its first token is never hedged.
    pub fn delay(&self, repeat: CallRepeat, estimated_first_token: Duration) -> Option<Duration> {
        let is_allowed = match repeat {
            CallRepeat::Repeatable => true,
            CallRepeat::RepeatableModel => self.has_model_calls,
            CallRepeat::Once => false,
        };
        if !self.is_enabled || !is_allowed {
            return None;
        }
        let patience = self.factor * estimated_first_token.as_secs_f64() + self.margin_seconds;
        Some(duration_of(patience / self.latency_weight))
    }
}
