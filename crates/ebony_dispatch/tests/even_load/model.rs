//! A service without a network: gateways that choose targets by their own calls and by reports of some age.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use ebony_dispatch::load::LoadNotice;
use ebony_dispatch::slowdown::SlowdownFactor;
use ebony_dispatch::{
    CallDemand, DispatchOptions, PlacementRequest, RunKey, TargetBoard, TargetChange, TargetKey, TargetPhase,
    TargetRecord, VersionRule, place_with,
};
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One way of a message, in microseconds.
const LATENCY: u64 = 1_000;
/// The most attempts of a call.
const MAX_ATTEMPTS: usize = 4;
/// The interval at which queues are observed, in microseconds.
const OBSERVATION: u64 = 20_000;
/// Observations before this time are left out, in microseconds.
const WARM_UP: u64 = 1_000_000;

/// A service, its gateways and its traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scene {
    pub(crate) choosers: usize,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    /// Calls that a target queues beyond its slots; further ones are turned away.
    pub(crate) queue: usize,
    /// The share of the targets' capacity that is asked for.
    pub(crate) load: f64,
    /// The time of a call at a usual target, in milliseconds.
    pub(crate) run_ms: f64,
    /// The age of a report when the gateway gets it, in milliseconds.
    pub(crate) staleness_ms: u64,
    /// Whether targets differ in speed, and their hosts have slow spells.
    pub(crate) speeds_differ: bool,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

/// The plain service of a deployment with quotas: 34 gateways, targets of 6 slots, reports about 100 ms old.
pub(crate) const SCENE: Scene = Scene {
    choosers: 34,
    targets: 27,
    slots: 6,
    queue: 6,
    load: 0.85,
    run_ms: 100.0,
    staleness_ms: 100,
    speeds_differ: true,
    seconds: 8,
    seed: 1,
};

/// What was observed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) calls: u64,
    /// The standard deviation of the queued calls of targets, as a mean over time.
    pub(crate) spread: f64,
    /// The most loaded target's calls in relation to the mean, as a mean over time.
    pub(crate) busiest: f64,
    /// Calls turned away while another target had a free slot, of a thousand attempts.
    pub(crate) turned_away: f64,
    /// Calls without an answer, of a thousand.
    pub(crate) failed: f64,
    pub(crate) mean_ms: f64,
    pub(crate) p99_ms: f64,
    /// Pairs of gateways and targets between which no call had run for a second, of a thousand calls: about the new
    /// connections.
    pub(crate) new_pairs: f64,
}

/// A gateway.
pub(crate) struct Chooser {
    pub(crate) board: TargetBoard,
    pub(crate) keys: Vec<TargetKey>,
    #[allow(dead_code, reason = "the example reads it")]
    pub(crate) number: usize,
    used_at: Vec<u64>,
}

impl Chooser {
    /// Returns whether a call ended at the target within the last second.
    pub(crate) fn has_idle(&self, key: TargetKey, now: ClockTime) -> bool {
        let at = self.keys.iter().position(|found| *found == key);
        let used_at = at.map_or(0, |at| self.used_at[at]);
        let target = self.board.target(key);
        let is_used = target.is_some_and(|target| target.load.own_calls() > 0);
        used_at > 0 && (is_used || now.as_micros() < used_at + 1_000_000)
    }
}

/// What a rule knows when it chooses a target.
pub(crate) struct Choice<'a> {
    pub(crate) chooser: &'a Chooser,
    pub(crate) call: u64,
    pub(crate) tried: &'a [TargetKey],
    pub(crate) now: ClockTime,
    pub(crate) options: &'a DispatchOptions,
    /// The calls at each target some time ago, as if gateways told each other over links.
    #[allow(dead_code, reason = "the example reads it")]
    pub(crate) shared_calls: &'a [u32],
}

/// Returns the service of the model.
pub(crate) fn service() -> ServiceName {
    ServiceName::parse("tools").expect("a valid name")
}

/// Returns the failure domain of the model.
pub(crate) fn domain() -> DomainName {
    DomainName::parse("a").expect("a valid name")
}

/// Chooses as the product does with the options of the choice.
pub(crate) fn product(choice: &Choice<'_>) -> Option<TargetKey> {
    let (service, domain) = (service(), domain());
    let affinity = format!("call-{}", choice.call);
    let request = PlacementRequest {
        service: &service,
        domain: &domain,
        affinity: &affinity,
        is_sticky: false,
        prompt: &[],
        tried: choice.tried,
        max_connections: 30,
        max_permit_wait: None,
        versions: VersionRule::Any,
    };
    let demand = CallDemand {
        has_idle: &|key| choice.chooser.has_idle(key, choice.now),
        ..CallDemand::default()
    };
    place_with(
        &choice.chooser.board,
        &request,
        &demand,
        choice.options,
        choice.now,
    )
}

struct ModelTarget {
    running: u32,
    waiting: VecDeque<usize>,
    speed: f64,
    slow_until: u64,
    next_spell: u64,
}

struct ModelCall {
    chooser: usize,
    began: u64,
    tried: Vec<TargetKey>,
    at: usize,
    run: Option<RunKey>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Begin,
    Arrive(usize),
    End(usize),
    Answer(usize),
    Refused(usize),
    Report(usize, usize, u32, u32, u16),
    Observe,
}

struct World<'a, F> {
    scene: Scene,
    options: &'a DispatchOptions,
    rule: F,
    rng: ChaCha8Rng,
    choosers: Vec<Chooser>,
    targets: Vec<ModelTarget>,
    calls: Vec<ModelCall>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    now: u64,
    /// The calls at each target at recent observations.
    history: VecDeque<Vec<u32>>,
    attempts: u64,
    turned_away: u64,
    failed: u64,
    new_pairs: u64,
    times: Vec<f64>,
    spread: f64,
    busiest: f64,
    observations: u32,
}

/// Plays a scene with a rule that chooses targets.
pub(crate) fn play(
    scene: Scene,
    options: &DispatchOptions,
    rule: impl FnMut(&Choice<'_>) -> Option<TargetKey>,
) -> Outcome {
    let mut world = World::open(scene, options, rule);
    world.schedule(0, Event::Begin);
    world.schedule(0, Event::Observe);
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        world.now = now;
        if now > (scene.seconds + 2) * 1_000_000 {
            break;
        }
        world.step(event);
    }
    world.outcome()
}

fn open_chooser(number: usize, scene: &Scene) -> Chooser {
    let mut board = TargetBoard::open(&format!("gateway-{number}"));
    let keys = (0..scene.targets).map(|at| {
        let record = TargetRecord {
            name: TargetName::parse(&format!("tool-{at}")).expect("a valid name"),
            service: service(),
            address: ([10, 0, (at / 250) as u8, (at % 250) as u8], 80).into(),
            domain: domain(),
            version: SoftwareVersion::parse("v1").expect("a version"),
            slots: scene.slots,
            phase: TargetPhase::Ready,
            born: 1,
        };
        match board.apply(record) {
            TargetChange::Added(key) => key,
            change => panic!("{change:?}"),
        }
    });
    Chooser {
        keys: keys.collect(),
        board,
        number,
        used_at: vec![0; scene.targets],
    }
}

impl<'a, F: FnMut(&Choice<'_>) -> Option<TargetKey>> World<'a, F> {
    fn open(scene: Scene, options: &'a DispatchOptions, rule: F) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scene.seed);
        let targets = (0..scene.targets).map(|at| ModelTarget {
            running: 0,
            waiting: VecDeque::new(),
            speed: if !scene.speeds_differ {
                1.0
            } else if at % 3 == 2 {
                1.7
            } else {
                0.7
            },
            slow_until: 0,
            next_spell: rng.random_range(0..3_400_000),
        });
        Self {
            targets: targets.collect(),
            choosers: (0..scene.choosers)
                .map(|number| open_chooser(number, &scene))
                .collect(),
            scene,
            options,
            rule,
            rng,
            calls: Vec::new(),
            events: BinaryHeap::new(),
            next_event: 0,
            now: 0,
            history: VecDeque::new(),
            attempts: 0,
            turned_away: 0,
            failed: 0,
            new_pairs: 0,
            times: Vec::new(),
            spread: 0.0,
            busiest: 0.0,
            observations: 0,
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.events
            .push(Reverse((self.now + delay, self.next_event, event)));
    }

    fn is_warm(&self) -> bool {
        self.now >= WARM_UP
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Begin => self.begin(),
            Event::Arrive(call) => self.arrive(call),
            Event::End(call) => self.end(call),
            Event::Answer(call) => self.answer(call),
            Event::Refused(call) => self.refused(call),
            Event::Report(chooser, target, running, waiting, percent) => {
                let notice = LoadNotice {
                    running,
                    waiting,
                    slots: self.scene.slots,
                    slowdown: self
                        .scene
                        .speeds_differ
                        .then(|| SlowdownFactor::from_percent(percent)),
                };
                let now = ClockTime::from_micros(self.now);
                let chooser = &mut self.choosers[chooser];
                chooser.board.record_notice(chooser.keys[target], notice, now);
            }
            Event::Observe => self.observe(),
        }
    }

    fn begin(&mut self) {
        if self.now > self.scene.seconds * 1_000_000 {
            return;
        }
        let scene = self.scene;
        // The mean rate of targets whose times are 0.7, 0.7 and 1.7 of the usual, slow spells included.
        let rate = if scene.speeds_differ {
            (2.0 / 0.7 + 1.0 / 1.7) / 3.0 * (1.0 - 0.15 * 0.6)
        } else {
            1.0
        };
        let per_second =
            scene.load * rate * (scene.targets as f64) * f64::from(scene.slots) * 1_000.0 / scene.run_ms;
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / per_second * 1e6;
        self.schedule(gap as u64, Event::Begin);
        let chooser = self.rng.random_range(0..scene.choosers);
        self.calls.push(ModelCall {
            chooser,
            began: self.now,
            tried: Vec::new(),
            at: 0,
            run: None,
        });
        self.send(self.calls.len() - 1);
    }

    fn send(&mut self, number: usize) {
        let now = ClockTime::from_micros(self.now);
        let call = &mut self.calls[number];
        let empty = Vec::new();
        let choice = Choice {
            chooser: &self.choosers[call.chooser],
            call: number as u64,
            tried: &call.tried,
            now,
            options: self.options,
            shared_calls: self.history.front().unwrap_or(&empty),
        };
        let chosen = (self.rule)(&choice).filter(|_| call.tried.len() < MAX_ATTEMPTS);
        let Some(key) = chosen else {
            self.failed += u64::from(self.is_warm());
            return;
        };
        let chooser = &mut self.choosers[call.chooser];
        let is_new = !chooser.has_idle(key, now);
        let at = chooser
            .keys
            .iter()
            .position(|found| *found == key)
            .expect("a known key");
        let run = chooser.board.begin(key, &[], None);
        chooser.board.start_timing(run, &domain(), self.options, now);
        chooser.used_at[at] = self.now;
        call.at = at;
        call.run = Some(run);
        if self.is_warm() {
            self.attempts += 1;
            self.new_pairs += u64::from(is_new);
        }
        self.schedule(LATENCY, Event::Arrive(number));
    }

    fn arrive(&mut self, number: usize) {
        let at = self.calls[number].at;
        if self.targets[at].running < self.scene.slots {
            self.start(number);
        } else if self.targets[at].waiting.len() < self.scene.queue {
            self.targets[at].waiting.push_back(number);
        } else {
            let has_room = self
                .targets
                .iter()
                .any(|target| target.running < self.scene.slots);
            self.turned_away += u64::from(has_room && self.is_warm());
            self.report(number);
            self.schedule(LATENCY, Event::Refused(number));
        }
    }

    fn slowdown(&mut self, at: usize) -> f64 {
        if !self.scene.speeds_differ {
            return 1.0;
        }
        let target = &mut self.targets[at];
        while target.next_spell <= self.now {
            target.slow_until = target.next_spell + 600_000;
            let pause = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * 3_400_000.0;
            target.next_spell = target.slow_until + pause as u64;
        }
        if self.now < target.slow_until { 2.5 } else { 1.0 }
    }

    fn start(&mut self, number: usize) {
        let at = self.calls[number].at;
        let factor = self.slowdown(at) * self.targets[at].speed * self.rng.random_range(0.5..1.5);
        self.targets[at].running += 1;
        self.schedule((self.scene.run_ms * factor * 1_000.0) as u64, Event::End(number));
    }

    fn end(&mut self, number: usize) {
        let at = self.calls[number].at;
        self.targets[at].running -= 1;
        if let Some(next) = self.targets[at].waiting.pop_front() {
            self.start(next);
        }
        self.report(number);
        self.schedule(LATENCY, Event::Answer(number));
    }

    fn report(&mut self, number: usize) {
        let (chooser, at) = (self.calls[number].chooser, self.calls[number].at);
        let percent = (self.slowdown(at) * 100.0) as u16;
        let target = &self.targets[at];
        let report = Event::Report(chooser, at, target.running, target.waiting.len() as u32, percent);
        self.schedule(LATENCY + self.scene.staleness_ms * 1_000, report);
    }

    fn answer(&mut self, number: usize) {
        let now = ClockTime::from_micros(self.now);
        let call = &self.calls[number];
        let chooser = &mut self.choosers[call.chooser];
        let run = call.run.expect("an answered call was sent");
        chooser.board.record_finish(run, now);
        chooser.board.end(run);
        chooser.used_at[call.at] = self.now;
        if call.began >= WARM_UP {
            self.times.push((self.now - call.began) as f64 / 1_000.0);
        }
    }

    fn refused(&mut self, number: usize) {
        let now = ClockTime::from_micros(self.now);
        let call = &mut self.calls[number];
        let chooser = &mut self.choosers[call.chooser];
        let key = chooser.keys[call.at];
        chooser
            .board
            .end(call.run.take().expect("a refused call was sent"));
        chooser.board.record_full(key, self.options, now);
        call.tried.push(key);
        self.send(number);
    }

    fn observe(&mut self) {
        let calls: Vec<u32> = self
            .targets
            .iter()
            .map(|target| target.running + target.waiting.len() as u32)
            .collect();
        if self.is_warm() && self.now < self.scene.seconds * 1_000_000 {
            let waiting = self.targets.iter().map(|target| target.waiting.len() as f64);
            let mean = waiting.clone().sum::<f64>() / calls.len() as f64;
            let variance = waiting.map(|calls| (calls - mean).powi(2)).sum::<f64>() / calls.len() as f64;
            self.spread += variance.sqrt();
            let mean = f64::from(calls.iter().sum::<u32>()) / calls.len() as f64;
            let most = calls.iter().copied().max().unwrap_or_default();
            self.busiest += f64::from(most) / mean.max(0.01);
            self.observations += 1;
        }
        self.history.push_back(calls);
        // Counts carried on links are about 100 ms old.
        while self.history.len() > 1 + 100_000 / OBSERVATION as usize {
            self.history.pop_front();
        }
        if self.now < self.scene.seconds * 1_000_000 {
            self.schedule(OBSERVATION, Event::Observe);
        }
    }

    fn outcome(mut self) -> Outcome {
        self.times.sort_by(f64::total_cmp);
        let calls = (self.times.len() as u64 + self.failed).max(1);
        let observations = f64::from(self.observations.max(1));
        let at_99 = self.times.len() * 99 / 100;
        Outcome {
            calls,
            spread: self.spread / observations,
            busiest: self.busiest / observations,
            turned_away: self.turned_away as f64 * 1_000.0 / self.attempts.max(1) as f64,
            failed: self.failed as f64 * 1_000.0 / calls as f64,
            mean_ms: self.times.iter().sum::<f64>() / self.times.len().max(1) as f64,
            p99_ms: self.times.get(at_99).copied().unwrap_or_default(),
            new_pairs: self.new_pairs as f64 * 1_000.0 / calls as f64,
        }
    }
}
