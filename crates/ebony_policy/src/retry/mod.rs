//! Retries and hedging of calls.
//!
//! Both use one budget, so that a failing target never multiplies the load. A retry requires the verdict that the call
//! did not run. A hedge requires a call that may run twice.

mod hedge;
mod options;

use std::time::Duration;

use ebony_types::{ClockTime, RunVerdict};
use rand::{Rng, RngCore};

pub use self::hedge::{CallRepeat, HedgeRule};
pub use self::options::RetryOptions;

/// The decision on a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call is retried after the given time.
    After(Duration),
    /// The call may have run, so its failure is final.
    MayHaveRun,
    /// The budget of this window is exhausted, so the failure is final.
    BudgetSpent,
    /// The call has reached the maximum number of attempts, so the failure is final.
    AttemptsSpent,
}

/// Limits the retries and hedges of one entry: in each window, a share of the first attempts plus a fixed number.
///
/// Over `n` windows, the attempts are at most the first attempts times `1 + share`, plus `n` times the fixed number.
///
/// ```
/// use ebony_policy::retry::{RetryBudget, RetryDecision, RetryOptions};
/// use ebony_types::{ClockTime, RunVerdict};
/// use rand::SeedableRng;
///
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let mut budget = RetryBudget::open(RetryOptions::default());
/// let now = ClockTime::from_millis(0);
/// budget.record_first(now);
/// assert!(matches!(budget.decide(RunVerdict::NotRun, 1, now, &mut rng), RetryDecision::After(_)));
/// assert_eq!(budget.decide(RunVerdict::MayHaveRun, 1, now, &mut rng), RetryDecision::MayHaveRun);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    window_start: ClockTime,
    first_attempts: u64,
    repeats: u64,
}

impl RetryBudget {
    /// Creates an unspent budget.
    pub fn open(options: RetryOptions) -> Self {
        Self {
            options,
            window_start: ClockTime::default(),
            first_attempts: 0,
            repeats: 0,
        }
    }

    /// Changes the options. Retries and hedges already made in the current window still count.
    pub fn set_options(&mut self, options: RetryOptions) {
        self.options = options;
    }

    /// Returns the options.
    pub fn options(&self) -> &RetryOptions {
        &self.options
    }

    /// Records the first attempt of a call.
    pub fn record_first(&mut self, now: ClockTime) {
        self.roll_window(now);
        self.first_attempts += 1;
    }

    /// Decides whether a call that failed with the given verdict after `attempts` attempts is retried. A retry is
    /// charged to the budget.
    pub fn decide(
        &mut self,
        verdict: RunVerdict,
        attempts: u32,
        now: ClockTime,
        rng: &mut impl RngCore,
    ) -> RetryDecision {
        if !verdict.is_safe_to_retry() {
            return RetryDecision::MayHaveRun;
        }
        if attempts >= self.options.max_attempts {
            return RetryDecision::AttemptsSpent;
        }
        if !self.spend(now) {
            return RetryDecision::BudgetSpent;
        }
        RetryDecision::After(self.backoff(attempts, rng))
    }

    /// Charges a hedge to the budget. Returns `false` if the budget is exhausted.
    pub fn spend_hedge(&mut self, now: ClockTime) -> bool {
        self.spend(now)
    }

    fn spend(&mut self, now: ClockTime) -> bool {
        self.roll_window(now);
        let allowed_by_share = self.first_attempts * u64::from(self.options.share_percent) / 100;
        let allowed = allowed_by_share + u64::from(self.options.fixed_repeats);
        let has_budget = self.options.enabled && self.repeats < allowed;
        self.repeats += u64::from(has_budget);
        has_budget
    }

    /// Starts a new window if the current one is over.
    fn roll_window(&mut self, now: ClockTime) {
        let window = Duration::from_millis(u64::from(self.options.window_ms));
        if now.since(self.window_start) >= window {
            self.window_start = now;
            self.first_attempts = 0;
            self.repeats = 0;
        }
    }

    /// Returns an exponential backoff with full jitter, so that calls that failed together are not retried together.
    fn backoff(&self, attempts: u32, rng: &mut impl RngCore) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let ceiling = u64::from(self.options.backoff_ms) << doublings;
        let ceiling = ceiling.min(u64::from(self.options.max_backoff_ms));
        Duration::from_millis(rng.random_range(0..=ceiling))
    }
}
