//! Guards against retries that multiply the load during an outage, and against retries of calls that may have run.

use std::time::Duration;

use ebony_policy::retry::{CallRepeat, HedgeRule, RetryBudget, RetryDecision, RetryOptions};
use ebony_testkit::check_seeds;
use ebony_types::{ClockTime, RunVerdict};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// While every target refuses all calls, attempts stay within 110% of the calls plus 10 for each window.
#[test]
fn attempts_are_bounded_in_an_outage() {
    check_seeds(32, 2_048, |input| {
        let options = RetryOptions::default();
        let mut budget = RetryBudget::open(options.clone());
        let mut rng = ChaCha8Rng::seed_from_u64(input.arbitrary()?);
        let (mut now, mut calls, mut attempts) = (0_u64, 0_u64, 0_u64);
        for _ in 0..2_000 {
            now += input.int_in_range(0..=200_u64)?;
            let time = ClockTime::from_millis(now);
            budget.record_first(time);
            calls += 1;
            let mut tries = 1;
            while let RetryDecision::After(delay) = budget.decide(RunVerdict::NotRun, tries, time, &mut rng) {
                assert!(delay <= Duration::from_millis(u64::from(options.max_backoff_ms)));
                tries += 1;
            }
            assert!(tries <= options.max_attempts);
            attempts += u64::from(tries);
        }
        let windows = now / u64::from(options.window_ms) + 1;
        assert!(
            attempts <= calls + calls / 10 + 10 * windows,
            "{attempts} attempts of {calls} calls"
        );
        Ok(())
    });
}

/// Only the verdict `NotRun` leads to a retry, and the budget limits hedges as well.
#[test]
fn only_calls_that_did_not_run_are_retried() {
    let mut budget = RetryBudget::open(RetryOptions::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = ClockTime::from_millis(0);
    for verdict in [RunVerdict::MayHaveRun, RunVerdict::Ran] {
        assert_eq!(
            budget.decide(verdict, 1, now, &mut rng),
            RetryDecision::MayHaveRun
        );
    }
    let hedges = (0..100).filter(|_| budget.spend_hedge(now)).count();
    assert_eq!(hedges, 10);
    let spent = budget.decide(RunVerdict::NotRun, 1, now, &mut rng);
    assert_eq!(spent, RetryDecision::BudgetSpent);
}

/// A lower latency weight makes hedges later; a call that must run at most once is never hedged.
#[test]
fn hedging_depends_on_the_weight() {
    let options = RetryOptions::default();
    let first_token = Duration::from_millis(500);
    let delay = |weight| HedgeRule::open(&options, weight).delay(CallRepeat::Repeatable, first_token);
    assert!(delay(0.8).unwrap() < delay(0.3).unwrap());
    assert_eq!(delay(0.0), None);
    assert_eq!(
        HedgeRule::open(&options, 1.0).delay(CallRepeat::Once, first_token),
        None
    );
}
