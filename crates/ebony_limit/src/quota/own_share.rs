//! The even share of a quota that a gateway uses while it has no issuer.

use std::time::Duration;

use ebony_types::ClockTime;
use ebony_types::rendezvous::rendezvous_weight;

use super::rule::QuotaRule;
use crate::bucket::{PermitBucket, PermitDecision};
use crate::rate::RequestRate;

/// The requests of a program, as a share is too small to learn them.
const PROGRAM_REQUESTS: f64 = 10.0;

/// The share of one gateway, whose tokens are due at fixed times. The times of different gateways differ, so that
/// hundreds of them do not use their tokens together.
#[derive(Clone, Copy, Debug)]
pub struct OwnShare {
    tokens: PermitBucket,
    programs: PermitBucket,
}

impl OwnShare {
    /// Creates the share of a gateway. It starts without tokens.
    ///
    /// ```
    /// use ebony_limit::RequestRate;
    /// use ebony_limit::quota::QuotaRule;
    /// use ebony_limit::quota::own_share::OwnShare;
    /// use ebony_types::ClockTime;
    ///
    /// let rule = QuotaRule::open(RequestRate::per_second(10.0)?, 0.0)?;
    /// let mut share = OwnShare::open("gateway-1", "c", &rule, 0.5, ClockTime::default());
    /// assert!(share.take(false, ClockTime::default()).is_err());
    /// assert!(share.take(false, ClockTime::from_millis(200)).is_ok());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn open(own: &str, customer: &str, rule: &QuotaRule, part: f64, now: ClockTime) -> Self {
        let phase = rendezvous_weight(own, customer) as f64 / u64::MAX as f64;
        let (tokens, programs) = rates(rule, part);
        Self {
            tokens: PermitBucket::open_share(tokens, now, phase),
            programs: PermitBucket::open_share(programs, now, phase),
        }
    }

    /// Changes the part of the quota.
    pub fn set_part(&mut self, rule: &QuotaRule, part: f64, now: ClockTime) {
        let (tokens, programs) = rates(rule, part);
        self.tokens.set_rate(tokens, now);
        self.programs.set_rate(programs, now);
    }

    /// Takes a token, with a program for a first turn.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one.
    pub fn take(&mut self, is_first_turn: bool, now: ClockTime) -> Result<(), Duration> {
        if is_first_turn {
            let mut programs = self.programs;
            if let PermitDecision::Denied { wait } = programs.take(now, Duration::ZERO) {
                return Err(wait);
            }
            self.take_token(now)?;
            self.programs = programs;
            return Ok(());
        }
        self.take_token(now)
    }

    fn take_token(&mut self, now: ClockTime) -> Result<(), Duration> {
        match self.tokens.take(now, Duration::ZERO) {
            PermitDecision::Granted { .. } => Ok(()),
            PermitDecision::Denied { wait } => Err(wait),
        }
    }
}

fn rates(rule: &QuotaRule, part: f64) -> (RequestRate, RequestRate) {
    let tokens = rule.rate.as_per_second() * part;
    let rate = |per_second: f64| RequestRate::per_second(per_second).unwrap_or(rule.rate);
    (rate(tokens), rate(tokens / PROGRAM_REQUESTS))
}
