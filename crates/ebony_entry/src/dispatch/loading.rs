//! Model loading: one leader entry per failure domain orders the engines there to load models as demand shifts.
//!
//! The leader is the live entry with the lowest host name. It claims a row of the table service, whose version is the
//! fencing token of its orders. Every claim increases the version, so orders of a replaced leader are rejected.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{
    HostEntry, HostRole, HostState, PlatformError, RowKey, TableService, WeightStore, WriteNonce,
};
use ebony_policy::speed::EngineSpeed;
use ebony_policy::{LoadDecision, LoadPlanner, PolicyOptions, TargetKey};
use ebony_types::{CallKind, ClockTime, DomainName, FencingToken, HostName, ModelName};

use super::picker::PickedTarget;

/// The planning interval.
pub(super) const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// A load fails if the engine does not list the model within this time.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// The result of claiming the row.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The role of this entry in ordering loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoaderRole {
    /// Another entry is the leader.
    Standby,
    /// This entry is to be the leader and has no fencing token yet.
    Claiming,
    /// This entry is the leader and orders loads with this token.
    Leader(FencingToken),
}

/// Plans loads from the demand observed at this entry.
pub(super) struct ModelLoader {
    pub(super) weights: Rc<dyn WeightStore>,
    pub(super) planner: LoadPlanner,
    speed: EngineSpeed,
    pub(super) role: LoaderRole,
    /// Live entries in the own failure domain, assumed to receive equal shares of the demand.
    entries: usize,
    /// Ordered loads that engines do not list yet, with their timeouts. At most one per engine.
    pub(super) pending: BTreeMap<TargetKey, (ModelName, ClockTime)>,
    /// Engines registered with the planner.
    pub(super) engines: Vec<TargetKey>,
}

/// An engine as listed by membership.
pub(super) struct ListedEngine {
    pub(super) key: TargetKey,
    pub(super) domain: DomainName,
    pub(super) models: Vec<ModelName>,
}

impl ModelLoader {
    pub(super) fn open(weights: Rc<dyn WeightStore>, options: &PolicyOptions) -> Self {
        Self {
            weights,
            planner: LoadPlanner::open(options.loading.clone()),
            speed: options.speed,
            role: LoaderRole::Standby,
            entries: 1,
            pending: BTreeMap::new(),
            engines: Vec::new(),
        }
    }

    /// Records the demand of a dispatched call, extrapolated to all entries of the failure domain.
    pub(super) fn record_dispatch(
        &mut self,
        domain: &DomainName,
        kind: &CallKind,
        picked: &PickedTarget,
        output_tokens: u64,
        now: ClockTime,
    ) {
        let CallKind::Model { model, .. } = kind else {
            return;
        };
        let uncached = picked.estimate.uncached_tokens;
        let tokens = self.speed.service_tokens(uncached, output_tokens, picked.slots);
        let seconds = self.speed.prefill_seconds(tokens) * self.entries as f64;
        self.planner.record_demand(domain, model, seconds, now);
    }

    /// Updates the number of entries and the own role from the host list.
    pub(super) fn list_entries(&mut self, entries: &[HostEntry], own_host: &HostName, domain: &DomainName) {
        let is_near = |entry: &&HostEntry| {
            entry.role == HostRole::Entry && entry.state == HostState::Live && entry.domain == *domain
        };
        let near: Vec<&HostEntry> = entries.iter().filter(is_near).collect();
        self.entries = near.len().max(1);
        let is_first = near.iter().map(|entry| &entry.host).min() == Some(own_host);
        self.role = match self.role {
            _ if !is_first => LoaderRole::Standby,
            LoaderRole::Standby => LoaderRole::Claiming,
            role => role,
        };
    }

    pub(super) fn token(&self) -> Option<FencingToken> {
        match self.role {
            LoaderRole::Leader(token) => Some(token),
            LoaderRole::Standby | LoaderRole::Claiming => None,
        }
    }

    pub(super) fn set_engines(&mut self, listed: Vec<ListedEngine>) {
        let keys: Vec<TargetKey> = listed.iter().map(|engine| engine.key).collect();
        for gone in self.engines.iter().filter(|key| !keys.contains(key)) {
            self.planner.remove_engine(*gone);
            self.pending.remove(gone);
        }
        for engine in listed {
            let is_loaded = |(model, _): &(ModelName, ClockTime)| engine.models.contains(model);
            if self.pending.get(&engine.key).is_some_and(is_loaded) {
                self.pending.remove(&engine.key);
            }
            self.planner.set_engine(engine.key, engine.domain, engine.models);
        }
        self.engines = keys;
    }

    pub(super) fn plan(&mut self, now: ClockTime) -> Vec<LoadDecision> {
        let is_late = |(_, until): &(ModelName, ClockTime)| *until <= now;
        let late: Vec<TargetKey> = self
            .pending
            .iter()
            .filter(|(_, load)| is_late(load))
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.pending.remove(&key);
            self.planner.load_failed(key, now);
        }
        self.planner.plan(now)
    }
}

/// Claims the row of a failure domain and returns its new version as the fencing token.
pub(super) async fn claim(
    table: Rc<dyn TableService>,
    domain: DomainName,
    owner: HostName,
    nonce: u128,
) -> Result<FencingToken> {
    let key = RowKey(format!("loading/{domain}"));
    let value = Bytes::copy_from_slice(owner.as_str().as_bytes());
    let nonce = WriteNonce(nonce);
    let version = match table.read(&key).await? {
        Some(row) => replace_resolved(&*table, &key, row.version, value, nonce).await?,
        None => create_resolved(&*table, &key, value, nonce).await?,
    };
    Ok(FencingToken(version.0))
}
