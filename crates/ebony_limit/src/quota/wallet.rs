//! The tokens that one gateway holds, for all customers.

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::ClockTime;

use super::message::{QuotaAsk, QuotaGrant};
use super::purse::{CallClass, Purse, PurseDecision, QuotaStamp};
use super::rule::QuotaRule;

/// How long a customer without calls is remembered, and one whose share is in use. The tokens of a small share among
/// hundreds of gateways are minutes apart.
const UNUSED_RETENTION: Duration = Duration::from_secs(10);
const SHARE_RETENTION: Duration = Duration::from_secs(600);

/// The maximum number of customers. Configurations have a hundred.
const MAX_CUSTOMERS: usize = 4_096;

/// The `Retry-After` when there are more customers than that.
const FULL_RETURN_DELAY: Duration = Duration::from_secs(1);

/// Identifies a call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaitTicket(u64);

/// The decision on a call that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// The call may be sent.
    Taken(QuotaStamp),
    /// The call is over the quota.
    Refused {
        /// When it can be served.
        retry_after: Duration,
    },
    /// The call waits; see [`QuotaWallet::ready`].
    Waits(WaitTicket),
}

/// Holds the tokens of one gateway.
///
/// ```
/// use ebony_limit::RequestRate;
/// use ebony_limit::quota::{CallClass, QuotaGrant, QuotaRule, QuotaWallet, TakeOutcome};
/// use ebony_types::ClockTime;
///
/// let at = ClockTime::from_millis;
/// let rule = QuotaRule::open(RequestRate::per_second(10.0)?, 5.0)?;
/// let mut wallet = QuotaWallet::open("gateway-1");
/// let outcome = wallet.take("c", CallClass::Single, at(1_000), at(0));
/// let TakeOutcome::Waits(ticket) = outcome else { panic!("there are no tokens yet") };
/// assert_eq!(wallet.due(at(0)), ["c"]);
/// let ask = wallet.ask("c", rule, 1, at(0)).expect("the customer has calls");
/// assert_eq!(ask.wanted, 1);
/// wallet.apply("c", &QuotaGrant { tokens: 1, ..QuotaGrant::default() }, at(0), at(3));
/// let ready = wallet.ready(at(3));
/// assert!(matches!(ready[0], (first, TakeOutcome::Taken(_)) if first == ticket));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct QuotaWallet {
    own: String,
    purses: HashMap<String, Purse>,
    next_ticket: u64,
}

impl QuotaWallet {
    /// Creates the wallet of the gateway with this name.
    pub fn open(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            purses: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Takes a token for a call that may wait until a time.
    pub fn take(
        &mut self,
        customer: &str,
        class: CallClass,
        until: ClockTime,
        now: ClockTime,
    ) -> TakeOutcome {
        if !self.purses.contains_key(customer) {
            if self.purses.len() >= MAX_CUSTOMERS {
                return TakeOutcome::Refused {
                    retry_after: FULL_RETURN_DELAY,
                };
            }
            self.purses.insert(customer.to_owned(), Purse::open(now));
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let purse = self.purses.get_mut(customer);
        let decision = purse.map_or(PurseDecision::Waits, |purse| {
            purse.take(class, until, ticket, now)
        });
        outcome(ticket, decision)
    }

    /// Removes a call that no longer waits.
    pub fn cancel(&mut self, customer: &str, ticket: WaitTicket) {
        if let Some(purse) = self.purses.get_mut(customer) {
            purse.cancel(ticket.0);
        }
    }

    /// Takes back the token of a call that did not run.
    pub fn put_back(&mut self, customer: &str, stamp: QuotaStamp, now: ClockTime) {
        if let Some(purse) = self.purses.get_mut(customer) {
            purse.put_back(stamp, now);
        }
    }

    /// Counts a call that was sent.
    pub fn record_sent(&mut self, customer: &str, is_first_turn: bool) {
        if let Some(purse) = self.purses.get_mut(customer) {
            purse.record_sent(is_first_turn);
        }
    }

    /// Returns the customers for which tokens should be asked for.
    pub fn due(&self, now: ClockTime) -> Vec<String> {
        let due = self.purses.iter().filter(|(_, purse)| purse.is_due(now));
        due.map(|(customer, _)| customer.clone()).collect()
    }

    /// Returns the request for the tokens of a customer. It has to be followed by [`QuotaWallet::apply`] or
    /// [`QuotaWallet::fail`].
    pub fn ask(&mut self, customer: &str, rule: QuotaRule, version: u64, now: ClockTime) -> Option<QuotaAsk> {
        let purse = self.purses.get_mut(customer)?;
        Some(purse.ask(customer, rule, version, now))
    }

    /// Applies the answer to a request that was sent at a time.
    pub fn apply(&mut self, customer: &str, grant: &QuotaGrant, asked_at: ClockTime, now: ClockTime) {
        if let Some(purse) = self.purses.get_mut(customer) {
            purse.apply(grant, asked_at, now);
        }
    }

    /// Returns whether the request that was sent at a time is not answered yet.
    pub fn is_asked(&self, customer: &str, asked_at: ClockTime) -> bool {
        let purse = self.purses.get(customer);
        purse.is_some_and(|purse| purse.asked_at == Some(asked_at))
    }

    /// Records that a request that was sent at a time has no answer. The gateway then uses a part of its own share of
    /// the quota, which is divided among this number of gateways.
    pub fn fail(
        &mut self,
        customer: &str,
        rule: &QuotaRule,
        gateways: usize,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        let Some(purse) = self.purses.get_mut(customer) else {
            return;
        };
        purse.fail(asked_at, now);
        if let Some(in_doubt) = purse.lacks_issuer(now) {
            let part = share_part(rule, gateways, in_doubt);
            purse.open_share(&self.own, customer, rule, part, now);
        }
    }

    /// Lets a gateway without an issuer use its share of the quota, which is divided among this number of gateways, or a
    /// part of the share while another gateway may be issuing it.
    pub fn spend_share(
        &mut self,
        customer: &str,
        rule: &QuotaRule,
        gateways: usize,
        in_doubt: bool,
        now: ClockTime,
    ) {
        if let Some(purse) = self.purses.get_mut(customer) {
            let part = share_part(rule, gateways, in_doubt);
            purse.open_share(&self.own, customer, rule, part, now);
            purse.stay_alone(now);
        }
    }

    /// Removes and returns the calls whose wait has ended.
    pub fn ready(&mut self, now: ClockTime) -> Vec<(WaitTicket, TakeOutcome)> {
        let purses = self.purses.values_mut();
        let ended = purses.flat_map(|purse| purse.ready(now));
        ended
            .map(|(ticket, decision)| (WaitTicket(ticket), outcome(ticket, decision)))
            .collect()
    }

    /// Lets all calls of a customer go that wait, because it has no quota any more.
    pub fn lift(&mut self, customer: &str, now: ClockTime) -> Vec<(WaitTicket, TakeOutcome)> {
        let ended = self.purses.remove(customer).map(|mut purse| purse.lift(now));
        let ended = ended.into_iter().flatten();
        ended
            .map(|(ticket, decision)| (WaitTicket(ticket), outcome(ticket, decision)))
            .collect()
    }

    /// Returns when [`QuotaWallet::due`] or [`QuotaWallet::ready`] should be called next, if nothing else happens.
    pub fn next_wake(&self, now: ClockTime) -> Option<ClockTime> {
        self.purses
            .values()
            .filter_map(|purse| purse.next_wake(now))
            .min()
    }

    /// Drops customers without calls.
    pub fn expire(&mut self, now: ClockTime) {
        self.purses
            .retain(|_, purse| !purse.is_unused(now, UNUSED_RETENTION, SHARE_RETENTION));
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.purses.len()
    }

    /// Returns whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.purses.is_empty()
    }
}

/// Returns the part of a quota that a gateway without an issuer may use.
fn share_part(rule: &QuotaRule, gateways: usize, in_doubt: bool) -> f64 {
    let part = if in_doubt { rule.doubtful_part() } else { 1.0 };
    part / gateways.max(1) as f64
}

fn outcome(ticket: u64, decision: PurseDecision) -> TakeOutcome {
    match decision {
        PurseDecision::Taken(stamp) => TakeOutcome::Taken(stamp),
        PurseDecision::Refused(retry_after) => TakeOutcome::Refused { retry_after },
        PurseDecision::Waits => TakeOutcome::Waits(WaitTicket(ticket)),
    }
}
