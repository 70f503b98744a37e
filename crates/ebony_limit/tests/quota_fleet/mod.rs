//! Simulates gateways with their links, callers and targets.

mod callers;
mod faults;
mod gateway;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebony_limit::RequestRate;
use ebony_limit::quota::{QuotaAsk, QuotaReply, QuotaRule, WaitTicket};
use ebony_types::ClockTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use gateway::ModelGateway;

/// The window over which requests are counted, the time after which a lower quota binds, and the tolerances.
const WINDOW: Duration = Duration::from_secs(5);
const BINDING_TIME: Duration = Duration::from_secs(5);
const RATE_TOLERANCE: f64 = 1.1;
const BURST_TOLERANCE: f64 = 20.0;

/// When the callers begin: after the gateways can be sure that they issue alone.
pub(crate) const START_TIME: Duration = Duration::from_secs(2);

pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// The requests of a frame, in answers to one of which the others are also contained.
pub(crate) type Asks = Vec<QuotaAsk>;

/// What is simulated.
#[derive(Clone, Debug)]
pub(crate) struct FleetOptions {
    pub gateways: usize,
    /// The rates of the customers' quotas.
    pub rates: Vec<f64>,
    /// The requests that customers send, in relation to their quotas.
    pub demand: f64,
    /// The exponent by which the part of a gateway in the requests falls with its number.
    pub skew: f64,
    /// The number of requests of each program; `None` for requests without programs.
    pub program_steps: Option<u32>,
    pub has_faults: bool,
    pub has_links: bool,
    pub run_time: Duration,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            gateways: 1,
            rates: Vec::new(),
            demand: 1.0,
            skew: 0.0,
            program_steps: None,
            has_faults: false,
            has_links: true,
            run_time: Duration::ZERO,
        }
    }
}

/// A call of a customer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelCall {
    pub customer: usize,
    /// The number of the program's request, from 0, and when the program has to end.
    pub step: Option<(u32, ClockTime)>,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A call arrives at a gateway.
    Call { gateway: usize, call: ModelCall },
    /// A request reaches a target.
    Arrival {
        gateway: usize,
        life: u32,
        sent_at: ClockTime,
        call: ModelCall,
    },
    /// The program's request has ended, and the next one follows.
    Next { call: ModelCall },
    /// A gateway looks for what is due.
    Wake { gateway: usize, life: u32 },
    /// A frame with requests for tokens arrives.
    Asked {
        from: (usize, u32),
        to: (usize, u32),
        asked_at: ClockTime,
        asks: Asks,
    },
    /// The answer arrives.
    Answered {
        from: usize,
        to: (usize, u32),
        asked_at: ClockTime,
        replies: Vec<(String, QuotaReply)>,
    },
    /// An answer is overdue.
    Overdue {
        gateway: (usize, u32),
        peer: usize,
        asked_at: ClockTime,
        customers: Vec<String>,
    },
    /// A gateway learns of a version of the configuration.
    Configure { gateway: usize, version: u64 },
    /// Gateways ping each other.
    Pings,
    /// Something fails or changes.
    Fault,
}

/// What became of programs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProgramCounts {
    pub ended: u32,
    /// A request after the first one was refused until the caller gave up.
    pub broken: u32,
    /// The program ended too late.
    pub late: u32,
    /// Refusals of first turns, of which callers repeat some.
    pub refused_starts: u32,
}

/// A version of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct ModelVersion {
    pub rates: Vec<f64>,
    pub begun_at: ClockTime,
    /// When the last gateway learned of the next version.
    pub replaced_at: Option<ClockTime>,
}

pub(crate) struct Fleet {
    pub options: FleetOptions,
    pub rng: StdRng,
    pub now: ClockTime,
    events: BTreeMap<(ClockTime, u64), Event>,
    next_event: u64,
    pub gateways: Vec<ModelGateway>,
    pub versions: Vec<ModelVersion>,
    /// When requests of each customer arrived at targets.
    pub arrivals: Vec<Vec<ClockTime>>,
    pub programs: ProgramCounts,
    pub refused: u32,
    pub messages: u64,
    pub message_bytes: u64,
    /// The calls that wait for tokens at each gateway.
    pub waiting: HashMap<(usize, WaitTicket), ModelCall>,
    /// The parts of the gateways in the requests, as a running sum.
    weights: Vec<f64>,
}

impl Fleet {
    pub(crate) fn open(seed: u64, options: FleetOptions) -> Self {
        let mut sum = 0.0;
        let weights = (1..=options.gateways).map(|rank| {
            sum += (rank as f64).powf(-options.skew);
            sum
        });
        let first = ModelVersion {
            rates: options.rates.clone(),
            begun_at: ClockTime::default(),
            replaced_at: None,
        };
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            now: ClockTime::default(),
            events: BTreeMap::new(),
            next_event: 0,
            gateways: (0..options.gateways)
                .map(|number| ModelGateway::open(number, &options))
                .collect(),
            versions: vec![first],
            arrivals: vec![Vec::new(); options.rates.len()],
            programs: ProgramCounts::default(),
            refused: 0,
            messages: 0,
            message_bytes: 0,
            waiting: HashMap::new(),
            weights: weights.collect(),
            options,
        };
        fleet.schedule_callers();
        fleet.schedule_faults();
        fleet
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        self.events.insert((self.now + delay, self.next_event), event);
        self.next_event += 1;
    }

    pub(crate) fn run(&mut self) {
        let end = ClockTime::default() + self.options.run_time;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { gateway, call } => self.call(gateway, call),
            Event::Arrival {
                gateway,
                life,
                sent_at,
                call,
            } => self.arrive(gateway, life, sent_at, call),
            Event::Next { call } => self.begin_step(call),
            Event::Wake { gateway, life } => {
                if self.gateways[gateway].life == life {
                    self.gateways[gateway].wake_at = None;
                    self.step(gateway);
                }
            }
            Event::Asked {
                from,
                to,
                asked_at,
                asks,
            } => self.answer(from, to, asked_at, asks),
            Event::Answered {
                from,
                to,
                asked_at,
                replies,
            } => self.apply(from, to, asked_at, replies),
            Event::Overdue {
                gateway,
                peer,
                asked_at,
                customers,
            } => self.fail(gateway, peer, asked_at, &customers),
            Event::Configure { gateway, version } => self.gateways[gateway].version = version,
            Event::Pings => self.exchange_pings(),
            Event::Fault => self.inject_fault(),
        }
    }

    /// Returns a time between two in milliseconds.
    pub(crate) fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1_000..to * 1_000))
    }

    /// Chooses the gateway of a call.
    pub(crate) fn choose_gateway(&mut self) -> usize {
        let total = self.weights.last().copied().unwrap_or_default();
        let point = self.rng.random_range(0.0..total);
        self.weights.partition_point(|weight| *weight <= point)
    }

    /// Returns the most requests of any window and customer in relation to what the rule allows.
    pub(crate) fn worst_window(&self) -> f64 {
        let customers = 0..self.arrivals.len();
        customers
            .map(|customer| self.worst_window_of(customer))
            .fold(0.0, f64::max)
    }

    fn worst_window_of(&self, customer: usize) -> f64 {
        let arrivals = &self.arrivals[customer];
        let (mut worst, mut end): (f64, usize) = (0.0, 0);
        for (first, start) in arrivals.iter().enumerate() {
            while arrivals.get(end).is_some_and(|at| *at < *start + WINDOW) {
                end += 1;
            }
            let rate = self.highest_rate(customer, *start, *start + WINDOW);
            let allowed = RATE_TOLERANCE * rate * WINDOW.as_secs_f64() + BURST_TOLERANCE;
            worst = worst.max((end - first) as f64 / allowed);
        }
        worst
    }

    /// Returns the highest rate that may be in force in a window.
    fn highest_rate(&self, customer: usize, start: ClockTime, end: ClockTime) -> f64 {
        let is_in_force = |version: &&ModelVersion| {
            let binds_until = version.replaced_at.map(|at| at + BINDING_TIME);
            version.begun_at <= end && binds_until.is_none_or(|until| until > start)
        };
        let versions = self.versions.iter().filter(is_in_force);
        versions
            .map(|version| version.rates[customer])
            .fold(0.0, f64::max)
    }

    pub(crate) fn rule(&self, version: u64, customer: usize) -> QuotaRule {
        let rate = self.versions[version as usize].rates[customer];
        let rate = RequestRate::per_second(rate).expect("a quota has a rate");
        QuotaRule::open(rate, 0.0).expect("a burst of zero is valid")
    }
}

/// Returns the name of a customer.
pub(crate) fn name_of(customer: usize) -> String {
    format!("customer-{customer}")
}

/// Returns the customer with a name.
pub(crate) fn number_of(name: &str) -> usize {
    let digits = name.trim_start_matches("customer-");
    digits.parse().expect("names of the model end in a number")
}
