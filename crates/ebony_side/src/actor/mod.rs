//! The actor that owns the links from entries and the state of all targets.
//!
//! Each module implements one responsibility of [`SideActor`]. Futures that the actor spawns end with the actor; the
//! tasks of running calls are aborted when their calls end.

mod accept;
mod admission;
mod call_end;
mod config;
mod crash;
mod deadline;
mod delivery;
mod drain;
mod engine_memory;
mod engine_orders;
mod frames;
mod reports;
mod run_events;
mod schedule;

use std::collections::BTreeMap;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context};
use ebony_ledger::CallLedger;
use ebony_link::LinkListener;
use ebony_telemetry::ProcessClock;
use ebony_types::{ClockTime, DomainName, ProcessIncarnation, TargetName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::Logger;

use self::config::ConfigState;
use self::deadline::DeadlineTable;
use self::delivery::DeliveryTable;
use self::drain::DrainState;
use crate::links::LinkTable;
use crate::metrics::SideMetrics;
use crate::options::SideOptions;
use crate::target::{OpenTarget, TargetState};

pub(crate) use self::drain::{BeginDrain, StopActor};

/// The interval of load reports and of clean-ups of the ledger.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// The name and the failure domain of the process.
#[derive(Clone, Debug)]
pub(crate) struct SideIdentity {
    pub(crate) process: String,
    pub(crate) domain: DomainName,
}

/// Accepts links from entries and runs their calls on the targets.
pub(crate) struct SideActor {
    identity: SideIdentity,
    options: SideOptions,
    clock: ProcessClock,
    listener: Option<LinkListener>,
    links: LinkTable,
    ledger: CallLedger,
    targets: BTreeMap<TargetName, TargetState>,
    deliveries: DeliveryTable,
    deadlines: DeadlineTable,
    /// The number of runs started so far.
    runs: u64,
    config: ConfigState,
    drain: DrainState,
    metrics: SideMetrics,
    logger: Logger,
}

impl SideActor {
    pub(crate) fn new(
        identity: SideIdentity,
        options: SideOptions,
        listener: LinkListener,
        targets: Vec<OpenTarget>,
        metrics: SideMetrics,
        logger: Logger,
    ) -> Self {
        let clock = ProcessClock::start();
        let now = clock.now();
        let mut ledger = CallLedger::open(options.ledger, now);
        for target in &targets {
            let report = &target.report;
            ledger.add_target(&report.target, new_incarnation(), report.checks_fencing);
        }
        let config = ConfigState::open(now);
        let targets = targets.into_iter().map(|target| {
            let name = target.report.target.clone();
            let queue = config.queue_options(&target.report);
            (name, TargetState::open(target, queue, options.retention()))
        });
        Self {
            targets: targets.collect(),
            identity,
            options,
            clock,
            listener: Some(listener),
            links: LinkTable::default(),
            ledger,
            deliveries: DeliveryTable::default(),
            deadlines: DeadlineTable::default(),
            runs: 0,
            config,
            drain: DrainState::default(),
            metrics,
            logger,
        }
    }

    fn now(&self) -> ClockTime {
        self.clock.now()
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        self.ledger.tick(now);
        self.remove_stale_deliveries();
        self.report_load(context);
        self.poll_engines(context);
        self.check_drained();
        self.rearm_timer(context);
    }
}

impl Actor for SideActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.accept_next(context);
        self.list_held(context);
        context.run_interval(TICK_INTERVAL, Self::tick);
        context.run_interval(self.options.vouch_lease / 3, Self::list_held);
    }
}

impl Drop for SideActor {
    fn drop(&mut self) {
        for call in self.targets.values().flat_map(|target| target.running.values()) {
            call.abort.abort();
        }
    }
}

/// Returns a random incarnation for a target. Targets send their own incarnation only in answers, so the process
/// assigns one by itself at its start and after each crash.
fn new_incarnation() -> ProcessIncarnation {
    ProcessIncarnation::random(&mut StdRng::from_os_rng())
}
