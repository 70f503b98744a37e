//! Model loading: one entry of each failure domain orders engines there to load models as demand shifts.
//!
//! The entry is the live one with the least host name. It claims a row of the table service, whose version is the
//! fencing token of its orders: the version rises with every claim, so that orders of an entry that was replaced are
//! refused.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use bytes::Bytes;
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{
    HostEntry, HostRole, HostState, PlatformError, RowKey, TableService, WeightStore, WriteNonce,
};
use ebony_policy::speed::EngineSpeed;
use ebony_policy::{LoadDecision, LoadPlanner, PolicyOptions, TargetKey};
use ebony_types::{CallKind, ClockTime, DomainName, FencingToken, HostName, ModelName};
use ebony_wire::{EntryFrame, LoadOrder, TargetKind};
use rand::Rng;
use slog::info;

use super::actor::DispatchActor;
use super::picker::PickedTarget;

/// The time between two plans.
pub(super) const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which a load that the engine does not list counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// The result of a claim.
type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Whether this entry orders loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadDuty {
    /// Another entry does.
    Other,
    /// This entry does, and has no token yet.
    Claiming,
    /// This entry does.
    Held(FencingToken),
}

/// Plans loads from the demand that this entry sees.
pub(super) struct ModelLoader {
    weights: Rc<dyn WeightStore>,
    planner: LoadPlanner,
    speed: EngineSpeed,
    duty: LoadDuty,
    /// Live entries in the own failure domain, which see equal shares of the demand.
    entries: usize,
    /// Loads that engines do not list yet, and when they count as failed. Bounded by the engines.
    pending: BTreeMap<TargetKey, (ModelName, ClockTime)>,
    /// Engines that the planner knows.
    engines: Vec<TargetKey>,
}

/// An engine as membership knows it.
struct ListedEngine {
    key: TargetKey,
    domain: DomainName,
    models: Vec<ModelName>,
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

    fn token(&self) -> Option<FencingToken> {
        match self.duty {
            LoadDuty::Held(token) => Some(token),
            LoadDuty::Other | LoadDuty::Claiming => None,
        }
    }

    fn set_engines(&mut self, listed: Vec<ListedEngine>) {
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

    fn plan(&mut self, now: ClockTime) -> Vec<LoadDecision> {
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
async fn claim(
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

impl DispatchActor {
    /// Plans and orders loads, if model loading is switched on and this entry's duty.
    pub(super) fn plan_loads(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        let engines = self.listed_engines();
        let Some(loader) = &mut self.loader else { return };
        loader.set_engines(engines);
        match loader.duty {
            LoadDuty::Other => {}
            LoadDuty::Claiming => self.claim_loading(context),
            LoadDuty::Held(_) => {
                for decision in loader.plan(now) {
                    self.begin_load(decision, context);
                }
            }
        }
    }

    fn listed_engines(&self) -> Vec<ListedEngine> {
        let engines = self.registry.targets().filter_map(|(_, record)| {
            let TargetKind::Engine { models } = &record.report.kind else {
                return None;
            };
            Some(ListedEngine {
                key: self.picker.key_of(record.name())?,
                domain: record.domain.clone(),
                models: models.clone(),
            })
        });
        engines.collect()
    }

    fn claim_loading(&mut self, context: &mut Context<Self>) {
        let table = Rc::clone(&self.options.table);
        let (domain, host) = (self.options.domain.clone(), self.options.host.clone());
        let claim = claim(table, domain, host, self.source.random());
        let claim = claim.into_actor(self).map(|token, actor, _| {
            let Some(loader) = &mut actor.loader else { return };
            // A claim that failed is repeated with the next plan.
            if let (LoadDuty::Claiming, Ok(token)) = (loader.duty, token) {
                info!(actor.options.logger, "model loading is this entry's duty"; "token" => token.0);
                loader.duty = LoadDuty::Held(token);
            }
        });
        context.spawn(claim);
    }

    /// Asks the weight store for a transfer, and orders the load once it is granted.
    fn begin_load(&self, decision: LoadDecision, context: &mut Context<Self>) {
        let Some(loader) = &self.loader else { return };
        let weights = Rc::clone(&loader.weights);
        let model = decision.load.clone();
        let transfer = async move { weights.begin_transfer(&model).await };
        let transfer = transfer.into_actor(self).map(move |granted, actor, _| {
            let now = actor.now();
            let is_ordered = granted.is_ok() && actor.order_load(&decision, now);
            if let Some(loader) = &mut actor.loader
                && !is_ordered
            {
                loader.planner.load_failed(decision.target, now);
            }
        });
        context.spawn(transfer);
    }

    /// Sends the orders of a load; returns `false` if the engine can't be reached or the duty is lost.
    fn order_load(&mut self, decision: &LoadDecision, now: ClockTime) -> bool {
        let target = self.picker.name_of(decision.target).cloned();
        let token = self.loader.as_ref().and_then(ModelLoader::token);
        let (Some(target), Some(token)) = (target, token) else {
            return false;
        };
        let record = self
            .registry
            .find(&target)
            .and_then(|key| self.registry.target(key));
        let Some(side) = record.and_then(|record| self.sides.find(&record.host)) else {
            return false;
        };
        info!(self.options.logger, "model load ordered"; "target" => %target, "model" => %decision.load);
        let order = |model: &ModelName, is_load: bool| {
            EntryFrame::Load(LoadOrder {
                target: target.clone(),
                model: model.clone(),
                is_load,
                token,
            })
        };
        let unload = decision.unload.as_ref();
        let is_unloaded = unload.is_none_or(|model| self.sides.send(side, &order(model, false)));
        let is_sent = is_unloaded && self.sides.send(side, &order(&decision.load, true));
        if let Some(loader) = self.loader.as_mut().filter(|_| is_sent) {
            let load = (decision.load.clone(), now + LOAD_TIMEOUT);
            loader.pending.insert(decision.target, load);
        }
        is_sent
    }
}
