//! What gateways and issuers tell each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rule::QuotaRule;

/// A gateway's request for tokens of one customer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The name of the customer.
    pub customer: String,
    /// The quota that the gateway knows, and the version of its configuration. The newest known quota is in force.
    pub rule: QuotaRule,
    /// The version of the gateway's configuration.
    pub version: u64,
    /// The tokens that the gateway wants.
    pub wanted: u32,
    /// How many of them are for calls that wait. These may be granted before they are due.
    pub waiting: u32,
    /// The number of programs that wait for their first turn.
    pub programs: u32,
    /// The tokens of earlier grants that the gateway may still use.
    pub held: u32,
    /// The tokens of earlier grants that no call used and that the gateway has discarded.
    pub unused: u32,
    /// The same for programs.
    pub unused_programs: u32,
    /// The requests that the gateway sent since its last request for tokens.
    pub sent: u32,
    /// The programs that began with some of them.
    pub began: u32,
}

impl QuotaAsk {
    /// Creates a request that asks for nothing and reports nothing.
    pub fn open(customer: &str, rule: QuotaRule, version: u64) -> Self {
        Self {
            customer: customer.to_owned(),
            rule,
            version,
            wanted: 0,
            waiting: 0,
            programs: 0,
            held: 0,
            unused: 0,
            unused_programs: 0,
            sent: 0,
            began: 0,
        }
    }
}

/// The tokens that an issuer grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The number of tokens.
    pub tokens: u32,
    /// The number of programs that may begin.
    pub programs: u32,
    /// The microseconds after which the tokens may be used.
    pub wait_us: u64,
    /// The microseconds until more tokens can be granted.
    pub next_token_us: u64,
    /// The microseconds until another program can begin.
    pub next_program_us: u64,
    /// The microseconds between two tokens.
    pub token_interval_us: u64,
    /// The microseconds between two programs, if each needs as many requests as usual.
    pub program_interval_us: u64,
}

impl QuotaGrant {
    /// Returns the time after which the tokens may be used.
    pub fn wait(&self) -> Duration {
        Duration::from_micros(self.wait_us)
    }
}

/// The answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum QuotaReply {
    /// The tokens, if any.
    Granted(QuotaGrant),
    /// The asked gateway does not issue the customer's tokens.
    Elsewhere,
}
