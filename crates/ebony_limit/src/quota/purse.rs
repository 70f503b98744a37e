//! The tokens of one customer at one gateway, and the calls that wait for them.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_types::ClockTime;

use super::block::{BLOCK_LIFETIME, BlockList};
use super::demand::DemandRate;
use super::message::{QuotaAsk, QuotaGrant};
use super::own_share::OwnShare;
use super::role::UNHEARD_AFTER;
use super::rule::QuotaRule;
use crate::return_schedule::ReturnSchedule;

/// The time whose calls a block covers, the fewest calls in it, and the time before it runs out at which the next one is
/// asked for.
const COVERED_TIME: Duration = Duration::from_millis(300);
const MIN_COVERED_CALLS: f64 = 1.5;
const REFILL_TIME: Duration = Duration::from_millis(100);

/// The shortest and the longest time between two requests for tokens while there are too few.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(40);
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(400);

/// The maximum number of calls of one customer that wait for tokens.
const MAX_WAITING_CALLS: usize = 1_024;

/// The `Retry-After` of a call when more callers are expected back than there are tokens.
const CROWDED_RETURN_DELAY: Duration = Duration::from_millis(1_500);

/// The shortest `Retry-After`: a round trip of the caller.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(20);

/// How urgently a call needs a token, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallClass {
    /// A call of a program under way. Refusing it wastes what the program has done.
    UnderWay,
    /// A call without a program.
    Single,
    /// The first turn of a program.
    FirstTurn,
}

/// A token that a call took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaStamp {
    /// Whether it lets a program begin.
    pub has_program: bool,
    /// Until when it may be used.
    pub expires_at: ClockTime,
}

/// The decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PurseDecision {
    Taken(QuotaStamp),
    Refused(Duration),
    Waits,
}

#[derive(Clone, Debug)]
pub(super) struct Purse {
    blocks: BlockList,
    demand: DemandRate,
    /// Until when each waiting call waits, by class and ticket.
    waiting: BTreeMap<(CallClass, u64), ClockTime>,
    /// When the request for tokens was sent that is not answered yet.
    pub(super) asked_at: Option<ClockTime>,
    /// When tokens may be asked for again.
    next_ask_at: ClockTime,
    /// Until when no program can begin.
    next_program_at: ClockTime,
    /// The intervals of tokens and programs for this gateway, as the issuer last stated them.
    intervals: (Duration, Duration),
    token_returns: ReturnSchedule,
    program_returns: ReturnSchedule,
    share: Option<OwnShare>,
    /// Since when no issuer has answered.
    unanswered_since: Option<ClockTime>,
    sent: u32,
    began: u32,
    pub(super) used_at: ClockTime,
}

impl Purse {
    pub(super) fn open(now: ClockTime) -> Self {
        Self {
            blocks: BlockList::default(),
            demand: DemandRate::open(now),
            waiting: BTreeMap::new(),
            asked_at: None,
            next_ask_at: now,
            next_program_at: now,
            intervals: (Duration::ZERO, Duration::ZERO),
            token_returns: ReturnSchedule::default(),
            program_returns: ReturnSchedule::default(),
            share: None,
            unanswered_since: None,
            sent: 0,
            began: 0,
            used_at: now,
        }
    }

    /// Takes a token for a call, or lets it wait until a time.
    pub(super) fn take(
        &mut self,
        class: CallClass,
        until: ClockTime,
        ticket: u64,
        now: ClockTime,
    ) -> PurseDecision {
        self.used_at = now;
        self.demand.record(now);
        let goes_first = self.waiting.keys().next().is_none_or(|(first, _)| *first > class);
        if goes_first && let Some(stamp) = self.take_held(class, now) {
            return PurseDecision::Taken(stamp);
        }
        let is_first_turn = class == CallClass::FirstTurn;
        let has_no_program = is_first_turn && self.next_program_at > now;
        // Programs are asked for without regard to the interval, which holds for tokens that were lacking.
        let comes_late = !is_first_turn && self.share.is_none() && self.next_ask_at >= until;
        if has_no_program || comes_late || self.waiting.len() >= MAX_WAITING_CALLS {
            return PurseDecision::Refused(self.return_delay(class, now));
        }
        self.waiting.insert((class, ticket), until);
        PurseDecision::Waits
    }

    fn take_held(&mut self, class: CallClass, now: ClockTime) -> Option<QuotaStamp> {
        let has_program = class == CallClass::FirstTurn;
        let expires_at = self.blocks.take(has_program, now)?;
        Some(QuotaStamp {
            has_program,
            expires_at,
        })
    }

    /// Removes a call that no longer waits.
    pub(super) fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|(_, waiting), _| *waiting != ticket);
    }

    /// Takes back the token of a call that did not run.
    pub(super) fn put_back(&mut self, stamp: QuotaStamp, now: ClockTime) {
        self.blocks.put_back(stamp.has_program, stamp.expires_at, now);
        self.blocks.expire(now);
    }

    /// Counts a call that was sent.
    pub(super) fn record_sent(&mut self, is_first_turn: bool) {
        self.sent = self.sent.saturating_add(1);
        self.began = self.began.saturating_add(u32::from(is_first_turn));
    }

    /// Returns whether tokens should be asked for.
    pub(super) fn is_due(&self, now: ClockTime) -> bool {
        if self.asked_at.is_some() {
            return false;
        }
        let lacks_programs = self.lacks_programs();
        if lacks_programs && self.share.is_none() && self.next_program_at <= now {
            return true;
        }
        self.next_ask_at <= now && (lacks_programs || self.wants(now).0 > 0)
    }

    /// Returns when tokens should be asked for, or calls stop to wait, or tokens change.
    pub(super) fn next_wake(&self, now: ClockTime) -> Option<ClockTime> {
        let ask_at = (self.asked_at.is_none() && !self.waiting.is_empty()).then_some(self.next_ask_at);
        let change_at = self.blocks.next_change(now).filter(|_| !self.waiting.is_empty());
        let end_at = self.waiting.values().min().copied();
        [ask_at, change_at, end_at].into_iter().flatten().min()
    }

    fn lacks_programs(&self) -> bool {
        self.waiting_programs() > self.blocks.held().1
    }

    fn waiting_programs(&self) -> u32 {
        let programs = self.waiting.range((CallClass::FirstTurn, 0)..).count();
        u32::try_from(programs).unwrap_or(u32::MAX)
    }

    /// Returns the tokens to ask for, and how many of them are for calls that wait.
    fn wants(&self, now: ClockTime) -> (u32, u32) {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let (held, _) = self.blocks.held();
        let lacking = waiting.saturating_sub(held);
        let demand = self.demand.per_second(now);
        let covered = demand * COVERED_TIME.as_secs_f64();
        // A customer with fewer calls asks for each of them; most tokens that are asked for earlier would expire.
        if covered < MIN_COVERED_CALLS {
            return (lacking, lacking);
        }
        let spare = f64::from(held.saturating_sub(waiting));
        if lacking == 0 && spare > demand * REFILL_TIME.as_secs_f64() {
            return (0, 0);
        }
        let wanted = (covered + f64::from(waiting)).ceil() as u32;
        (wanted.saturating_sub(held).max(lacking), lacking)
    }

    /// Returns the request for tokens, and counts what it reports as reported.
    pub(super) fn ask(&mut self, customer: &str, rule: QuotaRule, version: u64, now: ClockTime) -> QuotaAsk {
        self.blocks.expire(now);
        let (wanted, waiting) = self.wants(now);
        let (held, held_programs) = self.blocks.held();
        let (unused, unused_programs) = self.blocks.take_expired();
        self.asked_at = Some(now);
        QuotaAsk {
            customer: customer.to_owned(),
            rule,
            version,
            wanted,
            waiting,
            programs: self.waiting_programs().saturating_sub(held_programs),
            held,
            unused,
            unused_programs,
            sent: std::mem::take(&mut self.sent),
            began: std::mem::take(&mut self.began),
        }
    }

    /// Applies the answer to the request that was sent at a time.
    pub(super) fn apply(&mut self, grant: &QuotaGrant, asked_at: ClockTime, now: ClockTime) {
        self.blocks.add(grant, asked_at, now);
        if self.asked_at == Some(asked_at) {
            self.asked_at = None;
        }
        (self.share, self.unanswered_since) = (None, None);
        let micros = Duration::from_micros;
        self.intervals = (micros(grant.token_interval_us), micros(grant.program_interval_us));
        self.next_program_at = now + micros(grant.next_program_us);
        let (wanted, _) = self.wants(now);
        if wanted > 0 {
            let next_token = micros(grant.next_token_us);
            self.next_ask_at = now + next_token.clamp(MIN_ASK_INTERVAL, MAX_ASK_INTERVAL);
        }
    }

    /// Records that the request that was sent at a time has no answer.
    pub(super) fn fail(&mut self, asked_at: ClockTime, now: ClockTime) {
        if self.asked_at == Some(asked_at) {
            self.asked_at = None;
            self.unanswered_since.get_or_insert(asked_at);
            self.next_ask_at = now + MIN_ASK_INTERVAL;
        }
    }

    /// Returns whether the gateway may use a part of its own share, and whether an issuer may still be using it.
    pub(super) fn lacks_issuer(&self, now: ClockTime) -> Option<bool> {
        let since = self.unanswered_since?;
        Some(now.since(since) < UNHEARD_AFTER)
    }

    /// Lets the gateway use a part of the quota in place of an issuer, for the calls that wait now.
    pub(super) fn open_share(
        &mut self,
        own: &str,
        customer: &str,
        rule: &QuotaRule,
        part: f64,
        now: ClockTime,
    ) {
        let opened = || OwnShare::open(own, customer, rule, part, now);
        let share = self.share.get_or_insert_with(opened);
        share.set_part(rule, part, now);
    }

    /// Records that the gateway has no issuer to ask, and when it looks for one again.
    pub(super) fn stay_alone(&mut self, now: ClockTime) {
        self.next_ask_at = now + MIN_ASK_INTERVAL;
    }

    /// Removes and returns the calls whose wait has ended.
    pub(super) fn ready(&mut self, now: ClockTime) -> Vec<(u64, PurseDecision)> {
        let mut ended = Vec::new();
        let calls: Vec<_> = self.waiting.iter().map(|(key, until)| (*key, *until)).collect();
        let mut lacks = (false, false);
        for ((class, ticket), until) in calls {
            let is_first_turn = class == CallClass::FirstTurn;
            let lacking = if is_first_turn { &mut lacks.1 } else { &mut lacks.0 };
            let taken = if *lacking { None } else { self.take_any(class, now) };
            *lacking = taken.is_none();
            let has_no_program = is_first_turn
                && self.asked_at.is_none()
                && self.next_program_at > now
                && self.blocks.held().1 == 0;
            let decision = match taken {
                Some(stamp) => PurseDecision::Taken(stamp),
                None if until <= now || has_no_program => {
                    PurseDecision::Refused(self.return_delay(class, now))
                }
                None => continue,
            };
            self.waiting.remove(&(class, ticket));
            ended.push((ticket, decision));
        }
        ended
    }

    /// Takes a token from a block, or from the gateway's own share.
    fn take_any(&mut self, class: CallClass, now: ClockTime) -> Option<QuotaStamp> {
        if let Some(stamp) = self.take_held(class, now) {
            return Some(stamp);
        }
        let has_program = class == CallClass::FirstTurn;
        let share = self.share.as_mut()?;
        match share.take(has_program, now) {
            Ok(()) => Some(QuotaStamp {
                has_program,
                expires_at: now + BLOCK_LIFETIME,
            }),
            Err(wait) => {
                if has_program {
                    self.next_program_at = now + wait;
                }
                None
            }
        }
    }

    /// Lets all calls go that wait, because the customer has no quota any more.
    pub(super) fn lift(&mut self, now: ClockTime) -> Vec<(u64, PurseDecision)> {
        let waiting = std::mem::take(&mut self.waiting);
        let stamp = QuotaStamp {
            has_program: false,
            expires_at: now,
        };
        let tickets = waiting.into_keys().map(|(_, ticket)| ticket);
        tickets
            .map(|ticket| (ticket, PurseDecision::Taken(stamp)))
            .collect()
    }

    /// Returns when a refused caller should come back.
    fn return_delay(&mut self, class: CallClass, now: ClockTime) -> Duration {
        let (schedule, at, interval) = match class {
            CallClass::FirstTurn => (&mut self.program_returns, self.next_program_at, self.intervals.1),
            _ => (&mut self.token_returns, self.next_ask_at, self.intervals.0),
        };
        let wait = at.since(now).max(MIN_RETURN_DELAY);
        schedule
            .delay(now, wait, interval)
            .unwrap_or(CROWDED_RETURN_DELAY)
    }

    /// Returns whether the purse may be dropped: no call waits, and nothing was used for a time.
    pub(super) fn is_unused(&self, now: ClockTime, unused_time: Duration, share_time: Duration) -> bool {
        let kept = if self.share.is_some() {
            share_time
        } else {
            unused_time
        };
        self.waiting.is_empty() && self.asked_at.is_none() && now.since(self.used_at) >= kept
    }
}
