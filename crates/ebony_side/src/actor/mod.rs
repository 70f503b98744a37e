//! The actor that holds the links from entries and the state of all targets.
//!
//! Each module has one duty and adds it to [`SideActor`]. Futures that the actor spawns end with it; the tasks of
//! running calls are aborted when their calls end.

mod accept;
mod admission;
mod control;
mod crash;
mod deadline;
mod delivery;
mod drain;
mod ending;
mod frames;
mod in_force;
mod memory;
mod reports;
mod running;
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

use self::deadline::DeadlineTable;
use self::delivery::DeliveryTable;
use self::drain::DrainState;
use self::in_force::ConfigState;
use crate::links::LinkTable;
use crate::metrics::SideMetrics;
use crate::options::SideOptions;
use crate::target::{OpenTarget, TargetState};

pub(crate) use self::drain::{BeginDrain, StopActor};

/// The time between two load reports, and between two clean-ups of the ledger.
const TICK: Duration = Duration::from_secs(1);

/// Who the process is.
#[derive(Clone, Debug)]
pub(crate) struct SideIdentity {
    pub(crate) process: String,
    pub(crate) domain: DomainName,
}

/// Holds the links from entries and runs their calls.
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
    /// Runs of calls so far.
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
            ledger.add_target(&report.target, new_life(), report.checks_fencing);
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
        self.forget_deliveries();
        self.report_load(context);
        self.poll_engines(context);
        self.check_drained();
        self.rearm(context);
    }
}

impl Actor for SideActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.accept_next(context);
        self.list_held(context);
        context.run_interval(TICK, Self::tick);
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

/// Returns a name for a life of a target. Targets show their own incarnation only in answers, so that the process
/// counts lives by itself.
fn new_life() -> ProcessIncarnation {
    ProcessIncarnation::random(&mut StdRng::from_os_rng())
}
