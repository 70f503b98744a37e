//! A model of gateways that divide the limit of one target. Links lose, delay and cut messages, gateways restart and
//! freeze, their lists of each other differ, and the limit rises, falls and ends.
//!
//! It checks what the target gets against the rule that it may state: beyond a tolerance, no more than its limit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ebony_limit::{
    DivisionRole, LimitBelief, LimitObservation, LimitPart, LimitedTarget, PeerState, PermitDecision,
    PermitDesk, RequestRate, division_role,
};
use ebony_types::{ClockTime, TargetName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 60;
const RUN_TIME: Duration = Duration::from_secs(40);
const TARGET: &str = "t-1";

/// The time from the first naming of a limit from which on the rule holds.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// The window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// A gateway is bound by a limit this long after it passed on an answer that names it.
const BINDING_TIME: Duration = Duration::from_millis(500);
const RATE_TOLERANCE: f64 = 1.5;
const BURST_TOLERANCE: f64 = 5.0;

/// The use of the limit without faults, in relation to the limit, while callers ask for more.
const MIN_USE: f64 = 0.9;

/// The time in which all gateways learn of the first limit.
const LEARNING_TIME: Duration = Duration::from_secs(1);

const REPLY_TIMEOUT: Duration = Duration::from_millis(120);
const PRESUMED_GONE_AFTER: Duration = Duration::from_secs(1);
const PONG_INTERVAL: Duration = Duration::from_secs(1);
const MAX_ASKED_GATEWAYS: u32 = 2;
/// The longest time that a call waits for its permit.
const MAX_WAIT: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A call looks for a permit, after this number of gateways did not answer.
    Call { gateway: usize, unanswered: u32 },
    /// A request reaches the target.
    Request {
        gateway: usize,
        life: u32,
        sent_at: ClockTime,
    },
    /// A gateway passes on an answer.
    Answer {
        gateway: usize,
        life: u32,
        observation: LimitObservation,
    },
    /// A gateway hears of a limit from another one.
    Report {
        gateway: usize,
        observation: LimitObservation,
    },
    /// Something fails or changes.
    Fault,
    /// Gateways answer pings.
    Pongs,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Faults {
    None,
    All,
    /// No gateway ever reaches another one.
    NoLinks,
    /// Each gateway only reaches those with higher numbers.
    OneWayLinks,
}

struct ModelGateway {
    name: String,
    /// The number of starts.
    life: u32,
    belief: Option<LimitBelief>,
    desk: PermitDesk,
    /// The gateways on its list.
    list: BTreeSet<usize>,
    silent: BTreeSet<usize>,
    /// When the links to others were lost.
    lost_at: BTreeMap<usize, ClockTime>,
    frozen_until: ClockTime,
    cut_until: ClockTime,
    /// Until when no other gateway can link to it, because they have an outdated address. Its own links stay open.
    unreachable_until: ClockTime,
    /// When it first passed on an answer that names a limit, in this life.
    bound_at: Option<ClockTime>,
    /// Until when a fault of its own excuses it.
    excused_until: ClockTime,
}

struct Model {
    rng: StdRng,
    now: ClockTime,
    events: BTreeMap<(ClockTime, u64), Event>,
    next_event: u64,
    gateways: Vec<ModelGateway>,
    /// The limit in force, by the time from which it is.
    limits: BTreeMap<ClockTime, Option<f64>>,
    /// The requests of bound gateways that reached the target.
    counted: Vec<ClockTime>,
    /// The requests that reached the target after [`LEARNING_TIME`].
    reached: u32,
    faults: Faults,
}

impl Model {
    fn open(seed: u64, gateways: usize, limit: f64, faults: Faults) -> Self {
        let mut model = Self {
            rng: StdRng::seed_from_u64(seed),
            now: ClockTime::default(),
            events: BTreeMap::new(),
            next_event: 0,
            gateways: (0..gateways)
                .map(|number| ModelGateway::open(number, gateways))
                .collect(),
            limits: BTreeMap::from([(ClockTime::default(), Some(limit))]),
            counted: Vec::new(),
            reached: 0,
            faults,
        };
        for gateway in 0..gateways {
            let lost = match faults {
                Faults::NoLinks => 0..gateways,
                Faults::OneWayLinks => 0..gateway,
                Faults::None | Faults::All => 0..0,
            };
            let lost = lost.filter(|other| *other != gateway);
            model.gateways[gateway].lost_at = lost.map(|other| (other, ClockTime::default())).collect();
        }
        // Callers are uneven: each gateway gets a part of three times the limit.
        let weights: Vec<f64> = (0..gateways).map(|_| model.rng.random_range(0.05..1.0)).collect();
        let total: f64 = weights.iter().sum();
        for (gateway, weight) in weights.iter().enumerate() {
            let mean = total / weight / (3.0 * limit);
            let mut at = Duration::ZERO;
            loop {
                at += Duration::from_secs_f64(-mean * model.rng.random_range(f64::EPSILON..1.0).ln());
                if at >= RUN_TIME {
                    break;
                }
                let call = Event::Call {
                    gateway,
                    unanswered: 0,
                };
                model.schedule(at, call);
            }
        }
        for second in 1..RUN_TIME.as_secs() {
            model.schedule(Duration::from_secs(second), Event::Pongs);
            if faults == Faults::All && model.rng.random_bool(0.4) {
                let at =
                    Duration::from_secs(second) + Duration::from_millis(model.rng.random_range(0..1_000));
                model.schedule(at, Event::Fault);
            }
        }
        model
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events.insert((self.now + delay, self.next_event), event);
        self.next_event += 1;
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Call { gateway, unanswered } => self.call(gateway, unanswered),
                Event::Request {
                    gateway,
                    life,
                    sent_at,
                } => self.reach_target(gateway, life, sent_at),
                Event::Answer {
                    gateway,
                    life,
                    observation,
                } => self.answer(gateway, life, observation),
                Event::Report { gateway, observation } => self.gateways[gateway].observe(observation),
                Event::Fault => self.inject_fault(),
                Event::Pongs => self.exchange_pongs(),
            }
        }
    }

    fn is_up(&self, gateway: usize) -> bool {
        self.gateways[gateway].frozen_until <= self.now
    }

    fn is_linked(&self, from: usize, to: usize) -> bool {
        let is_cut = |gateway: usize| self.gateways[gateway].cut_until > self.now;
        !is_cut(from) && !is_cut(to) && !self.gateways[from].lost_at.contains_key(&to)
    }

    fn role(&self, gateway: usize) -> Result<LimitPart, usize> {
        let own = &self.gateways[gateway];
        let others = (0..self.gateways.len()).filter(|other| *other != gateway);
        let known = others.filter(|other| own.list.contains(other));
        let states = known.map(|other| {
            let state = match (self.is_linked(gateway, other), self.is_linked(other, gateway)) {
                (true, true) if own.silent.contains(&other) => PeerState::Silent,
                (true, true) => PeerState::Linked,
                (true, false) | (false, true) => PeerState::Lost,
                (false, false) => match own.lost_at.get(&other) {
                    Some(lost_at) if self.now.since(*lost_at) >= PRESUMED_GONE_AFTER => PeerState::Gone,
                    _ => PeerState::Lost,
                },
            };
            (self.gateways[other].name.as_str(), state)
        });
        match division_role(TARGET, &own.name, states) {
            DivisionRole::Issues(part) => Ok(part),
            DivisionRole::Asks(name) => Err(self.number(name)),
        }
    }

    fn number(&self, name: &str) -> usize {
        let found = self.gateways.iter().position(|gateway| gateway.name == name);
        found.expect("roles name gateways of the model")
    }

    fn call(&mut self, gateway: usize, unanswered: u32) {
        if !self.is_up(gateway) {
            return;
        }
        let rate = self.gateways[gateway].belief.and_then(|belief| belief.rate());
        let Some(rate) = rate else {
            return self.send(gateway, Duration::ZERO);
        };
        if unanswered == MAX_ASKED_GATEWAYS {
            let listed = self.gateways[gateway].list.len();
            let decision = self.gateways[gateway].decide(rate, LimitPart::Share(listed), self.now);
            return self.act(gateway, decision, Duration::ZERO);
        }
        match self.role(gateway) {
            Ok(part) => {
                let decision = self.gateways[gateway].decide(rate, part, self.now);
                self.act(gateway, decision, Duration::ZERO);
            }
            Err(coordinator) => match self.ask(gateway, coordinator, true) {
                Some(decision) => {
                    let trip = Duration::from_millis(self.rng.random_range(1..8));
                    self.act(gateway, decision, trip);
                }
                None => {
                    self.gateways[gateway].silent.insert(coordinator);
                    let unanswered = unanswered + 1;
                    self.schedule(REPLY_TIMEOUT, Event::Call { gateway, unanswered });
                }
            },
        }
    }

    /// Asks a gateway for a permit, which may ask the coordinator that it knows.
    fn ask(&mut self, from: usize, to: usize, may_relay: bool) -> Option<PermitDecision> {
        let is_lost = self.faults == Faults::All && self.rng.random_bool(0.01);
        if is_lost || !self.is_linked(from, to) || !self.is_up(to) {
            return None;
        }
        let told = self.gateways[from].belief.map(|belief| belief.latest())?;
        self.gateways[to].observe(told);
        let rate = self.gateways[to].belief.and_then(|belief| belief.rate());
        let Some(rate) = rate else {
            return Some(PermitDecision::Granted { wait: Duration::ZERO });
        };
        match self.role(to) {
            Ok(LimitPart::Share(_)) => None,
            Ok(part) => Some(self.gateways[to].decide(rate, part, self.now)),
            Err(coordinator) if may_relay => self.ask(to, coordinator, false),
            Err(_) => None,
        }
    }

    fn act(&mut self, gateway: usize, decision: PermitDecision, trip: Duration) {
        if let PermitDecision::Granted { wait } = decision {
            self.send(gateway, trip + wait);
        }
    }

    fn send(&mut self, gateway: usize, delay: Duration) {
        let life = self.gateways[gateway].life;
        let sent_at = self.now + delay;
        let travel = Duration::from_millis(self.rng.random_range(1..5));
        self.schedule(
            delay + travel,
            Event::Request {
                gateway,
                life,
                sent_at,
            },
        );
    }

    fn reach_target(&mut self, gateway: usize, life: u32, sent_at: ClockTime) {
        let sender = &self.gateways[gateway];
        if sender.life != life || sender.frozen_until > sent_at {
            return;
        }
        if self.now >= ClockTime::default() + LEARNING_TIME {
            self.reached += 1;
        }
        let is_bound = sender
            .bound_at
            .is_some_and(|bound_at| sent_at >= bound_at + BINDING_TIME);
        if is_bound && sender.excused_until <= sent_at {
            self.counted.push(self.now);
        }
        let rate = self.limit_at(self.now).map(rate_of);
        let answer_time = Duration::from_millis(self.rng.random_range(2..300));
        let observation = LimitObservation {
            rate,
            sent_at,
            received_at: self.now + answer_time,
        };
        self.schedule(
            answer_time,
            Event::Answer {
                gateway,
                life,
                observation,
            },
        );
    }

    fn limit_at(&self, at: ClockTime) -> Option<f64> {
        let latest = self.limits.range(..=at).next_back();
        latest.and_then(|(_, limit)| *limit)
    }

    fn answer(&mut self, gateway: usize, life: u32, observation: LimitObservation) {
        if self.gateways[gateway].life != life || !self.is_up(gateway) {
            return;
        }
        if observation.rate.is_some() {
            let now = self.now;
            self.gateways[gateway].bound_at.get_or_insert(now);
        }
        let before = self.gateways[gateway].rate();
        self.gateways[gateway].observe(observation);
        if self.gateways[gateway].rate() == before {
            return;
        }
        for other in 0..self.gateways.len() {
            let is_lost = self.faults == Faults::All && self.rng.random_bool(0.1);
            if other != gateway && self.is_linked(gateway, other) && !is_lost {
                let late = self.faults == Faults::All && self.rng.random_bool(0.1);
                let delay = self.rng.random_range(1..if late { 400 } else { 5 });
                let delay = Duration::from_millis(delay);
                // The receiver only knows the age of the observation when it was sent.
                let shifted = LimitObservation {
                    sent_at: observation.sent_at + delay,
                    received_at: observation.received_at + delay,
                    ..observation
                };
                self.schedule(
                    delay,
                    Event::Report {
                        gateway: other,
                        observation: shifted,
                    },
                );
            }
        }
    }

    fn inject_fault(&mut self) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let other = self.rng.random_range(0..self.gateways.len());
        let (now, lasting) = (self.now, Duration::from_millis(self.rng.random_range(200..4_000)));
        match self.rng.random_range(0..8) {
            0 => self.restart(gateway),
            1 => {
                self.gateways[gateway].frozen_until = now + lasting;
                self.gateways[gateway].excused_until = now + lasting + STABLE_TIME;
            }
            2 => {
                self.gateways[gateway].cut_until = now + lasting;
                self.gateways[gateway].excused_until = now + lasting + STABLE_TIME;
            }
            // One link of two gateways that are otherwise sound.
            3 if gateway != other => {
                self.gateways[gateway].lost_at.insert(other, now);
                self.gateways[other].lost_at.insert(gateway, now);
            }
            7 => {
                self.gateways[gateway].unreachable_until = now + 3 * lasting;
                for dialer in (0..self.gateways.len()).filter(|dialer| *dialer != gateway) {
                    self.gateways[dialer].lost_at.insert(gateway, now);
                }
            }
            // A gateway whose list is out of date.
            4 if gateway != other => {
                self.gateways[gateway].list.remove(&other);
            }
            _ => {
                let limit = self.limit_at(now).unwrap_or(4.0);
                let limits = [Some(limit * 0.5), Some(limit * 2.0), Some(limit), None];
                let limit = limits[self.rng.random_range(0..limits.len())];
                self.limits.insert(now, limit.map(|limit| limit.clamp(0.5, 40.0)));
            }
        }
    }

    fn restart(&mut self, gateway: usize) {
        let (gateways, now) = (self.gateways.len(), self.now);
        let life = self.gateways[gateway].life + 1;
        self.gateways[gateway] = ModelGateway {
            life,
            excused_until: now + STABLE_TIME,
            ..ModelGateway::open(gateway, gateways)
        };
        for other in (0..gateways).filter(|other| *other != gateway) {
            self.gateways[other].lost_at.insert(gateway, now);
            self.gateways[gateway].lost_at.insert(other, now);
        }
    }

    /// Restores links and lists after a second, and clears silent gateways that answer again.
    fn exchange_pongs(&mut self) {
        if matches!(self.faults, Faults::NoLinks | Faults::OneWayLinks) {
            return;
        }
        let (now, gateways) = (self.now, self.gateways.len());
        for gateway in 0..gateways {
            for other in (0..gateways).filter(|other| *other != gateway) {
                let is_reached = self.is_up(other) && self.gateways[other].cut_until <= now;
                let is_unreachable = self.gateways[other].unreachable_until > now;
                let own = &mut self.gateways[gateway];
                if is_reached {
                    own.silent.remove(&other);
                }
                let was_lost = own.lost_at.get(&other).copied();
                let is_due = |lost_at: ClockTime| is_reached && now.since(lost_at) >= PONG_INTERVAL;
                if was_lost.is_some_and(is_due) && !is_unreachable {
                    own.lost_at.remove(&other);
                }
                if own.cut_until > now || self.gateways[other].cut_until > now {
                    self.gateways[gateway].lost_at.entry(other).or_insert(now);
                }
            }
            if self.rng.random_bool(0.3) {
                self.gateways[gateway].list = (0..gateways).collect();
            }
        }
    }

    /// Returns the most requests of any window in relation to what the rule allows.
    fn worst_window(&self) -> f64 {
        let mut worst: f64 = 0.0;
        let stable_at = ClockTime::default() + STABLE_TIME;
        for (first, start) in self.counted.iter().enumerate() {
            if *start < stable_at {
                continue;
            }
            let end = *start + WINDOW;
            let Some(limit) = self.highest_limit(*start, end) else {
                continue;
            };
            let requests = self.counted[first..].iter().take_while(|at| **at < end).count();
            let allowed = RATE_TOLERANCE * limit * WINDOW.as_secs_f64() + BURST_TOLERANCE;
            worst = worst.max(requests as f64 / allowed);
        }
        worst
    }

    /// Returns the highest limit in force in a window or a stable time before; `None` if there was a time without one.
    fn highest_limit(&self, start: ClockTime, end: ClockTime) -> Option<f64> {
        let from = ClockTime::from_micros(start.as_micros().saturating_sub(STABLE_TIME.as_micros() as u64));
        let within = self.limits.range(from..end).map(|(_, limit)| *limit);
        let limits = within.chain([self.limit_at(from)]);
        limits.collect::<Option<Vec<f64>>>()?.into_iter().reduce(f64::max)
    }
}

impl ModelGateway {
    fn open(number: usize, gateways: usize) -> Self {
        let name = format!("gateway-{number}");
        Self {
            desk: PermitDesk::open(&name),
            name,
            life: 0,
            belief: None,
            list: (0..gateways).collect(),
            silent: BTreeSet::new(),
            lost_at: BTreeMap::new(),
            frozen_until: ClockTime::default(),
            cut_until: ClockTime::default(),
            unreachable_until: ClockTime::default(),
            bound_at: None,
            excused_until: ClockTime::default(),
        }
    }

    fn rate(&self) -> Option<RequestRate> {
        self.belief.and_then(|belief| belief.rate())
    }

    fn observe(&mut self, observation: LimitObservation) {
        match &mut self.belief {
            Some(belief) => drop(belief.apply(observation)),
            None if observation.rate.is_some() => self.belief = Some(LimitBelief::open(observation).0),
            None => {}
        }
    }

    fn decide(&mut self, rate: RequestRate, part: LimitPart, now: ClockTime) -> PermitDecision {
        let target = LimitedTarget {
            name: TargetName::parse(TARGET).expect("a valid name"),
            born: 1,
            rate,
        };
        self.desk.take(&target, part, now, MAX_WAIT).decision
    }
}

fn rate_of(limit: f64) -> RequestRate {
    RequestRate::per_second(limit).expect("a limit is a rate")
}

#[test]
fn targets_get_no_more_than_they_tolerate_under_faults() {
    let mut worst: f64 = 0.0;
    let mut reached = 0;
    for seed in 0..SEEDS {
        let (gateways, limit) = [(3, 5.0), (8, 0.8), (9, 8.0), (30, 2.0)][seed as usize % 4];
        let mut model = Model::open(seed, gateways, limit, Faults::All);
        model.run();
        let seed_worst = model.worst_window();
        assert!(
            seed_worst <= 1.0,
            "seed {seed}: {seed_worst:.2} of the allowed requests"
        );
        worst = worst.max(seed_worst);
        reached += model.reached;
    }
    insta::assert_snapshot!(format!(
        "{SEEDS} seeds: {reached} requests, at most {worst:.2} of the allowed ones in a window"
    ));
}

#[test]
fn the_limit_is_used_while_callers_ask_for_more() {
    let mut uses = Vec::new();
    for (gateways, limit) in [(1, 5.0), (3, 5.0), (8, 0.8), (9, 8.0), (127, 2.0), (300, 5.0)] {
        let mut model = Model::open(7, gateways, limit, Faults::None);
        model.run();
        let used = f64::from(model.reached) / (limit * (RUN_TIME - LEARNING_TIME).as_secs_f64());
        assert!(
            used >= MIN_USE,
            "{gateways} gateways, {limit} a second: {used:.2}"
        );
        let worst = model.worst_window();
        assert!(worst <= 1.0, "{gateways} gateways, {limit} a second: {worst:.2}");
        uses.push(format!(
            "{gateways} gateways, {limit} a second: {used:.2} of the limit used"
        ));
    }
    insta::assert_snapshot!(uses.join("\n"));
}

#[test]
fn gateways_without_links_keep_to_the_limit_together() {
    for (seed, (gateways, limit)) in [(3, 5.0), (8, 0.8), (127, 2.0), (300, 5.0)]
        .into_iter()
        .enumerate()
    {
        let mut model = Model::open(seed as u64, gateways, limit, Faults::NoLinks);
        model.run();
        let worst = model.worst_window();
        assert!(worst <= 1.0, "{gateways} gateways, {limit} a second: {worst:.2}");
    }
}

#[test]
fn gateways_with_links_in_one_direction_do_not_issue_a_limit_twice() {
    for (seed, (gateways, limit)) in [(3, 15.0), (8, 8.0), (30, 5.0)].into_iter().enumerate() {
        let mut model = Model::open(seed as u64, gateways, limit, Faults::OneWayLinks);
        model.run();
        let worst = model.worst_window();
        assert!(worst <= 1.0, "{gateways} gateways, {limit} a second: {worst:.2}");
    }
}
