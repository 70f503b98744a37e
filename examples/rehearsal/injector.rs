//! Injects the faults of a schedule into a running fleet.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use ebony_fleet::{MemberPlace, RunningFleet, StopSignal};
use ebony_standins::proxy::DirectionMode;
use ebony_standins::{FaultSettings, OutageMode};

use crate::operators::{SampledProcess, SharedLog, race_changes};
use crate::schedule::{ENGINE_COUNT, FaultKind, PlannedFault};

/// The interval at which due faults, stops and starts are processed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The time after which a leaving target must not get new work.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest allowed duration of a planned stop: the drain time of the fleet's settings and a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// The timeout of one readiness check of a process.
const READY_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// The downtime of a crashed engine that is not restarted.
const CRASH_DOWNTIME: Duration = Duration::from_secs(600);

/// An injected fault.
#[derive(Clone, Debug)]
pub(crate) struct FaultRecord {
    pub(crate) kind: FaultKind,
    pub(crate) began: Instant,
    pub(crate) ended: Option<Instant>,
    end: Duration,
}

/// A planned stop.
#[derive(Clone, Debug)]
pub(crate) struct StopRecord {
    pub(crate) place: MemberPlace,
    pub(crate) began: Instant,
    pub(crate) ended: Option<Instant>,
    /// Whether the process exited by itself, within [`STOP_TIMEOUT`] and with success.
    pub(crate) is_clean: bool,
    /// Runs that the target had begun when [`LEAVING_TIMEOUT`] expired, or at the end of the process if that came first.
    pub(crate) runs_at_leaving_timeout: Option<u64>,
    /// Runs that the target had begun when the process was replaced.
    pub(crate) runs_at_replacement: Option<u64>,
}

/// Injects planned faults and records them.
pub(crate) struct FaultInjector {
    pub(crate) started: Instant,
    pub(crate) faults: Vec<FaultRecord>,
    pub(crate) stops: Vec<StopRecord>,
    pub(crate) skipped: Vec<PlannedFault>,
    planned: VecDeque<PlannedFault>,
    pending_restarts: VecDeque<MemberPlace>,
    down: BTreeSet<MemberPlace>,
    starting: BTreeSet<usize>,
    log: SharedLog,
}

impl FaultInjector {
    /// Creates an injector of faults in the order of their start.
    pub(crate) fn new(planned: Vec<PlannedFault>, log: SharedLog) -> Self {
        Self {
            started: Instant::now(),
            faults: Vec::new(),
            stops: Vec::new(),
            skipped: Vec::new(),
            planned: planned.into(),
            pending_restarts: VecDeque::new(),
            down: BTreeSet::new(),
            starting: BTreeSet::new(),
            log,
        }
    }

    /// Injects faults until `length` has elapsed, and then heals all that are left.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in, a proxy or a process can't be controlled.
    pub(crate) async fn run(&mut self, fleet: &mut RunningFleet, length: Duration) -> Result<()> {
        self.started = Instant::now();
        self.list_processes(fleet)?;
        while self.started.elapsed() < length {
            self.tick(fleet).await?;
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        self.skipped.extend(self.planned.drain(..));
        self.pending_restarts.clear();
        while self.has_unfinished_work() {
            self.tick(fleet).await?;
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        fleet.wait_ready().await?;
        fleet.route_to_all()
    }

    fn has_unfinished_work(&self) -> bool {
        let is_stopping = self.stops.iter().any(|stop| stop.ended.is_none());
        let is_faulty = self.faults.iter().any(|fault| fault.ended.is_none());
        is_stopping || is_faulty
    }

    async fn tick(&mut self, fleet: &mut RunningFleet) -> Result<()> {
        let now = self.started.elapsed();
        for index in 0..self.faults.len() {
            let fault = &self.faults[index];
            if fault.ended.is_none() && fault.end <= now {
                let kind = fault.kind;
                self.heal(fleet, kind)
                    .await
                    .with_context(|| format!("healing {kind:?}"))?;
                self.faults[index].ended = Some(Instant::now());
            }
        }
        while self.planned.front().is_some_and(|fault| fault.start <= now) {
            let Some(fault) = self.planned.pop_front() else {
                break;
            };
            self.inject(fleet, fault)
                .await
                .with_context(|| format!("injecting {:?}", fault.kind))?;
        }
        self.update_stops(fleet).await?;
        self.stop_next(fleet)?;
        self.update_starts(fleet).await
    }

    /// Routes callers to the entries that are running and ready, as a load balancer does.
    fn route(&self, fleet: &RunningFleet) -> Result<()> {
        let entries = 0..fleet.entry_count();
        let is_excluded =
            |entry: &usize| self.down.contains(&MemberPlace::Entry(*entry)) || self.starting.contains(entry);
        let excluded: Vec<usize> = entries.filter(is_excluded).collect();
        fleet.route_without(&excluded)
    }

    fn list_processes(&self, fleet: &mut RunningFleet) -> Result<()> {
        let mut processes = Vec::new();
        for place in fleet.places() {
            let name = fleet.name_of(place);
            let process = fleet.process(place);
            let administration = match place {
                MemberPlace::Entry(_) => Some(process.address("administration")?),
                MemberPlace::Side(_) => None,
            };
            processes.push(SampledProcess {
                name,
                id: process.id(),
                administration,
                metrics: process.address("metrics")?,
            });
        }
        self.log.borrow_mut().processes = processes;
        Ok(())
    }

    fn is_busy(&self, fleet: &RunningFleet, kind: FaultKind) -> bool {
        match kind {
            FaultKind::Kill(place) | FaultKind::Stop(place) => self.down.contains(&place),
            FaultKind::Pause(entry) => self.down.contains(&MemberPlace::Entry(entry)),
            FaultKind::RollAll => !self.pending_restarts.is_empty(),
            FaultKind::LoseDomain(domain) => {
                let members = fleet.members_of(domain);
                members.iter().any(|place| self.down.contains(place))
            }
            _ => false,
        }
    }

    async fn inject(&mut self, fleet: &mut RunningFleet, fault: PlannedFault) -> Result<()> {
        if self.is_busy(fleet, fault.kind) {
            self.skipped.push(fault);
            return Ok(());
        }
        let began = Instant::now();
        self.faults.push(FaultRecord {
            kind: fault.kind,
            began,
            ended: None,
            end: fault.end,
        });
        match fault.kind {
            FaultKind::Kill(place) => {
                fleet.process(place).signal(StopSignal::Kill)?;
                self.down.insert(place);
            }
            FaultKind::Pause(entry) => {
                let place = MemberPlace::Entry(entry);
                fleet.process(place).signal(StopSignal::Pause)?;
                self.down.insert(place);
            }
            FaultKind::CutLink(side) => {
                let proxy = fleet.link_proxy(side)?;
                proxy.change(|settings| settings.is_refusing = true).await?;
                proxy.close_connections().await?;
            }
            FaultKind::FreezeLink(side) => set_link_mode(fleet, side, DirectionMode::Frozen).await?,
            FaultKind::CutPlatform(entry) => {
                for proxy in fleet.platform_proxies(MemberPlace::Entry(entry))? {
                    proxy.change(|settings| settings.is_refusing = true).await?;
                    proxy.close_connections().await?;
                }
            }
            FaultKind::FreezePlatform(entry) => {
                set_platform_mode(fleet, entry, DirectionMode::Frozen).await?
            }
            FaultKind::Outage(mode) => change_platform(fleet, |faults| faults.outage = mode).await?,
            FaultKind::SlowPlatform(millis) => {
                change_platform(fleet, |faults| faults.latency_ms = millis).await?;
            }
            FaultKind::LostWrites(count) => set_lost_writes(fleet, count).await?,
            FaultKind::LostAnswers(service, count) => set_lost_answers(fleet, service, count).await?,
            FaultKind::EngineCrash(engine) => fleet.engine(engine)?.crash(CRASH_DOWNTIME).await?,
            FaultKind::HungTool(service) => {
                let service = fleet.service(service)?;
                service.change(|settings| settings.is_hung = true).await?;
            }
            FaultKind::Stop(place) => self.begin_stop(fleet, place)?,
            FaultKind::RollAll => self.pending_restarts = fleet.places().into(),
            FaultKind::LoseDomain(domain) => {
                fleet.lose_domain(domain).await?;
                self.down.extend(fleet.members_of(domain));
            }
            FaultKind::OperatorRace(operators) => {
                actix_web::rt::spawn(race_changes(self.log.clone(), operators));
            }
        }
        self.route(fleet)
    }

    async fn heal(&mut self, fleet: &mut RunningFleet, kind: FaultKind) -> Result<()> {
        match kind {
            FaultKind::Kill(place) => self.replace(fleet, place).await?,
            FaultKind::Pause(entry) => {
                let place = MemberPlace::Entry(entry);
                fleet.process(place).signal(StopSignal::Resume)?;
                self.down.remove(&place);
                self.starting.insert(entry);
            }
            FaultKind::CutLink(side) => {
                let proxy = fleet.link_proxy(side)?;
                proxy.change(|settings| settings.is_refusing = false).await?;
            }
            FaultKind::FreezeLink(side) => set_link_mode(fleet, side, DirectionMode::Forward).await?,
            FaultKind::CutPlatform(entry) => {
                for proxy in fleet.platform_proxies(MemberPlace::Entry(entry))? {
                    proxy.change(|settings| settings.is_refusing = false).await?;
                }
            }
            FaultKind::FreezePlatform(entry) => {
                set_platform_mode(fleet, entry, DirectionMode::Forward).await?
            }
            FaultKind::Outage(_) => {
                change_platform(fleet, |faults| faults.outage = OutageMode::Off).await?;
            }
            FaultKind::SlowPlatform(_) => change_platform(fleet, |faults| faults.latency_ms = 0).await?,
            FaultKind::LostWrites(_) => set_lost_writes(fleet, 0).await?,
            FaultKind::LostAnswers(service, _) => set_lost_answers(fleet, service, 0).await?,
            FaultKind::EngineCrash(engine) => fleet.engine(engine)?.restart().await?,
            FaultKind::HungTool(service) => {
                let service = fleet.service(service)?;
                service.change(|settings| settings.is_hung = false).await?;
            }
            FaultKind::LoseDomain(domain) => {
                fleet.restore_domain(domain).await?;
                for place in fleet.members_of(domain) {
                    self.mark_starting(place);
                }
                self.list_processes(fleet)?;
            }
            FaultKind::Stop(_) | FaultKind::RollAll | FaultKind::OperatorRace(_) => {}
        }
        self.route(fleet)
    }

    fn mark_starting(&mut self, place: MemberPlace) {
        self.down.remove(&place);
        if let MemberPlace::Entry(entry) = place {
            self.starting.insert(entry);
        }
    }

    async fn replace(&mut self, fleet: &mut RunningFleet, place: MemberPlace) -> Result<()> {
        fleet.kill_and_restart_process(place).await?;
        self.mark_starting(place);
        self.list_processes(fleet)?;
        self.route(fleet)
    }

    fn begin_stop(&mut self, fleet: &mut RunningFleet, place: MemberPlace) -> Result<()> {
        self.down.insert(place);
        self.route(fleet)?;
        fleet.process(place).signal(StopSignal::Terminate)?;
        self.stops.push(StopRecord {
            place,
            began: Instant::now(),
            ended: None,
            is_clean: false,
            runs_at_leaving_timeout: None,
            runs_at_replacement: None,
        });
        Ok(())
    }

    async fn update_stops(&mut self, fleet: &mut RunningFleet) -> Result<()> {
        for index in 0..self.stops.len() {
            let stop = self.stops[index].clone();
            if stop.ended.is_some() {
                continue;
            }
            let status = fleet.process(stop.place).ended()?;
            let is_late = stop.began.elapsed() >= STOP_TIMEOUT;
            let is_over = status.is_some() || is_late;
            if stop.runs_at_leaving_timeout.is_none() && (is_over || stop.began.elapsed() >= LEAVING_TIMEOUT)
            {
                self.stops[index].runs_at_leaving_timeout = count_runs(fleet, stop.place).await?;
            }
            if is_over {
                let stop = &mut self.stops[index];
                stop.ended = Some(Instant::now());
                stop.is_clean = status.is_some_and(|status| status.success());
                stop.runs_at_replacement = count_runs(fleet, stop.place).await?;
                let place = stop.place;
                self.replace(fleet, place).await?;
            }
        }
        Ok(())
    }

    /// Stops the next process of a rolling restart once the previous one has been replaced and is ready.
    fn stop_next(&mut self, fleet: &mut RunningFleet) -> Result<()> {
        let is_stopping = self.stops.iter().any(|stop| stop.ended.is_none());
        if is_stopping || !self.starting.is_empty() {
            return Ok(());
        }
        if let Some(place) = self.pending_restarts.pop_front()
            && !self.down.contains(&place)
        {
            self.begin_stop(fleet, place)?;
        }
        Ok(())
    }

    async fn update_starts(&mut self, fleet: &RunningFleet) -> Result<()> {
        for entry in self.starting.clone() {
            if fleet
                .is_ready(MemberPlace::Entry(entry), READY_CHECK_TIMEOUT)
                .await
            {
                self.starting.remove(&entry);
                self.route(fleet)?;
            }
        }
        Ok(())
    }
}

/// Returns the runs that the target beside a side process has begun.
async fn count_runs(fleet: &RunningFleet, place: MemberPlace) -> Result<Option<u64>> {
    match place {
        MemberPlace::Entry(_) => Ok(None),
        MemberPlace::Side(side) if side < ENGINE_COUNT => {
            Ok(Some(fleet.engine(side)?.stats().await?.counts.runs))
        }
        MemberPlace::Side(side) => Ok(Some(fleet.service(side - ENGINE_COUNT)?.stats().await?.runs)),
    }
}

async fn set_link_mode(fleet: &RunningFleet, side: usize, mode: DirectionMode) -> Result<()> {
    let proxy = fleet.link_proxy(side)?;
    let freeze = |settings: &mut ebony_standins::proxy::ProxySettings| {
        settings.to_upstream.mode = mode;
        settings.to_client.mode = mode;
    };
    proxy.change(freeze).await
}

async fn set_platform_mode(fleet: &RunningFleet, entry: usize, mode: DirectionMode) -> Result<()> {
    for proxy in fleet.platform_proxies(MemberPlace::Entry(entry))? {
        let freeze = |settings: &mut ebony_standins::proxy::ProxySettings| {
            settings.to_upstream.mode = mode;
            settings.to_client.mode = mode;
        };
        proxy.change(freeze).await?;
    }
    Ok(())
}

async fn change_platform(fleet: &RunningFleet, change: impl Fn(&mut FaultSettings)) -> Result<()> {
    let (table, objects) = (fleet.table()?, fleet.objects()?);
    let mut faults = table.faults().await?;
    change(&mut faults);
    table.set_faults(faults).await?;
    let mut faults = objects.faults().await?;
    change(&mut faults);
    objects.set_faults(faults).await
}

async fn set_lost_writes(fleet: &RunningFleet, count: u32) -> Result<()> {
    let table = fleet.table()?;
    let mut faults = table.faults().await?;
    faults.lose_replies = count;
    table.set_faults(faults).await
}

async fn set_lost_answers(fleet: &RunningFleet, service: usize, count: u32) -> Result<()> {
    let service = fleet.service(service)?;
    let mut faults = service.faults().await?;
    faults.lose_replies = count;
    service.set_faults(faults).await
}
