//! The state of quotas at one gateway.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ebony_limit::RequestRate;
use ebony_limit::quota::{
    IssuerView, QuotaIssuer, QuotaRole, QuotaRule, QuotaWallet, RankCache, ReachLog, WaitTicket, quota_role,
};
use ebony_types::{ClockTime, CustomerName};
use slog::info;
use tokio::sync::{Notify, oneshot};

use super::take::Decision;
use crate::decision_log::LineKind;
use crate::gateway::Gateway;
use crate::links::PeerReach;

/// The age from which on it is determined anew which gateways are reached.
const MAX_REACH_AGE: Duration = Duration::from_millis(25);

/// A call that waits for a token.
pub(super) struct WaitingCall {
    pub(super) customer: CustomerName,
    pub(super) sender: oneshot::Sender<Decision>,
}

/// The role of this gateway for one customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RoleOf {
    /// It issues the customer's tokens.
    Issuer(IssuerView),
    /// It asks this gateway, and divides the quota among a number of gateways if that one does not answer.
    Asker(String, usize),
    /// It uses its share among a number of gateways, or a part of it while another gateway may be issuing it.
    Alone(usize, bool),
}

impl RoleOf {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Issuer(_) => "issuer",
            Self::Asker(..) => "asker",
            Self::Alone(_, true) => "alone_in_doubt",
            Self::Alone(_, false) => "alone",
        }
    }
}

/// The tokens that this gateway holds and issues.
pub(crate) struct QuotaManager {
    pub(super) wallet: RefCell<QuotaWallet>,
    pub(super) issuer: RefCell<QuotaIssuer>,
    pub(super) waiting: RefCell<HashMap<WaitTicket, WaitingCall>>,
    /// Notified when something is due earlier than the driver planned.
    pub(super) wake: Notify,
    pub(super) planned_wake: Cell<Option<ClockTime>>,
    ranks: RefCell<RankCache>,
    reach: RefCell<(ClockTime, Vec<PeerReach>)>,
    reach_log: RefCell<ReachLog>,
    /// The kinds of the roles that were last logged.
    roles: RefCell<HashMap<String, &'static str>>,
}

impl QuotaManager {
    /// Creates the state of the gateway with this name.
    pub(crate) fn open(own: &str) -> Self {
        Self {
            wallet: RefCell::new(QuotaWallet::open(own)),
            issuer: RefCell::default(),
            waiting: RefCell::default(),
            wake: Notify::new(),
            planned_wake: Cell::default(),
            ranks: RefCell::default(),
            reach: RefCell::default(),
            reach_log: RefCell::default(),
            roles: RefCell::default(),
        }
    }
}

/// Returns a customer's quota, and the version of the configuration that states it. Returns `None` if there is none.
pub(super) fn rule_of(gateway: &Gateway, customer: &CustomerName) -> Option<(QuotaRule, u64)> {
    let routing = gateway.routing()?;
    let known = routing.customer(customer)?;
    let rate = RequestRate::per_second(known.rate?).ok()?;
    let rule = QuotaRule::open(rate, known.burst).ok()?;
    Some((rule, routing.version().0))
}

/// Returns this gateway's role for a customer.
pub(super) fn role_of(gateway: &Gateway, customer: &str) -> RoleOf {
    refresh_reach(gateway);
    let now = gateway.clock.now();
    let quotas = &gateway.quotas;
    let reach = quotas.reach.borrow();
    let peers: Vec<_> = reach.1.iter().map(|peer| peer.as_peer(now)).collect();
    let mut ranks = quotas.ranks.borrow_mut();
    let role = match quota_role(customer, gateway.fleet.process(), &peers, &mut ranks) {
        QuotaRole::Issues { linked, gateways } => RoleOf::Issuer(IssuerView {
            linked,
            gateways,
            doubt_until: quotas.reach_log.borrow().doubt_until(),
        }),
        QuotaRole::Asks { issuer, gateways } => RoleOf::Asker(issuer.to_owned(), gateways),
        QuotaRole::Alone { gateways, in_doubt } => RoleOf::Alone(gateways, in_doubt),
    };
    log_role(gateway, customer, &role);
    role
}

fn log_role(gateway: &Gateway, customer: &str, role: &RoleOf) {
    let kind = role.as_str();
    let mut roles = gateway.quotas.roles.borrow_mut();
    let before = roles.get(customer).copied();
    if before == Some(kind) {
        return;
    }
    roles.insert(customer.to_owned(), kind);
    gateway.metrics.quota_roles.with_label_values(&[kind]).inc();
    if gateway.decisions.admits(LineKind::State) {
        info!(gateway.logger, "role for a customer's quota";
            "customer" => customer, "role" => kind, "before" => before);
    }
}

/// Determines anew which gateways are reached. If others are reached than before, the roles are reviewed, because
/// another gateway may have issued tokens meanwhile.
fn refresh_reach(gateway: &Gateway) {
    let now = gateway.clock.now();
    let quotas = &gateway.quotas;
    let age = now.since(quotas.reach.borrow().0);
    if age < MAX_REACH_AGE && !quotas.reach.borrow().1.is_empty() {
        return;
    }
    let reach = gateway.links.reach();
    let peers: Vec<_> = reach.iter().map(|peer| peer.as_peer(now)).collect();
    let has_changed = quotas.reach_log.borrow_mut().update(&peers, now);
    drop(peers);
    *quotas.reach.borrow_mut() = (now, reach);
    if has_changed {
        review_roles(gateway);
    }
}

/// Drops the buckets of customers whose tokens this gateway no longer issues.
fn review_roles(gateway: &Gateway) {
    let customers = gateway.quotas.issuer.borrow().customers();
    let issued: HashSet<String> = customers
        .into_iter()
        .filter(|customer| matches!(role_of(gateway, customer), RoleOf::Issuer(_)))
        .collect();
    let mut issuer = gateway.quotas.issuer.borrow_mut();
    issuer.retain(|customer| issued.contains(customer));
}

/// Reviews the reached gateways, and drops what is no longer used.
pub(super) fn maintain(gateway: &Gateway, unused_time: Duration) {
    refresh_reach(gateway);
    let now = gateway.clock.now();
    gateway.links.expire_heard();
    let quotas = &gateway.quotas;
    quotas.wallet.borrow_mut().expire(now);
    quotas.issuer.borrow_mut().expire(now, unused_time);
    if let Some(routing) = gateway.routing() {
        let mut roles = quotas.roles.borrow_mut();
        roles.retain(|customer, _| {
            CustomerName::parse(customer).is_ok_and(|customer| routing.customer(&customer).is_some())
        });
    }
}
