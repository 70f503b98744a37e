//! Asks the issuers of customers for tokens, and ends the wait of calls.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ebony_limit::quota::{QuotaAsk, QuotaReply, QuotaRule, TakeOutcome, WaitTicket};
use ebony_types::{ClockTime, CustomerName};
use tokio::time::timeout;

use super::issuing::{count_granted, with_newest_rule};
use super::manager::{RoleOf, maintain, role_of, rule_of};
use super::token::QuotaToken;
use crate::gateway::Gateway;

/// The interval at which the reached gateways are reviewed while customers have quotas.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// The shortest time between two wakes.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

/// How long an issuer keeps the buckets of a customer without calls. They are full long before.
const UNUSED_TIME: Duration = Duration::from_secs(60);

/// The maximum number of customers in one frame.
const MAX_FRAME_ASKS: usize = 64;

/// Ends waits and asks for tokens when that is due. Steps that follow from calls and answers are taken by them.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    loop {
        let now = gateway.clock.now();
        let wake_at = gateway.quotas.wallet.borrow().next_wake(now);
        gateway.quotas.planned_wake.set(wake_at);
        let delay = wake_at.map_or(REVIEW_INTERVAL, |at| at.since(now).max(MIN_WAKE_DELAY));
        let woken = gateway.quotas.wake.notified();
        timeout(delay.min(REVIEW_INTERVAL), woken).await.ok();
        if has_quotas(&gateway) {
            maintain(&gateway, UNUSED_TIME);
        }
        step(&gateway);
    }
}

fn has_quotas(gateway: &Gateway) -> bool {
    let routing = gateway.routing();
    routing.is_some_and(|routing| routing.customers().any(|customer| customer.rate.is_some()))
}

/// Asks for the tokens that are due, and ends the wait of calls.
pub(super) fn step(gateway: &Rc<Gateway>) {
    let now = gateway.clock.now();
    let due = gateway.quotas.wallet.borrow().due(now);
    let mut frames: HashMap<String, Vec<QuotaAsk>> = HashMap::new();
    for customer in due {
        let name = CustomerName::parse(&customer).ok();
        let Some((rule, version)) = name.and_then(|name| rule_of(gateway, &name)) else {
            // The customer has no quota any more.
            let lifted = gateway.quotas.wallet.borrow_mut().lift(&customer, now);
            resolve(gateway, lifted);
            continue;
        };
        if let Some((issuer, ask)) = ask(gateway, &customer, rule, version, now) {
            frames.entry(issuer).or_default().push(ask);
        }
    }
    for (issuer, mut asks) in frames {
        while !asks.is_empty() {
            let rest = asks.split_off(asks.len().min(MAX_FRAME_ASKS));
            tokio::task::spawn_local(exchange(Rc::clone(gateway), issuer.clone(), asks, now));
            asks = rest;
        }
    }
    let ready = gateway.quotas.wallet.borrow_mut().ready(now);
    resolve(gateway, ready);
    plan_wake(gateway, now);
}

/// Gets tokens of a customer from this gateway itself, or returns the gateway to ask.
fn ask(
    gateway: &Gateway,
    customer: &str,
    rule: QuotaRule,
    version: u64,
    now: ClockTime,
) -> Option<(String, QuotaAsk)> {
    let quotas = &gateway.quotas;
    match role_of(gateway, customer) {
        RoleOf::Issuer(view) => {
            let ask = quotas.wallet.borrow_mut().ask(customer, rule, version, now)?;
            let ask = with_newest_rule(gateway, ask);
            let own = gateway.fleet.process();
            let grant = quotas.issuer.borrow_mut().answer(own, &ask, view, now);
            count_granted(gateway, &ask, &grant);
            quotas.wallet.borrow_mut().apply(customer, &grant, now, now);
            None
        }
        RoleOf::Asker(issuer, _) => {
            let ask = quotas.wallet.borrow_mut().ask(customer, rule, version, now)?;
            Some((issuer, ask))
        }
        RoleOf::Alone(gateways, in_doubt) => {
            let mut wallet = quotas.wallet.borrow_mut();
            wallet.spend_share(customer, &rule, gateways, in_doubt, now);
            None
        }
    }
}

/// Asks another gateway for tokens and applies its answer.
async fn exchange(gateway: Rc<Gateway>, issuer: String, asks: Vec<QuotaAsk>, asked_at: ClockTime) {
    let asked: Vec<(String, QuotaRule)> = asks.iter().map(|ask| (ask.customer.clone(), ask.rule)).collect();
    let replies = gateway.links.take_quota(&issuer, asks).await;
    let outcome = if replies.is_some() { "asked" } else { "unanswered" };
    gateway.metrics.quota_asks.with_label_values(&[outcome]).inc();
    let now = gateway.clock.now();
    let gateways = gateway.links.gateways();
    let mut replies = replies.unwrap_or_default().into_iter();
    for (customer, rule) in asked {
        let mut wallet = gateway.quotas.wallet.borrow_mut();
        match replies.next() {
            Some(QuotaReply::Granted(grant)) => wallet.apply(&customer, &grant, asked_at, now),
            Some(QuotaReply::Elsewhere) | None => wallet.fail(&customer, &rule, gateways, asked_at, now),
        }
    }
    step(&gateway);
}

/// Tells calls the decisions on them.
fn resolve(gateway: &Rc<Gateway>, ready: Vec<(WaitTicket, TakeOutcome)>) {
    for (ticket, outcome) in ready {
        let Some(call) = gateway.quotas.waiting.borrow_mut().remove(&ticket) else {
            continue;
        };
        let decision = match outcome {
            TakeOutcome::Taken(stamp) => Ok(QuotaToken::open(gateway, &call.customer, stamp)),
            TakeOutcome::Refused { retry_after } => Err(retry_after),
            TakeOutcome::Waits(_) => continue,
        };
        // A token that the call no longer waits for goes back when it is dropped.
        call.sender.send(decision).ok();
    }
}

/// Wakes the driver if something is due earlier than it planned.
fn plan_wake(gateway: &Gateway, now: ClockTime) {
    let quotas = &gateway.quotas;
    let wake_at = quotas.wallet.borrow().next_wake(now);
    let is_earlier = match (wake_at, quotas.planned_wake.get()) {
        (Some(wake_at), Some(planned)) => wake_at < planned,
        (wake_at, None) => wake_at.is_some(),
        (None, Some(_)) => false,
    };
    if is_earlier {
        quotas.planned_wake.set(wake_at);
        quotas.wake.notify_one();
    }
}
