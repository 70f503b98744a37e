//! The gateways of the model: what they do for calls, requests for tokens and answers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebony_limit::PeerState;
use ebony_limit::quota::{
    IssuerView, QuotaIssuer, QuotaPeer, QuotaReply, QuotaRole, QuotaWallet, RankCache, ReachLog, TakeOutcome,
    WaitTicket, quota_role,
};
use ebony_types::ClockTime;

use rand::Rng;

use super::{Asks, Event, Fleet, FleetOptions, REPLY_TIMEOUT, name_of, number_of};

/// A gateway without a link for this long is presumed to be gone.
const PRESUMED_GONE_AFTER: Duration = Duration::from_secs(1);

pub(crate) struct ModelGateway {
    pub name: String,
    /// The number of starts.
    pub life: u32,
    pub wallet: QuotaWallet,
    pub issuer: QuotaIssuer,
    pub ranks: RankCache,
    /// The gateways on its list.
    pub list: BTreeSet<usize>,
    /// When the links to others were lost.
    pub lost_at: BTreeMap<usize, ClockTime>,
    pub silent: BTreeSet<usize>,
    /// When something was last received from others.
    pub heard_at: Vec<ClockTime>,
    pub frozen_until: ClockTime,
    pub cut_until: ClockTime,
    pub reach: ReachLog,
    /// The version of the configuration that it knows.
    pub version: u64,
    pub wake_at: Option<ClockTime>,
}

/// The role of a gateway, with numbers in place of names.
enum ModelRole {
    Issues(IssuerView),
    Asks(usize),
    Alone(usize, bool),
}

impl ModelGateway {
    pub(crate) fn open(number: usize, options: &FleetOptions) -> Self {
        let name = format!("gateway-{number}");
        let others = (0..options.gateways).filter(|other| *other != number);
        let lost = others.filter(|_| !options.has_links);
        Self {
            wallet: QuotaWallet::open(&name),
            name,
            life: 0,
            issuer: QuotaIssuer::default(),
            ranks: RankCache::default(),
            list: (0..options.gateways).collect(),
            lost_at: lost.map(|other| (other, ClockTime::default())).collect(),
            silent: BTreeSet::new(),
            heard_at: vec![ClockTime::default(); options.gateways],
            frozen_until: ClockTime::default(),
            cut_until: ClockTime::default(),
            reach: ReachLog::default(),
            version: 0,
            wake_at: None,
        }
    }
}

impl Fleet {
    pub(crate) fn is_up(&self, gateway: usize) -> bool {
        self.gateways[gateway].frozen_until <= self.now
    }

    /// Returns whether frames from one gateway arrive at another one.
    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = |gateway: usize| self.gateways[gateway].cut_until > self.now;
        cut(from) == cut(to) && !self.is_unlinked(from, to)
    }

    pub(crate) fn is_unlinked(&self, from: usize, to: usize) -> bool {
        let is_lost = |own: usize, peer: usize| self.gateways[own].lost_at.contains_key(&peer);
        is_lost(from, to) || is_lost(to, from)
    }

    /// Returns what a gateway knows of the others.
    fn peers(&self, gateway: usize) -> Vec<QuotaPeer<'_>> {
        let own = &self.gateways[gateway];
        let is_known = |other: &usize| {
            *other != gateway && (own.list.contains(other) || !own.lost_at.contains_key(other))
        };
        let others = (0..self.gateways.len()).filter(is_known);
        others
            .map(|other| {
                let state = match own.lost_at.get(&other) {
                    Some(lost_at) if self.now.since(*lost_at) >= PRESUMED_GONE_AFTER => PeerState::Gone,
                    Some(_) => PeerState::Lost,
                    None if self.gateways[other].lost_at.contains_key(&gateway) => PeerState::Lost,
                    // It has dialed this gateway, which does not know its address.
                    None if !own.list.contains(&other) => PeerState::Lost,
                    None if own.silent.contains(&other) => PeerState::Silent,
                    None => PeerState::Linked,
                };
                // Without faults, pings are left out.
                let is_heard = self.options.has_links && !self.options.has_faults;
                let heard_at = if is_heard { self.now } else { own.heard_at[other] };
                QuotaPeer {
                    name: &self.gateways[other].name,
                    state,
                    unheard_for: self.now.since(heard_at),
                    is_absent: false,
                }
            })
            .collect()
    }

    fn role(&mut self, gateway: usize, customer: &str) -> ModelRole {
        let mut ranks = std::mem::take(&mut self.gateways[gateway].ranks);
        let own = &self.gateways[gateway];
        let peers = self.peers(gateway);
        let role = match quota_role(customer, &own.name, &peers, &mut ranks) {
            QuotaRole::Issues { linked, gateways } => ModelRole::Issues(IssuerView {
                linked,
                gateways,
                doubt_until: own.reach.doubt_until(),
            }),
            QuotaRole::Asks { issuer, .. } => {
                let number = issuer.trim_start_matches("gateway-").parse();
                ModelRole::Asks(number.expect("names of the model end in a number"))
            }
            QuotaRole::Alone { gateways, in_doubt } => ModelRole::Alone(gateways, in_doubt),
        };
        self.gateways[gateway].ranks = ranks;
        role
    }

    /// Asks for what is due, and ends the wait of calls.
    pub(crate) fn step(&mut self, gateway: usize) {
        if !self.is_up(gateway) {
            let thawed = self.gateways[gateway].frozen_until;
            return self.wake(gateway, thawed);
        }
        let now = self.now;
        let mut frames: BTreeMap<usize, Asks> = BTreeMap::new();
        let mut due = self.gateways[gateway].wallet.due(now);
        due.sort();
        for customer in due {
            let version = self.gateways[gateway].version;
            let rule = self.rule(version, number_of(&customer));
            let role = self.role(gateway, &customer);
            let own = &mut self.gateways[gateway];
            match role {
                ModelRole::Issues(view) => {
                    if let Some(ask) = own.wallet.ask(&customer, rule, version, now) {
                        let grant = own.issuer.answer(&own.name, &ask, view, now);
                        own.wallet.apply(&customer, &grant, now, now);
                    }
                }
                ModelRole::Asks(issuer) => {
                    own.issuer.retain(|issued| issued != customer);
                    let ask = own.wallet.ask(&customer, rule, version, now);
                    frames.entry(issuer).or_default().extend(ask);
                }
                ModelRole::Alone(gateways, in_doubt) => {
                    own.issuer.retain(|issued| issued != customer);
                    own.wallet.spend_share(&customer, &rule, gateways, in_doubt, now);
                }
            }
        }
        for (issuer, asks) in frames {
            self.send_asks(gateway, issuer, asks);
        }
        for (ticket, outcome) in self.gateways[gateway].wallet.ready(now) {
            self.resolve(gateway, ticket, outcome);
        }
        if let Some(at) = self.gateways[gateway].wallet.next_wake(now) {
            self.wake(gateway, at);
        }
    }

    fn wake(&mut self, gateway: usize, at: ClockTime) {
        let own = &mut self.gateways[gateway];
        let at = at.max(self.now + Duration::from_millis(1));
        if own.wake_at.is_none_or(|known| known > at) {
            own.wake_at = Some(at);
            let life = own.life;
            self.schedule(at.since(self.now), Event::Wake { gateway, life });
        }
    }

    fn send_asks(&mut self, from: usize, to: usize, asks: Asks) {
        let (now, life) = (self.now, self.gateways[from].life);
        let customers = asks.iter().map(|ask| ask.customer.clone()).collect();
        let overdue = Event::Overdue {
            gateway: (from, life),
            peer: to,
            asked_at: now,
            customers,
        };
        self.schedule(REPLY_TIMEOUT, overdue);
        self.count_message(&asks);
        let Some(delay) = self.travel(from, to) else {
            return;
        };
        let asked = Event::Asked {
            from: (from, life),
            to: (to, self.gateways[to].life),
            asked_at: now,
            asks,
        };
        self.schedule(delay, asked);
    }

    /// Returns the latency of a frame; `None` if it is lost.
    fn travel(&mut self, from: usize, to: usize) -> Option<Duration> {
        let is_lost = self.options.has_faults && self.rng.random_bool(0.01);
        if is_lost || !self.reaches(from, to) {
            return None;
        }
        let is_late = self.options.has_faults && self.rng.random_bool(0.03);
        Some(if is_late {
            self.millis(5, 400)
        } else {
            self.millis(1, 3)
        })
    }

    fn count_message<M: serde::Serialize>(&mut self, message: &M) {
        self.messages += 1;
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("messages can be encoded");
        self.message_bytes += bytes.len() as u64;
    }

    pub(crate) fn answer(&mut self, from: (usize, u32), to: (usize, u32), asked_at: ClockTime, asks: Asks) {
        let (gateway, life) = to;
        if self.gateways[gateway].life != life {
            return;
        }
        if !self.is_up(gateway) {
            // The frame stays in the buffer of the connection.
            let delay = self.gateways[gateway].frozen_until.since(self.now);
            let asked = Event::Asked {
                from,
                to,
                asked_at,
                asks,
            };
            return self.schedule(delay, asked);
        }
        let now = self.now;
        self.gateways[gateway].heard_at[from.0] = now;
        let holder = self.gateways[from.0].name.clone();
        let mut replies = Vec::new();
        for mut ask in asks {
            let role = self.role(gateway, &ask.customer);
            let version = self.gateways[gateway].version;
            if version > ask.version {
                ask.version = version;
                ask.rule = self.rule(version, number_of(&ask.customer));
            }
            let own = &mut self.gateways[gateway];
            let reply = match role {
                ModelRole::Issues(view) => QuotaReply::Granted(own.issuer.answer(&holder, &ask, view, now)),
                ModelRole::Asks(_) | ModelRole::Alone(..) => {
                    own.issuer.retain(|issued| issued != ask.customer);
                    QuotaReply::Elsewhere
                }
            };
            replies.push((ask.customer, reply));
        }
        self.count_message(&replies);
        let Some(delay) = self.travel(gateway, from.0) else {
            return;
        };
        let answered = Event::Answered {
            from: gateway,
            to: from,
            asked_at,
            replies,
        };
        self.schedule(delay, answered);
    }

    pub(crate) fn apply(
        &mut self,
        from: usize,
        to: (usize, u32),
        asked_at: ClockTime,
        replies: Vec<(String, QuotaReply)>,
    ) {
        let (gateway, life) = to;
        if self.gateways[gateway].life != life {
            return;
        }
        if !self.is_up(gateway) {
            let delay = self.gateways[gateway].frozen_until.since(self.now);
            let answered = Event::Answered {
                from,
                to,
                asked_at,
                replies,
            };
            return self.schedule(delay, answered);
        }
        let now = self.now;
        self.gateways[gateway].heard_at[from] = now;
        self.gateways[gateway].silent.remove(&from);
        for (customer, reply) in replies {
            match reply {
                QuotaReply::Granted(grant) => {
                    let wallet = &mut self.gateways[gateway].wallet;
                    wallet.apply(&customer, &grant, asked_at, now);
                }
                QuotaReply::Elsewhere => self.fail_customer(gateway, &customer, asked_at),
            }
        }
        self.step(gateway);
    }

    pub(crate) fn fail(
        &mut self,
        gateway: (usize, u32),
        peer: usize,
        asked_at: ClockTime,
        customers: &[String],
    ) {
        let (gateway, life) = gateway;
        if self.gateways[gateway].life != life || !self.is_up(gateway) {
            if self.gateways[gateway].life == life {
                let overdue = Event::Overdue {
                    gateway: (gateway, life),
                    peer,
                    asked_at,
                    customers: customers.to_vec(),
                };
                self.schedule(self.gateways[gateway].frozen_until.since(self.now), overdue);
            }
            return;
        }
        let is_open = |customer: &String| self.gateways[gateway].wallet.is_asked(customer, asked_at);
        if customers.iter().any(is_open) {
            self.gateways[gateway].silent.insert(peer);
        }
        for customer in customers {
            self.fail_customer(gateway, customer, asked_at);
        }
        self.step(gateway);
    }

    fn fail_customer(&mut self, gateway: usize, customer: &str, asked_at: ClockTime) {
        let gateways = self.gateways[gateway].list.len();
        let rule = self.rule(self.gateways[gateway].version, number_of(customer));
        let now = self.now;
        let wallet = &mut self.gateways[gateway].wallet;
        wallet.fail(customer, &rule, gateways, asked_at, now);
    }

    /// Drops the buckets of customers whose tokens a gateway no longer issues, if it hears from others than before.
    pub(crate) fn review_roles(&mut self, gateway: usize) {
        let mut reach = std::mem::take(&mut self.gateways[gateway].reach);
        let has_changed = reach.update(&self.peers(gateway), self.now);
        self.gateways[gateway].reach = reach;
        if !has_changed {
            return;
        }
        for customer in 0..self.options.rates.len() {
            let customer = name_of(customer);
            if !matches!(self.role(gateway, &customer), ModelRole::Issues(_)) {
                self.gateways[gateway].issuer.retain(|issued| issued != customer);
            }
        }
    }

    fn resolve(&mut self, gateway: usize, ticket: WaitTicket, outcome: TakeOutcome) {
        if let Some(call) = self.waiting.remove(&(gateway, ticket)) {
            self.decide(gateway, call, outcome);
        }
    }
}
