//! Model loading: one entry of each failure domain orders engines there to load models as demand shifts.
//!
//! The entry is the live one with the least host name. It claims a row of the table service, whose version is the
//! fencing token of its orders: the version rises with every claim, so that orders of an entry that was replaced are
//! refused.

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

/// The time between two plans.
pub(super) const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which a load that the engine does not list counts as failed.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// The result of a claim.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Whether this entry orders loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadDuty {
    /// Another entry does.
    Other,
    /// This entry does, and has no token yet.
    Claiming,
    /// This entry does.
    Held(FencingToken),
}

/// Plans loads from the demand that this entry sees.
pub(super) struct ModelLoader {
    pub(super) weights: Rc<dyn WeightStore>,
    pub(super) planner: LoadPlanner,
    speed: EngineSpeed,
    pub(super) duty: LoadDuty,
    /// Live entries in the own failure domain, which see equal shares of the demand.
    entries: usize,
    /// Loads that engines do not list yet, and when they count as failed. Bounded by the engines.
    pub(super) pending: BTreeMap<TargetKey, (ModelName, ClockTime)>,
    /// Engines that the planner knows.
    pub(super) engines: Vec<TargetKey>,
}

/// An engine as membership knows it.
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
            duty: LoadDuty::Other,
            entries: 1,
            pending: BTreeMap::new(),
            engines: Vec::new(),
        }
    }

    /// Learns from a call that is dispatched.
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

    /// Learns from the host list which entries there are.
    pub(super) fn list_entries(&mut self, entries: &[HostEntry], own_host: &HostName, domain: &DomainName) {
        let is_near = |entry: &&HostEntry| {
            entry.role == HostRole::Entry && entry.state == HostState::Live && entry.domain == *domain
        };
        let near: Vec<&HostEntry> = entries.iter().filter(is_near).collect();
        self.entries = near.len().max(1);
        let is_first = near.iter().map(|entry| &entry.host).min() == Some(own_host);
        self.duty = match self.duty {
            _ if !is_first => LoadDuty::Other,
            LoadDuty::Other => LoadDuty::Claiming,
            duty => duty,
        };
    }

    pub(super) fn token(&self) -> Option<FencingToken> {
        match self.duty {
            LoadDuty::Held(token) => Some(token),
            LoadDuty::Other | LoadDuty::Claiming => None,
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

/// Claims the row of a failure domain; returns its new version.
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
