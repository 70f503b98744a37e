//! Results that a driver reports to the summary.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::plan::{StepEnd, StepKey};

/// Result of one attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The call.
    pub key: StepKey,
    /// How it ended.
    pub end: StepEnd,
    /// Whether it is retried, as [`crate::plan::StepCompletion`] states.
    pub will_retry: bool,
    /// Time to the first token of a model call, in replay time.
    pub first_token: Option<Duration>,
}

/// Use of the tokens in prefix caches, summed over engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheOutcome {
    /// Tokens that were computed and stored in a cache.
    pub filled_tokens: u64,
    /// Filled tokens that were evicted before any call reused them.
    pub evicted_unused_tokens: u64,
    /// Filled tokens that were still cached at the end and that no call reused.
    pub never_reused_tokens: u64,
}

impl CacheOutcome {
    /// Returns the member-wise sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            filled_tokens: self.filled_tokens.saturating_add(other.filled_tokens),
            evicted_unused_tokens: self
                .evicted_unused_tokens
                .saturating_add(other.evicted_unused_tokens),
            never_reused_tokens: self.never_reused_tokens.saturating_add(other.never_reused_tokens),
        }
    }

    /// Returns the percentage of filled tokens that were wasted, or `None` if none were filled.
    ///
    /// ```
    /// use ebony_trace::CacheOutcome;
    ///
    /// let outcome = CacheOutcome { filled_tokens: 200, evicted_unused_tokens: 30, never_reused_tokens: 20 };
    /// assert_eq!(outcome.wasted_percent(), Some(25.0));
    /// assert_eq!(CacheOutcome::default().wasted_percent(), None);
    /// ```
    pub fn wasted_percent(&self) -> Option<f64> {
        let wasted = self
            .evicted_unused_tokens
            .saturating_add(self.never_reused_tokens);
        (self.filled_tokens > 0).then(|| wasted as f64 * 100.0 / self.filled_tokens as f64)
    }
}
