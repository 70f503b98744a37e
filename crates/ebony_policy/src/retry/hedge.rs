//! Hedging: sends a call to a second target when the first one is late.

use std::time::Duration;

use super::RetryOptions;
use crate::speed::duration_from_secs;

/// Latency weight below which calls are never hedged, because a hedge fills the prefix a second time.
const MIN_LATENCY_WEIGHT: f64 = 0.1;

/// Whether a call may run twice, and at what cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRepeat {
    /// The call is idempotent.
    Repeatable,
    /// The call is idempotent, but running it twice fills a prefix cache twice.
    RepeatableModel,
    /// The call must run at most once.
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
    hedges_model_calls: bool,
    factor: f64,
    margin_seconds: f64,
    latency_weight: f64,
}

impl HedgeRule {
    /// Creates the rule. A lower latency weight makes hedges later.
    pub fn open(options: &RetryOptions, latency_weight: f64) -> Self {
        Self {
            is_enabled: options.enabled && options.hedging && latency_weight >= MIN_LATENCY_WEIGHT,
            hedges_model_calls: options.hedge_model_calls,
            factor: options.hedge_factor,
            margin_seconds: f64::from(options.hedge_margin_ms) / 1_000.0,
            latency_weight,
        }
    }

    /// Returns `true` if a second attempt is likely to overtake the first: its target is expected to answer in less
    /// than half the time that the call has waited. Under overload no target is, so hedging does not add to the load.
    pub fn is_worthwhile(&self, waited: Duration, alternative_first_token: Duration) -> bool {
        alternative_first_token < waited / 2
    }

    /// Returns the time after dispatch at which a call without a first token is hedged; `None` if it never is. The
    /// hedge must also pass [`RetryBudget::spend_hedge`](super::RetryBudget::spend_hedge), and must not be sent once
    /// the call has its first token.
    pub fn delay(&self, repeat: CallRepeat, estimated_first_token: Duration) -> Option<Duration> {
        let is_allowed = match repeat {
            CallRepeat::Repeatable => true,
            CallRepeat::RepeatableModel => self.hedges_model_calls,
            CallRepeat::Once => false,
        };
        if !self.is_enabled || !is_allowed {
            return None;
        }
        let wait = self.factor * estimated_first_token.as_secs_f64() + self.margin_seconds;
        Some(duration_from_secs(wait / self.latency_weight))
    }
}
