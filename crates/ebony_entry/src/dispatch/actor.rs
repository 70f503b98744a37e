//! The dispatcher actor: links to side processes and the calls in progress on them.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Recipient, SpawnHandle};
use ebony_config::FleetValues;
use ebony_link::{LinkIdentity, LinkOptions};
use ebony_membership::{TargetEvent, TargetRegistry};
use ebony_platform::{HostList, TableService, WeightStore};
use ebony_policy::{PolicyOptions, RetryBudget, RetryOptions};
use ebony_telemetry::ProcessClock;
use ebony_types::{ClockTime, DomainName, HostName, TargetName};
use ebony_wire::EntryFrame;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::Logger;

use super::admission::CallAdmission;
use super::call_table::CallTable;
use super::config_push::SideConfig;
use super::crash_rows::CrashRows;
use super::crashes::CrashRegistry;
use super::loading::{ModelLoader, PLAN_INTERVAL};
use super::messages::{CallEnded, CallPlaced, CrashesReported, HostsListed};
use super::metrics::DispatchMetrics;
use super::picker::TargetPicker;
use super::programs::ProgramTable;
use super::retention::RetentionPlanner;
use super::side_table::SideTable;
use super::target_status::TargetPhase;
use crate::config::SideStatusReported;

/// The interval of membership ticks. A silent link is detected up to this much late.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which expired crash reports are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// Configuration and collaborators of [`DispatchActor`].
pub struct DispatchOptions {
    /// The identity that this process presents on its links.
    pub identity: LinkIdentity,
    /// Limits of links.
    pub link: LinkOptions,
    /// The interval of pings on a link. Side processes close a link on which they receive nothing.
    pub heartbeat: Duration,
    /// The host of this process.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The platform's host list.
    pub hosts: Rc<dyn HostList>,
    /// The interval at which the host list is read.
    pub hosts_interval: Duration,
    /// The scheduling policy.
    pub policy: PolicyOptions,
    /// The weight store. Model loading is disabled if it is `None`.
    pub weights: Option<Rc<dyn WeightStore>>,
    /// The table service.
    pub table: Rc<dyn TableService>,
    /// Receives the target of each dispatched call.
    pub placed: Recipient<CallPlaced>,
    /// Receives the outcome of each call.
    pub ended: Recipient<CallEnded>,
    /// Receives which configuration is in force at side processes.
    pub status: Recipient<SideStatusReported>,
    /// The dispatcher's metrics.
    pub metrics: DispatchMetrics,
    /// The process's logger.
    pub logger: Logger,
}

/// Sends calls to side processes and relays their answers.
pub struct DispatchActor {
    pub(super) options: DispatchOptions,
    pub(super) registry: TargetRegistry,
    pub(super) sides: SideTable,
    pub(super) picker: TargetPicker,
    pub(super) calls: CallTable,
    pub(super) admission: CallAdmission,
    pub(super) budget: RetryBudget,
    pub(super) crashes: CrashRegistry,
    pub(super) crash_rows: CrashRows,
    pub(super) programs: ProgramTable,
    pub(super) retention: RetentionPlanner,
    pub(super) loader: Option<ModelLoader>,
    /// The current configuration in the form sent to side processes.
    pub(super) config: Option<SideConfig>,
    /// Targets that operators have ordered to drain.
    pub(super) drains: BTreeSet<TargetName>,
    /// Forwards crash reports to other entries.
    pub(super) peers: Option<Recipient<CrashesReported>>,
    /// Whether the host list has been read at least once.
    pub(super) has_hosts: bool,
    /// The number of live entries in the host list, at least 1.
    pub(super) entry_count: usize,
    pub(super) rng: StdRng,
    clock: ProcessClock,
    wakeup: Option<(ClockTime, SpawnHandle)>,
}

impl DispatchActor {
    /// Creates the dispatcher. It dials side processes once it is started as an actor.
    pub fn new(options: DispatchOptions) -> Self {
        let mut rng = StdRng::from_os_rng();
        let policy = &options.policy;
        Self {
            registry: TargetRegistry::open(options.host.clone(), rng.random()),
            sides: SideTable::default(),
            picker: TargetPicker::open(policy, options.domain.clone()),
            calls: CallTable::default(),
            admission: CallAdmission::open(policy),
            budget: RetryBudget::open(policy.retry.clone()),
            crashes: CrashRegistry::open(),
            programs: ProgramTable::default(),
            retention: RetentionPlanner::open(policy),
            crash_rows: CrashRows::default(),
            loader: options
                .weights
                .clone()
                .map(|weights| ModelLoader::open(weights, policy)),
            config: None,
            drains: BTreeSet::new(),
            peers: None,
            has_hosts: false,
            entry_count: 1,
            rng,
            clock: ProcessClock::start(),
            wakeup: None,
            options,
        }
    }

    pub(super) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Applies the values of a configuration.
    pub(super) fn apply_values(&mut self, values: &FleetValues) {
        let weight = values.policy.latency_weight;
        self.picker.set_latency_weight(weight);
        self.retention.set_latency_weight(weight);
        self.admission.set_latency_weight(weight);
        self.budget.set_options(RetryOptions {
            share_percent: values.retries.percent,
            fixed_repeats: values.retries.minimum,
            max_attempts: values.retries.attempts,
            ..self.options.policy.retry.clone()
        });
    }

    /// Schedules the wake-up for the earliest call timer.
    pub(super) fn schedule_wakeup(&mut self, context: &mut Context<Self>) {
        let next = self.calls.next_timer();
        if self.wakeup.map(|(time, _)| time) == next {
            return;
        }
        if let Some((_, handle)) = self.wakeup.take() {
            context.cancel_future(handle);
        }
        let Some(time) = next else { return };
        let handle = context.run_later(time.since(self.now()), |actor, context| {
            actor.wakeup = None;
            actor.run_timers();
            actor.schedule_wakeup(context);
        });
        self.wakeup = Some((time, handle));
    }

    fn poll_hosts(&self, context: &mut Context<Self>) {
        let hosts = Rc::clone(&self.options.hosts);
        let interval = self.options.hosts_interval;
        let address = context.address();
        actix::spawn(async move {
            while address.connected() {
                // If the list can't be read, the registry keeps its last state.
                if let Ok(entries) = hosts.fetch().await {
                    address.do_send(HostsListed(entries));
                }
                tokio::time::sleep(interval).await;
            }
        });
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        self.apply(TargetEvent::Tick, context);
        self.close_idle_links(context);
        self.poll_admission();
        self.write_crash_rows(context);
        for call in self.calls.without_reader() {
            self.grant_without_reader(call);
        }
        self.update_gauges();
        self.schedule_wakeup(context);
    }

    fn update_gauges(&self) {
        let metrics = &self.options.metrics;
        metrics.links.set(signed(self.sides.link_count()));
        metrics.calls.set(signed(self.calls.len()));
        metrics.programs.set(signed(self.admission.in_progress()));
        let statuses = self.target_statuses();
        for phase in TargetPhase::ALL {
            let targets = statuses.iter().filter(|status| status.phase == phase).count();
            let gauge = metrics.targets.with_label_values(&[phase.as_str()]);
            gauge.set(signed(targets));
        }
    }
}

fn signed(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl Actor for DispatchActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.poll_hosts(context);
        self.read_crash_rows(context);
        context.run_interval(TICK_INTERVAL, |actor, context| actor.tick(context));
        context.run_interval(self.options.heartbeat, |actor, _| {
            actor.sides.broadcast(&EntryFrame::Ping { nonce: 0 }, None);
        });
        context.run_interval(PLAN_INTERVAL, |actor, context| actor.plan_loads(context));
        context.run_interval(EXPIRY_INTERVAL, |actor, _| {
            let now = actor.now();
            actor.crashes.expire(now);
        });
    }
}
