//! The state that all calls of a gateway share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use ebony_dialect::{CallDialect, RecordDialect};
use ebony_dispatch::{
    AdmissionRule, DispatchOptions, EvenLoad, PermitBar, PlacementRule, ProgramGate, TargetBoard,
};
use ebony_limit::{PermitDesk, ReturnSchedule};
use ebony_platform::{RowFeed, TableService, VersionHistory};
use ebony_routing::RoutingTable;
use ebony_settings::{GatewayPolicy, GatewaySettings};
use ebony_telemetry::{BootClock, HealthState, MetricsRegistry};
use ebony_types::{ClockTime, DomainName, ServiceName};
use futures_util::future::{Either, select};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::Logger;
use tokio::sync::watch;

use crate::accounts::AccountManager;
use crate::admission::ServiceAdmissions;
use crate::conversations::ConversationStore;
use crate::crashes::{CrashRegistry, TargetProbes};
use crate::decision_log::DecisionLog;
use crate::fleet::FleetView;
use crate::links::PeerLinks;
use crate::metrics::GatewayMetrics;
use crate::quotas::QuotaManager;
use crate::streams::StreamRegistry;
use crate::target_client::TargetClient;

/// A protocol for both calls and stored records.
pub trait GatewayDialect: CallDialect + RecordDialect {}

impl<D: CallDialect + RecordDialect> GatewayDialect for D {}

/// A store with both tables and feeds of changes.
pub trait GatewayStore: TableService + RowFeed {}

impl<S: TableService + RowFeed> GatewayStore for S {}

/// The clock of a gateway. It includes time for which the host is suspended, so that deadlines pass meanwhile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatewayClock(BootClock);

impl GatewayClock {
    pub(crate) fn start() -> Self {
        Self(BootClock::start())
    }

    pub(crate) fn now(self) -> ClockTime {
        self.0.now()
    }
}

/// The state that all calls of a gateway share, on a single thread.
pub(crate) struct Gateway {
    pub(crate) dialect: Rc<dyn GatewayDialect>,
    pub(crate) store: Rc<dyn GatewayStore>,
    pub(crate) clock: GatewayClock,
    pub(crate) domain: DomainName,
    /// Changed by [`crate::ServingGateway::apply`].
    pub(crate) options: Cell<DispatchOptions>,
    /// The configuration in force; `None` until the first one was read.
    pub(crate) routing: RefCell<Option<Rc<RoutingTable>>>,
    pub(crate) board: RefCell<TargetBoard>,
    /// The admission of new programs by work.
    pub(crate) admissions: ServiceAdmissions,
    /// The admission of new programs by load, for each service of engines.
    pub(crate) gates: RefCell<HashMap<ServiceName, ProgramGate>>,
    /// The permits that this gateway issues for limited targets.
    pub(crate) permits: RefCell<PermitDesk>,
    /// The calls that use permits, for each service with targets that limit their rate.
    pub(crate) permit_bars: RefCell<HashMap<ServiceName, PermitBar>>,
    /// The callers that were refused for the limits of targets, for each service.
    pub(crate) returns: RefCell<HashMap<ServiceName, ReturnSchedule>>,
    /// The tokens of customers' quotas that this gateway holds and issues.
    pub(crate) quotas: QuotaManager,
    /// Whether the list of targets has been read.
    pub(crate) has_targets: Cell<bool>,
    /// Whether the table of gateways has been read, which includes the requests to refuse.
    pub(crate) has_fleet: Cell<bool>,
    pub(crate) fleet: Rc<FleetView>,
    pub(crate) links: Rc<PeerLinks>,
    pub(crate) accounts: Rc<AccountManager>,
    pub(crate) conversations: Rc<ConversationStore>,
    pub(crate) client: Rc<TargetClient>,
    pub(crate) probes: TargetProbes,
    pub(crate) crashes: Rc<CrashRegistry>,
    /// The software versions of streams.
    pub(crate) streams: Rc<StreamRegistry>,
    /// The longest time for the body of a request, besides the time that a slow but steady caller needs.
    pub(crate) body_time: Duration,
    /// Rows that have not been written for this long are removed.
    pub(crate) retention: Duration,
    pub(crate) versions: RefCell<VersionHistory>,
    pub(crate) health: HealthState,
    pub(crate) is_draining: Cell<bool>,
    /// Whether new calls are refused, because the process might end before their answers do.
    pub(crate) is_closing: Cell<bool>,
    /// Set when the process is about to end. Calls without an answer are then refused.
    pub(crate) is_ending: watch::Sender<bool>,
    pub(crate) open_calls: Cell<usize>,
    pub(crate) metrics: Rc<GatewayMetrics>,
    pub(crate) decisions: Rc<DecisionLog>,
    random: RefCell<StdRng>,
    pub(crate) logger: Logger,
}

impl Gateway {
    pub(crate) fn open(
        settings: &GatewaySettings,
        dialect: Rc<dyn GatewayDialect>,
        store: Rc<dyn GatewayStore>,
        registry: &MetricsRegistry,
        health: HealthState,
        logger: Logger,
    ) -> anyhow::Result<Rc<Self>> {
        let clock = GatewayClock::start();
        let metrics = Rc::new(GatewayMetrics::register(registry)?);
        let decisions = DecisionLog::open(logger.clone(), clock, metrics.dropped_lines.clone());
        let decisions = Rc::new(decisions);
        let table = Rc::clone(&store) as Rc<dyn TableService>;
        let fleet = FleetView::open(
            Rc::clone(&table),
            settings.process.clone(),
            settings.links.listen,
            settings.store.retention,
            logger.clone(),
        );
        let links = PeerLinks::open(Rc::clone(&fleet), clock, logger.clone());
        let client = TargetClient::open(settings.targets, metrics.connections.clone());
        let accounts = AccountManager::open(
            Rc::clone(&table),
            Rc::clone(&fleet),
            Rc::clone(&links),
            clock,
            Rc::clone(&decisions),
            Rc::clone(&metrics),
            settings.first_start,
        );
        let crashes = CrashRegistry::open(
            Rc::clone(&table),
            Rc::clone(&fleet),
            Rc::clone(&links),
            clock,
            Rc::clone(&decisions),
            Rc::clone(&metrics),
        );
        let streams = StreamRegistry::open(
            Rc::clone(&table),
            Rc::clone(&fleet),
            Rc::clone(&links),
            clock,
            Rc::clone(&decisions),
            Rc::clone(&metrics),
        );
        let conversations = ConversationStore::open(
            table,
            Rc::clone(&links),
            Rc::clone(&accounts),
            clock,
            Rc::clone(&decisions),
            Rc::clone(&metrics),
        );
        Ok(Rc::new(Self {
            dialect,
            accounts,
            conversations,
            streams,
            fleet,
            links,
            store,
            clock,
            domain: settings.failure_domain.clone(),
            options: Cell::new(dispatch_options(&settings.policy)),
            routing: RefCell::default(),
            board: RefCell::new(TargetBoard::open(&settings.process)),
            admissions: ServiceAdmissions::default(),
            gates: RefCell::default(),
            permits: RefCell::new(PermitDesk::open(&settings.process)),
            returns: RefCell::default(),
            permit_bars: RefCell::default(),
            quotas: QuotaManager::open(&settings.process),
            has_targets: Cell::default(),
            has_fleet: Cell::default(),
            client,
            probes: TargetProbes::default(),
            crashes,
            body_time: settings.callers.body_time,
            retention: settings.store.retention,
            versions: RefCell::new(VersionHistory::open(settings.store.retention)),
            health,
            is_draining: Cell::default(),
            is_closing: Cell::default(),
            is_ending: watch::Sender::new(false),
            open_calls: Cell::default(),
            decisions,
            metrics,
            random: RefCell::new(StdRng::from_os_rng()),
            logger,
        }))
    }

    pub(crate) fn routing(&self) -> Option<Rc<RoutingTable>> {
        self.routing.borrow().clone()
    }

    /// Returns the options of placement for the configuration in force.
    pub(crate) fn placement_options(&self) -> DispatchOptions {
        let options = self.options.get();
        let routing = self.routing.borrow();
        let has_customers = routing.as_ref().is_some_and(|routing| routing.has_customers());
        DispatchOptions {
            even_load: options.even_load.with_customers(has_customers),
            ..options
        }
    }

    /// Updates the readiness. The process is ready if the configuration, the targets and the requests that crash
    /// targets have been read, and it is not draining.
    pub(crate) fn update_health(&self) {
        let is_informed = self.routing.borrow().is_some() && self.has_targets.get() && self.has_fleet.get();
        let is_ready = is_informed && !self.is_draining.get();
        if is_ready != self.health.is_ready() {
            slog::info!(self.logger, "readiness changed"; "ready" => is_ready);
            self.health.set_ready(is_ready);
        }
    }

    /// Returns a random time between 0.5 and 1.5 times the mean, so that callers do not retry all at once.
    pub(crate) fn jittered(&self, mean: Duration) -> Duration {
        mean.mul_f64(self.random.borrow_mut().random_range(0.5..1.5))
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random_share(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Runs a step of a call. Returns `None` if the process is about to end first.
    pub(crate) async fn before_end<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        let mut is_ending = self.is_ending.subscribe();
        let ending = is_ending.wait_for(|is_ending| *is_ending);
        match select(pin!(step), pin!(ending)).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }

    /// Returns the time until a deadline, or `None` if it has passed.
    pub(crate) fn time_left(&self, deadline: ClockTime) -> Option<Duration> {
        let left = deadline.since(self.clock.now());
        (!left.is_zero()).then_some(left)
    }
}

/// Returns the dispatch options for the settings.
pub(crate) fn dispatch_options(policy: &GatewayPolicy) -> DispatchOptions {
    DispatchOptions {
        // The schema of the settings allows existing rules and modes only.
        rule: PlacementRule::from_name(&policy.placement).unwrap_or_default(),
        even_load: EvenLoad::from_name(&policy.even_load).unwrap_or_default(),
        admission: AdmissionRule::from_name(&policy.admission).unwrap_or_default(),
        ..DispatchOptions::default()
    }
}

/// Counts a call while it is open.
pub(crate) struct OpenCallGuard(Rc<Gateway>);

impl OpenCallGuard {
    pub(crate) fn open(gateway: &Rc<Gateway>) -> Self {
        gateway.open_calls.set(gateway.open_calls.get() + 1);
        Self(Rc::clone(gateway))
    }
}

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
    }
}
