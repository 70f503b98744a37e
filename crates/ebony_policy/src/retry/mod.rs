//! Retries and hedging: the two ways in which a call is sent a second time.
//!
//! Both draw on one budget, so that a failing target never multiplies the load. A retry needs the verdict that the
//! call did not run. A hedge needs a call that may run twice.

mod hedge;
mod options;

use std::time::Duration;

use ebony_types::{ClockTime, RunVerdict};
use rand::{Rng, RngCore};

pub use self::hedge::{CallRepeat, HedgeRule};
pub use self::options::RetryOptions;

/// What becomes of a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call is sent again after the given time.
    After(Duration),
    /// The call may have run, so its failure is final.
    MayHaveRun,
    /// The budget of this window is spent, so the failure is final.
    BudgetSpent,
    /// The call was sent as often as one call may be.
    AttemptsSpent,
}

/// The retries that one entry may make: a share of first attempts and a fixed number, for each window.
///
/// Over any time that spans `n` windows, attempts are at most first attempts times `1 + share`, plus `n` times the
/// fixed number.
///
/// ```
/// use ebony_policy::retry::{RetryBudget, RetryDecision, RetryOptions};
/// use ebony_types::{ClockTime, RunVerdict};
/// use rand::SeedableRng;
///
/// let mut source = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let mut budget = RetryBudget::open(RetryOptions::default());
/// let now = ClockTime::from_millis(0);
/// budget.record_first(now);
/// assert!(matches!(budget.decide(RunVerdict::NotRun, 1, now, &mut source), RetryDecision::After(_)));
/// assert_eq!(budget.decide(RunVerdict::MayHaveRun, 1, now, &mut source), RetryDecision::MayHaveRun);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    window_start: ClockTime,
    first_attempts: u64,
    repeats: u64,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
    pub fn open(options: RetryOptions) -> Self {
        Self {
            options,
            window_start: ClockTime::default(),
            first_attempts: 0,
            repeats: 0,
        }
    }

    /// Changes the options. What the present window has spent stays spent.
    pub fn set_options(&mut self, options: RetryOptions) {
        self.options = options;
    }

    /// Returns the options.
    pub fn options(&self) -> &RetryOptions {
        &self.options
    }

    /// Records the first attempt of a call.
    pub fn record_first(&mut self, now: ClockTime) {
        self.roll(now);
        self.first_attempts += 1;
    }

    /// Decides on a call that failed with the given verdict after `attempts` attempts, and spends from the budget.
    pub fn decide(
        &mut self,
        verdict: RunVerdict,
        attempts: u32,
        now: ClockTime,
        source: &mut impl RngCore,
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
        RetryDecision::After(self.backoff(attempts, source))
    }

    /// Spends one repeat for a hedge. Returns `false` if the budget is spent.
    pub fn spend_hedge(&mut self, now: ClockTime) -> bool {
        self.spend(now)
    }

    fn spend(&mut self, now: ClockTime) -> bool {
        self.roll(now);
        let share = self.first_attempts * u64::from(self.options.share_percent) / 100;
        let allowed = share + u64::from(self.options.fixed_repeats);
        let has_budget = self.options.enabled && self.repeats < allowed;
        self.repeats += u64::from(has_budget);
        has_budget
    }

    /// Starts a new window if the present one is over.
    fn roll(&mut self, now: ClockTime) {
        let window = Duration::from_millis(u64::from(self.options.window_ms));
        if now.since(self.window_start) >= window {
            self.window_start = now;
            self.first_attempts = 0;
            self.repeats = 0;
        }
    }

    /// Returns an exponential backoff with full jitter, so that calls that failed together do not return together.
    fn backoff(&self, attempts: u32, source: &mut impl RngCore) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let ceiling = u64::from(self.options.backoff_ms) << doublings;
        let ceiling = ceiling.min(u64::from(self.options.max_backoff_ms));
        Duration::from_millis(source.random_range(0..=ceiling))
    }
}
