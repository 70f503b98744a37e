//! The targets that the platform lists, with their state as observed by the entry's own calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebony_limit::{LimitChange, LimitObservation, RequestRate};
use ebony_types::rendezvous::rendezvous_weight;
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
use slotmap::{SlotMap, new_key_type};

use crate::fault::TargetFault;
use crate::limits::LimitTable;
use crate::load::{LoadNotice, TargetLoad};
use crate::options::DispatchOptions;
use crate::past::{LeavingTargets, RemovedTargets};
use crate::prompt::{PromptCache, PromptPart};
use crate::slowdown::ReportedSlowdown;
use crate::speed::{ServicePace, TargetSpeed};
use crate::timing::RunTiming;

/// The assumed cache capacity, in tokens, of a target whose memory is not configured.
const DEFAULT_MEMORY_TOKENS: u64 = 100_000;

/// The most services whose usual times are kept, listed and unlisted ones together.
const MAX_SERVICES: usize = 1_024;

new_key_type! {
    /// A target on the board. A restarted target gets a new key.
    pub struct TargetKey;
    /// A call that was sent to a target and has not ended.
    pub struct RunKey;
}

/// Whether a target accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// It accepts calls.
    Ready,
    /// It only finishes the calls that it has.
    Draining,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRecord {
    /// The name, unique among live targets.
    pub name: TargetName,
    /// The service that the target serves.
    pub service: ServiceName,
    /// The address that calls are sent to.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainName,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// The number of calls that it runs at once.
    pub slots: u32,
    /// Whether it accepts new calls.
    pub phase: TargetPhase,
    /// The start time. A different value under the same name means that the target was restarted. 0 if the entry names
    /// none, so that a restart cannot be told from a late entry.
    pub born: u64,
}

/// Identifies one run of a target's process, from a start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// The start time.
    pub born: u64,
    /// The address that calls are sent to.
    pub address: SocketAddr,
}

impl TargetRecord {
    /// Returns the incarnation of the target that the record describes.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            born: self.born,
            address: self.address,
        }
    }
}

/// The effect of a new record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target is new or was restarted.
    Added(TargetKey),
    /// The target accepts no further calls.
    Draining(TargetKey),
    /// Nothing that affects calls changed.
    Unchanged(TargetKey),
    /// The record was ignored, because it describes an earlier incarnation of the target and arrived late.
    Outdated,
}

/// A target on the board.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The latest record of the platform.
    pub record: TargetRecord,
    /// The load estimate.
    pub load: TargetLoad,
    /// The slow-down of its host, as last reported.
    pub slowdown: ReportedSlowdown,
    /// Its speed, as learned from the entry's own calls.
    pub speed: TargetSpeed,
    /// Recent failures.
    pub fault: TargetFault,
    /// The prompt parts that it is expected to have cached.
    pub cache: PromptCache,
    /// The rate to which the target limits all gateways together.
    pub limit: Option<RequestRate>,
    /// The target's place in the order in which this entry prefers targets; orders of entries differ.
    pub rank: u64,
    /// When the next permit for a call is due, as far as known; only relevant to a target with a limit.
    pub next_permit: ClockTime,
    /// When the target is removed unless it is listed again; `None` while it is listed.
    pub expires_at: Option<ClockTime>,
}

#[derive(Clone, Debug)]
pub(crate) struct TargetRun {
    pub(crate) target: TargetKey,
    pub(crate) prefill: u64,
    /// The memory that the call needs at its target.
    pub(crate) tokens: u64,
    /// Whether the call has no prompt.
    pub(crate) is_plain: bool,
    /// `None` if the time of the call is not measured.
    pub(crate) timing: Option<RunTiming>,
}

/// The targets that an entry may send calls to.
///
/// ```
/// use ebony_dispatch::{TargetBoard, TargetChange, TargetPhase, TargetRecord};
/// use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion, TargetName};
///
/// let record = TargetRecord {
///     name: TargetName::parse("engine-1")?,
///     service: ServiceName::parse("models")?,
///     address: "10.0.0.1:8080".parse()?,
///     domain: DomainName::parse("a")?,
///     version: SoftwareVersion::parse("v1")?,
///     slots: 8,
///     phase: TargetPhase::Ready,
///     born: 1,
/// };
/// let mut board = TargetBoard::default();
/// assert!(matches!(board.apply(record.clone()), TargetChange::Added(_)));
/// let draining = TargetRecord { phase: TargetPhase::Draining, ..record };
/// assert!(matches!(board.apply(draining), TargetChange::Draining(_)));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetBoard {
    pub(crate) targets: SlotMap<TargetKey, TargetEntry>,
    names: HashMap<TargetName, TargetKey>,
    pub(crate) runs: SlotMap<RunKey, TargetRun>,
    /// The usual times of services.
    pub(crate) paces: HashMap<ServiceName, ServicePace>,
    leaving: LeavingTargets,
    removed: RemovedTargets,
    limits: LimitTable,
    /// The name of the entry.
    chooser: String,
}

impl TargetBoard {
    /// Opens the board of an entry with a name. Entries with different names prefer different targets.
    pub fn open(chooser: &str) -> Self {
        Self {
            chooser: chooser.to_owned(),
            ..Self::default()
        }
    }

    /// Adds or updates a target from a record of the platform's list.
    ///
    /// A target that announced that it is leaving, or that was listed as draining, is treated as draining for the rest
    /// of this incarnation, even if it is listed as ready: the store may perform an earlier write of the target after
    /// later ones, also after the removal of the entry. A removal alone is no sign of leaving, because entries lapse
    /// during outages of the store. The phase of a target without a start time is that of its latest entry.
    pub fn apply(&mut self, mut record: TargetRecord) -> TargetChange {
        let known = self.names.get(&record.name).copied();
        if known.is_some_and(|key| self.is_later_incarnation(key, &record))
            || self.removed.had_later(&record.name, record.born)
        {
            return TargetChange::Outdated;
        }
        let incarnation = record.incarnation();
        if self.leaving.contains(&record.name, incarnation)
            || (record.born > 0 && known.is_some_and(|key| self.is_listed_as_draining(key, incarnation)))
        {
            record.phase = TargetPhase::Draining;
        }
        if record.phase == TargetPhase::Draining && record.born > 0 {
            self.leaving.insert_listed(&record.name, record.incarnation());
        }
        let Some(key) = known.filter(|key| self.is_same_incarnation(*key, &record)) else {
            if let Some(key) = known {
                self.targets.remove(key);
            }
            let name = record.name.clone();
            let limit = self.limits.rate(&name, record.incarnation());
            if self.paces.len() < MAX_SERVICES && !self.paces.contains_key(&record.service) {
                self.paces.insert(record.service.clone(), ServicePace::default());
            }
            let key = self.targets.insert(TargetEntry {
                record,
                load: TargetLoad::default(),
                slowdown: ReportedSlowdown::default(),
                speed: TargetSpeed::default(),
                fault: TargetFault::default(),
                cache: PromptCache::default(),
                limit,
                rank: rendezvous_weight(&self.chooser, name.as_str()),
                next_permit: ClockTime::default(),
                expires_at: None,
            });
            self.names.insert(name, key);
            return TargetChange::Added(key);
        };
        let target = &mut self.targets[key];
        let was_ready = target.record.phase == TargetPhase::Ready;
        let is_draining = record.phase == TargetPhase::Draining;
        target.record = record;
        target.expires_at = None;
        if was_ready && is_draining {
            TargetChange::Draining(key)
        } else {
            TargetChange::Unchanged(key)
        }
    }

    /// Records a target's own announcement that it is leaving. It gets no further calls in this incarnation, which need
    /// not be listed yet.
    ///
    /// Returns whether the announcement was new.
    pub fn record_leaving(&mut self, name: &TargetName, incarnation: TargetIncarnation) -> bool {
        let is_new = self.leaving.insert_announced(name, incarnation);
        let key = self.names.get(name);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(*key))
            && target.record.incarnation() == incarnation
        {
            target.record.phase = TargetPhase::Draining;
        }
        is_new
    }

    /// Records what an answer shows of the rate to which an incarnation of a target limits all gateways together. The
    /// incarnation need not be listed yet.
    pub fn observe_limit(
        &mut self,
        name: &TargetName,
        incarnation: TargetIncarnation,
        observation: LimitObservation,
    ) -> LimitChange {
        let change = self.limits.observe(name, incarnation, observation);
        let key = self.names.get(name);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(*key))
            && target.record.incarnation() == incarnation
        {
            target.limit = self.limits.rate(name, incarnation);
            if change != LimitChange::Confirmed && change != LimitChange::Outdated {
                target.next_permit = ClockTime::default();
            }
        }
        change
    }

    /// Records when the next permit for a call to a limited target is due.
    pub fn record_next_permit(&mut self, key: TargetKey, next_permit: ClockTime) {
        if let Some(target) = self.targets.get_mut(key) {
            target.next_permit = next_permit;
        }
    }

    /// Returns the time until the next permit of any ready target of the service is due; `None` if none of them limits
    /// its rate.
    pub fn permit_wait(&self, service: &ServiceName, now: ClockTime) -> Option<Duration> {
        let ready = self
            .targets
            .values()
            .filter(|target| target.record.service == *service && target.record.phase == TargetPhase::Ready);
        let limited = ready.filter(|target| target.limit.is_some());
        limited.map(|target| target.next_permit.since(now)).min()
    }

    /// Returns the record of a target that limits its rate; `None` for others.
    pub fn limited_record(&self, key: TargetKey) -> Option<TargetRecord> {
        let target = self.targets.get(key)?;
        target.limit.is_some().then(|| target.record.clone())
    }

    /// Returns whether a ready target of the service does not limit its rate, and has not failed or been full lately.
    pub fn has_unlimited(&self, service: &ServiceName, now: ClockTime) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| {
            target.record.service == *service
                && target.record.phase == TargetPhase::Ready
                && target.limit.is_none()
                && !target.fault.is_avoided(now)
                && !target.fault.is_full(now)
        })
    }

    /// Returns the sum of the limits of the ready targets of the service that have one.
    pub fn limited_rate(&self, service: &ServiceName) -> RequestRate {
        let ready = self
            .targets
            .values()
            .filter(|target| target.record.service == *service && target.record.phase == TargetPhase::Ready);
        ready.filter_map(|target| target.limit).sum()
    }

    /// Returns the observation from which the limit of an incarnation of a target follows; `None` if it named none.
    pub fn latest_limit(
        &self,
        name: &TargetName,
        incarnation: TargetIncarnation,
    ) -> Option<LimitObservation> {
        self.limits.latest(name, incarnation)
    }

    /// Returns the observations from which the limits in force follow.
    pub fn limit_observations(&self) -> Vec<(TargetName, TargetIncarnation, LimitObservation)> {
        self.limits.in_force()
    }

    /// Returns the number of listed targets that limit their rate.
    pub fn limited_targets(&self) -> usize {
        let targets = self.targets.values();
        targets.filter(|target| target.limit.is_some()).count()
    }

    /// Drops the limits of targets that have not been listed for some time.
    pub fn expire_limits(&mut self, now: ClockTime) {
        let names = &self.names;
        self.limits.expire(now, |name| names.contains_key(name));
    }

    /// Removes a target. Its running calls continue. Records of earlier incarnations are ignored for the time in which
    /// the store may perform their writes late.
    pub fn remove(&mut self, name: &TargetName, now: ClockTime) -> Option<TargetKey> {
        let key = self.names.remove(name)?;
        if let Some(target) = self.targets.remove(key) {
            self.removed.insert(target.record.name, target.record.born, now);
        }
        Some(key)
    }

    /// Records that a target is no longer listed; it is removed at `until` unless it is listed again. Marking
    /// it again keeps the first deadline.
    pub fn mark_unlisted(&mut self, name: &TargetName, until: ClockTime) {
        let key = self.names.get(name);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(*key)) {
            target.expires_at.get_or_insert(until);
        }
    }

    /// Removes the targets that were not listed again in time, and returns their names.
    pub fn remove_expired(&mut self, now: ClockTime) -> Vec<TargetName> {
        self.removed.expire(now);
        let is_expired = |target: &TargetEntry| target.expires_at.is_some_and(|until| now >= until);
        let expired = self.targets.values().filter(|target| is_expired(target));
        let names: Vec<TargetName> = expired.map(|target| target.record.name.clone()).collect();
        for name in &names {
            self.remove(name, now);
        }
        if !names.is_empty() {
            let targets = &self.targets;
            let is_listed =
                |service: &ServiceName| targets.values().any(|target| target.record.service == *service);
            self.paces.retain(|service, _| is_listed(service));
        }
        names
    }

    /// Returns a target.
    pub fn target(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key)
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        self.targets.iter()
    }

    /// Returns the names of all targets.
    pub fn names(&self) -> Vec<TargetName> {
        self.names.keys().cloned().collect()
    }

    /// Returns whether the target accepts new calls.
    pub fn is_ready(&self, key: TargetKey) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|target| target.record.phase == TargetPhase::Ready)
    }

    /// Returns whether a target of the service with this software version accepts new calls.
    pub fn has_ready_version(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| {
            target.record.service == *service
                && target.record.version == *version
                && target.record.phase == TargetPhase::Ready
        })
    }

    /// Returns the record of a listed target.
    pub fn record(&self, name: &TargetName) -> Option<&TargetRecord> {
        let key = self.names.get(name)?;
        self.targets.get(*key).map(|target| &target.record)
    }

    /// Records that a call is sent to a target, and that the target will cache its prompt.
    pub fn begin(&mut self, target: TargetKey, prompt: &[PromptPart], memory_tokens: Option<u64>) -> RunKey {
        let mut prefill = 0;
        if let Some(entry) = self.targets.get_mut(target) {
            let total: u64 = prompt.iter().map(|part| u64::from(part.tokens)).sum();
            prefill = total.saturating_sub(entry.cache.cached_tokens(prompt));
            entry.load.begin(prefill);
            entry
                .cache
                .record(prompt, memory_tokens.unwrap_or(DEFAULT_MEMORY_TOKENS));
        }
        self.runs.insert(TargetRun {
            target,
            prefill,
            tokens: 0,
            is_plain: prompt.is_empty(),
            timing: None,
        })
    }

    /// Records that the first part of the answer arrived, so that the prompt has been prefilled.
    pub fn end_prefill(&mut self, run: RunKey) {
        let Some(run) = self.runs.get_mut(run) else { return };
        let prefill = std::mem::take(&mut run.prefill);
        if let Some(target) = self.targets.get_mut(run.target) {
            target.load.end_prefill(prefill);
        }
    }

    /// Records the end of a call.
    pub fn end(&mut self, run: RunKey) {
        self.end_prefill(run);
        let Some(run) = self.runs.remove(run) else { return };
        if let Some(target) = self.targets.get_mut(run.target) {
            target.load.end();
            target.load.free_tokens(run.tokens);
        }
    }

    /// Records the load that a target reported.
    pub fn record_notice(&mut self, key: TargetKey, notice: LoadNotice, now: ClockTime) {
        if let Some(target) = self.targets.get_mut(key) {
            target.load.record_notice(notice, now);
            if let Some(slowdown) = notice.slowdown {
                target.slowdown.record(slowdown, now);
            }
            let others = f64::from(target.load.other_calls()) / f64::from(target.record.slots.max(1));
            if let Some(pace) = self.paces.get_mut(&target.record.service) {
                pace.record_notice(others, notice.slowdown.is_some());
            }
        }
    }

    /// Records a complete answer of a target.
    ///
    /// Returns the number of consecutive failures before it.
    pub fn record_success(&mut self, key: TargetKey) -> u32 {
        let Some(target) = self.targets.get_mut(key) else {
            return 0;
        };
        let failures = target.fault.failures();
        target.fault.record_success();
        failures
    }

    /// Records that a call could not be sent to a target, or that its answer was cut off.
    ///
    /// Returns the number of consecutive failures.
    pub fn record_failure(&mut self, key: TargetKey, options: &DispatchOptions, now: ClockTime) -> u32 {
        let Some(target) = self.targets.get_mut(key) else {
            return 0;
        };
        target.fault.record_failure(options, now);
        target.fault.failures()
    }

    /// Records that a target rejected a call because it was full.
    pub fn record_full(&mut self, key: TargetKey, options: &DispatchOptions, now: ClockTime) {
        if let Some(target) = self.targets.get_mut(key) {
            target.fault.record_full(options, now);
        }
    }

    /// Returns whether the target on the board is a later incarnation than the one in the record.
    fn is_later_incarnation(&self, key: TargetKey, record: &TargetRecord) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|target| target.record.born > record.born)
    }

    /// Returns whether an incarnation of a target ends as planned: it announced that it is leaving, or was listed as
    /// draining.
    pub fn is_planned_end(&self, name: &TargetName, incarnation: TargetIncarnation) -> bool {
        let key = self.names.get(name);
        self.leaving.contains(name, incarnation)
            || key.is_some_and(|key| self.is_listed_as_draining(*key, incarnation))
    }

    /// Returns whether the target on the board is draining, in this incarnation.
    fn is_listed_as_draining(&self, key: TargetKey, incarnation: TargetIncarnation) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|target| {
            target.record.phase == TargetPhase::Draining && target.record.incarnation() == incarnation
        })
    }

    fn is_same_incarnation(&self, key: TargetKey, record: &TargetRecord) -> bool {
        self.targets.get(key).is_some_and(|target| {
            let known = &target.record;
            known.born == record.born && known.address == record.address && known.service == record.service
        })
    }
}
