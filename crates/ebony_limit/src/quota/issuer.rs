//! The tokens that one gateway issues to all others.

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::ClockTime;

use super::block::BLOCK_LIFETIME;
use super::bucket::TokenBucket;
use super::message::{QuotaAsk, QuotaGrant};
use super::need::ProgramNeed;
use super::rule::QuotaRule;

/// How far ahead of time tokens are granted to calls that wait, so that no token is left over between two requests of a
/// gateway. It is shorter than the lifetime of a block.
const GRANT_AHEAD: Duration = Duration::from_millis(200);

/// How many programs may begin at once: those that the rate carries in this time, because a program spreads its requests
/// over seconds, or a few, so that a customer of few programs is not refused for two that begin together.
const PROGRAM_BURST_TIME: Duration = Duration::from_secs(2);
const PROGRAM_BURST: f64 = 4.0;

/// The interval at which grants that expired are removed from the sum of outstanding ones.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of customers. Configurations have a hundred.
const MAX_CUSTOMERS: usize = 4_096;

/// What the issuer knows of the other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuerView {
    /// The number of gateways whose shares it issues, with itself.
    pub linked: usize,
    /// The number of gateways among which the quota is divided.
    pub gateways: usize,
    /// Until when another gateway may issue tokens too, if this one has just begun to; see [`super::ReachLog`].
    pub doubt_until: ClockTime,
}

/// The tokens of one gateway that may be unused.
#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    tokens: u32,
    expires_at: ClockTime,
}

#[derive(Clone, Debug)]
struct CustomerBooks {
    rule: QuotaRule,
    version: u64,
    /// Until when another gateway may issue tokens too.
    doubt_until: ClockTime,
    requests: TokenBucket,
    programs: TokenBucket,
    need: ProgramNeed,
    held: HashMap<String, HeldGrant>,
    /// The sum of the tokens in `held`.
    outstanding: u64,
    expired_at: ClockTime,
    used_at: ClockTime,
}

/// Issues the tokens of customers.
///
/// ```
/// use ebony_limit::RequestRate;
/// use ebony_limit::quota::{IssuerView, QuotaAsk, QuotaIssuer, QuotaRule};
/// use ebony_types::ClockTime;
///
/// let view = IssuerView {
///     linked: 1,
///     gateways: 1,
///     doubt_until: ClockTime::default(),
/// };
/// let rule = QuotaRule::open(RequestRate::per_second(10.0)?, 5.0)?;
/// let ask = QuotaAsk { wanted: 20, ..QuotaAsk::open("c", rule, 1) };
/// let mut issuer = QuotaIssuer::default();
/// let grant = issuer.answer("gateway-1", &ask, view, ClockTime::from_millis(60_000));
/// assert_eq!(grant.tokens, 10);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuotaIssuer {
    customers: HashMap<String, CustomerBooks>,
}

impl QuotaIssuer {
    /// Answers a gateway's request for tokens.
    pub fn answer(&mut self, holder: &str, ask: &QuotaAsk, view: IssuerView, now: ClockTime) -> QuotaGrant {
        if !self.customers.contains_key(&ask.customer) && self.customers.len() >= MAX_CUSTOMERS {
            return QuotaGrant {
                next_token_us: micros(EXPIRY_INTERVAL.as_secs_f64()),
                next_program_us: micros(EXPIRY_INTERVAL.as_secs_f64()),
                ..QuotaGrant::default()
            };
        }
        let books = self
            .customers
            .entry(ask.customer.clone())
            .or_insert_with(|| CustomerBooks::open(ask, view, now));
        books.answer(holder, ask, view, now)
    }

    /// Drops the customers whose tokens this gateway no longer issues. Once it issues them again, it starts with an
    /// empty bucket.
    pub fn retain(&mut self, issues: impl Fn(&str) -> bool) {
        self.customers.retain(|customer, _| issues(customer));
    }

    /// Drops customers for which no tokens were asked in a time that fills their buckets.
    pub fn expire(&mut self, now: ClockTime, unused_time: Duration) {
        self.customers
            .retain(|_, books| now.since(books.used_at) < unused_time);
    }

    /// Returns the names of the customers.
    pub fn customers(&self) -> Vec<String> {
        self.customers.keys().cloned().collect()
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

impl CustomerBooks {
    fn open(ask: &QuotaAsk, view: IssuerView, now: ClockTime) -> Self {
        let doubt_until = view.doubt_until;
        let due = now.since(doubt_until).as_secs_f64() * shares_rate(&ask.rule, view);
        let need = ProgramNeed::open(now);
        let level = due.min(ask.rule.capacity());
        // Programs that begin too early wait for their tokens, but do not exceed the quota.
        let program_level = program_capacity(&ask.rule, need.requests()) / 2.0;
        Self {
            rule: ask.rule,
            version: ask.version,
            doubt_until,
            requests: TokenBucket::open(level, now),
            programs: TokenBucket::open(program_level, now),
            need,
            held: HashMap::new(),
            outstanding: 0,
            expired_at: now,
            used_at: now,
        }
    }

    fn answer(&mut self, holder: &str, ask: &QuotaAsk, view: IssuerView, now: ClockTime) -> QuotaGrant {
        self.used_at = now;
        if ask.version >= self.version {
            (self.rule, self.version) = (ask.rule, ask.version);
        }
        self.need.record(ask.sent, ask.began, now);
        let rate = self.rate(view, now);
        self.credit(holder, ask, rate, now);
        let ahead = rate * GRANT_AHEAD.as_secs_f64();
        let programs = self.take_programs(ask.programs);
        let due = whole(self.requests.level()).min(ask.wanted);
        let early = whole(self.requests.level() - f64::from(due) + ahead);
        let tokens = due.max(early.saturating_add(due).min(ask.waiting));
        self.requests.draw(f64::from(tokens));
        self.record_held(holder, ask.held.saturating_add(tokens), now);
        self.grant(tokens, programs, rate)
    }

    /// Returns the requests a second that may be granted: the shares of the gateways that the issuer hears from, and a
    /// part of them while another gateway may be issuing them too.
    fn rate(&self, view: IssuerView, now: ClockTime) -> f64 {
        let part = if now < self.doubt_until {
            self.rule.doubtful_part()
        } else {
            1.0
        };
        part * shares_rate(&self.rule, view)
    }

    /// Applies what became due and what the gateway reports of its earlier tokens.
    fn credit(&mut self, holder: &str, ask: &QuotaAsk, rate: f64, now: ClockTime) {
        let known = self.held.get(holder).map_or(0, |held| held.tokens);
        self.record_held(holder, ask.held.min(known), now);
        self.expire_held(now);
        let need = self.need.requests();
        let room = (self.rule.capacity() - self.outstanding as f64).max(0.0);
        self.requests.draw(-f64::from(ask.unused));
        self.programs.draw(-f64::from(ask.unused_programs) * need);
        self.requests.fill(rate, room, now);
        self.programs.fill(rate, program_capacity(&self.rule, need), now);
    }

    /// Takes the tokens of programs that may begin. None begins while the programs under way use all that is due.
    fn take_programs(&mut self, wanted: u32) -> u32 {
        if self.requests.level() < 0.0 {
            return 0;
        }
        let need = self.need.requests();
        let programs = whole(self.programs.level() / need).min(wanted);
        self.programs.draw(f64::from(programs) * need);
        programs
    }

    fn grant(&self, tokens: u32, programs: u32, rate: f64) -> QuotaGrant {
        let need = self.need.requests();
        let ahead = rate * GRANT_AHEAD.as_secs_f64();
        let due = self.requests.wait_for(0.0, rate);
        let interval = self.held.len().max(1) as f64 / rate.max(f64::EPSILON);
        QuotaGrant {
            tokens,
            programs,
            wait_us: micros(due),
            next_token_us: micros(self.requests.wait_for((1.0 - ahead).max(0.0), rate)),
            next_program_us: micros(self.programs.wait_for(need, rate).max(due)),
            token_interval_us: micros(interval),
            program_interval_us: micros(interval * need),
        }
    }

    fn record_held(&mut self, holder: &str, tokens: u32, now: ClockTime) {
        let grant = HeldGrant {
            tokens,
            expires_at: now + BLOCK_LIFETIME,
        };
        let before = self.held.insert(holder.to_owned(), grant);
        self.outstanding -= before.map_or(0, |held| u64::from(held.tokens));
        self.outstanding += u64::from(tokens);
    }

    fn expire_held(&mut self, now: ClockTime) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.held.retain(|_, held| held.expires_at > now);
        self.outstanding = self.held.values().map(|held| u64::from(held.tokens)).sum();
    }
}

/// Returns the shares of the gateways that the issuer hears from, in requests a second.
fn shares_rate(rule: &QuotaRule, view: IssuerView) -> f64 {
    let linked = view.linked.min(view.gateways) as f64;
    rule.rate.as_per_second() * linked / view.gateways.max(1) as f64
}

fn program_capacity(rule: &QuotaRule, need: f64) -> f64 {
    let carried = rule.rate.as_per_second() * PROGRAM_BURST_TIME.as_secs_f64() + rule.burst();
    carried.max(need * PROGRAM_BURST)
}

/// Returns the number of whole tokens.
fn whole(tokens: f64) -> u32 {
    // The conversion saturates. The sum of many parts of a token may lack a millionth.
    (tokens + 1e-6).max(0.0) as u32
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).ceil() as u64
}
