//! Model loading: which engine serves which model as demand shifts.
//!
//! A model whose engines have been busy for a while gets one more: an engine with room, or one of a model that can
//! spare it. The gap between the two thresholds and a dwell time keep models from moving back and forth. Loads stay
//! within the weight store's rate limit. The last copy of a model in a failure domain is never given up.

mod demand;
mod options;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebony_types::{ClockTime, DomainName, ModelName};

use self::demand::ModelDemand;
pub use self::options::LoadingOptions;
use crate::placement::TargetKey;

/// The most pairs of model and failure domain whose demand is measured: 33 models in 7 failure domains, four times.
const MAX_DEMANDS: usize = 1_024;

/// A change of one engine's models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadDecision {
    /// The engine.
    pub target: TargetKey,
    /// The model that makes room; the engine finishes its calls first.
    pub unload: Option<ModelName>,
    /// The model to load.
    pub load: ModelName,
}

#[derive(Clone, Debug)]
struct EngineModels {
    domain: DomainName,
    models: Vec<ModelName>,
    /// The model that is being loaded; it counts as a copy, so that it is not ordered twice.
    loading: Option<ModelName>,
    changed: Option<ClockTime>,
    blocked_until: ClockTime,
}

impl EngineModels {
    fn serves(&self, model: &ModelName) -> bool {
        self.models.contains(model) || self.loading.as_ref() == Some(model)
    }
}

type DemandKey = (DomainName, ModelName);

/// Plans which engine loads which model.
///
/// ```
/// use ebony_policy::loading::{LoadPlanner, LoadingOptions};
/// use ebony_policy::placement::TargetKey;
/// use ebony_types::{ClockTime, DomainName, ModelName};
/// use slotmap::SlotMap;
///
/// let mut targets: SlotMap<TargetKey, ()> = SlotMap::with_key();
/// let domain = DomainName::parse("sicilia-a")?;
/// let (busy, idle) = (ModelName::parse("busy")?, ModelName::parse("idle")?);
/// let mut planner = LoadPlanner::open(LoadingOptions::default());
/// for model in [&busy, &idle, &idle] {
///     planner.set_engine(targets.insert(()), domain.clone(), vec![model.clone()]);
/// }
/// let mut decisions = Vec::new();
/// for second in 0..60 {
///     let now = ClockTime::from_millis(second * 1_000);
///     planner.record_demand(&domain, &busy, 1.5, now);
///     decisions.extend(planner.plan(now));
/// }
/// assert_eq!(decisions.len(), 1);
/// assert_eq!((&decisions[0].load, &decisions[0].unload), (&busy, &Some(idle)));
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Debug)]
pub struct LoadPlanner {
    options: LoadingOptions,
    engines: BTreeMap<TargetKey, EngineModels>,
    demands: BTreeMap<DemandKey, ModelDemand>,
    transfers: VecDeque<ClockTime>,
}

impl LoadPlanner {
    /// Creates a planner without engines.
    pub fn open(options: LoadingOptions) -> Self {
        Self {
            options,
            engines: BTreeMap::new(),
            demands: BTreeMap::new(),
            transfers: VecDeque::new(),
        }
    }

    /// Sets what an engine has loaded, from its report. A load under way is complete once the model is listed.
    pub fn set_engine(&mut self, target: TargetKey, domain: DomainName, models: Vec<ModelName>) {
        let engine = self.engines.entry(target).or_insert_with(|| EngineModels {
            domain: domain.clone(),
            models: Vec::new(),
            loading: None,
            changed: None,
            blocked_until: ClockTime::default(),
        });
        engine.domain = domain;
        engine.loading.take_if(|model| models.contains(model));
        engine.models = models;
    }

    /// Forgets an engine that left.
    pub fn remove_engine(&mut self, target: TargetKey) {
        self.engines.remove(&target);
    }

    /// Records a call's demand: the engine time that it needs, in seconds.
    pub fn record_demand(
        &mut self,
        domain: &DomainName,
        model: &ModelName,
        engine_seconds: f64,
        now: ClockTime,
    ) {
        let window = millis(self.options.demand_window_ms);
        let key = (domain.clone(), model.clone());
        if self.demands.len() < MAX_DEMANDS || self.demands.contains_key(&key) {
            let demand = self.demands.entry(key).or_default();
            demand.record(engine_seconds, window, now);
        }
    }

    /// Records that a load was refused by the weight store or failed. The engine is left alone for a while.
    pub fn load_failed(&mut self, target: TargetKey, now: ClockTime) {
        let backoff = millis(self.options.backoff_ms);
        if let Some(engine) = self.engines.get_mut(&target) {
            engine.loading = None;
            engine.blocked_until = now + backoff;
        }
    }

    /// Returns the changes to make now. To be called about once a second by one process of each failure domain.
    pub fn plan(&mut self, now: ClockTime) -> Vec<LoadDecision> {
        if !self.options.enabled {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for (domain, model) in self.hot_models(now) {
            if !self.has_transfer(now) {
                break;
            }
            if let Some(decision) = self.engine_for(&domain, &model, now) {
                self.begin(&decision, now);
                decisions.push(decision);
            }
        }
        decisions
    }

    /// Returns the models that need a further engine, the busiest first.
    fn hot_models(&mut self, now: ClockTime) -> Vec<DemandKey> {
        let window = millis(self.options.demand_window_ms);
        let sustain = millis(self.options.sustain_ms);
        let mut hot = Vec::new();
        let keys: Vec<DemandKey> = self.demands.keys().cloned().collect();
        for key in keys {
            let copies = self.copies(&key.0, &key.1) as f64;
            let Some(demand) = self.demands.get_mut(&key) else {
                continue;
            };
            let engines = demand.engines(window, now);
            let is_high = engines > copies * self.options.high_share && engines > MIN_DEMAND_ENGINES;
            if demand.is_sustained(is_high, sustain, now) {
                hot.push((engines / copies.max(MIN_DEMAND_ENGINES), key));
            }
        }
        hot.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        hot.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the engine of the failure domain that takes a further copy: one with room, or else one of the model
    /// that is least busy after giving it up.
    fn engine_for(&mut self, domain: &DomainName, model: &ModelName, now: ClockTime) -> Option<LoadDecision> {
        let free = self.settled_engines(domain, model, now);
        let with_room = free
            .iter()
            .find(|target| self.engines[target].models.len() < self.options.models_per_engine);
        if let Some(target) = with_room {
            return Some(LoadDecision {
                target: *target,
                unload: None,
                load: model.clone(),
            });
        }
        let mut best: Option<(f64, LoadDecision)> = None;
        for target in free {
            for unload in self.engines[&target].models.clone() {
                let Some(share) = self.share_without(domain, &unload, now) else {
                    continue;
                };
                if share < self.options.low_share && best.as_ref().is_none_or(|(least, _)| share < *least) {
                    let decision = LoadDecision {
                        target,
                        unload: Some(unload),
                        load: model.clone(),
                    };
                    best = Some((share, decision));
                }
            }
        }
        best.map(|(_, decision)| decision)
    }

    /// Returns the engines of a failure domain that lack the model and may change.
    fn settled_engines(&self, domain: &DomainName, model: &ModelName, now: ClockTime) -> Vec<TargetKey> {
        let dwell = millis(self.options.dwell_ms);
        let is_settled = |engine: &EngineModels| {
            let has_dwelt = engine.changed.is_none_or(|changed| now.since(changed) >= dwell);
            has_dwelt && engine.loading.is_none() && engine.blocked_until <= now
        };
        let engines = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.domain == *domain && !engine.serves(model) && is_settled(engine));
        engines.map(|(target, _)| *target).collect()
    }

    /// Returns the share of its engines that a model would need with one copy less; `None` for the last copy.
    fn share_without(&mut self, domain: &DomainName, model: &ModelName, now: ClockTime) -> Option<f64> {
        let remaining = self.loaded_copies(domain, model).checked_sub(1)?;
        if remaining == 0 {
            return None;
        }
        let window = millis(self.options.demand_window_ms);
        let demand = self.demands.get_mut(&(domain.clone(), model.clone()));
        let engines = demand.map_or(0.0, |demand| demand.engines(window, now));
        Some(engines / remaining as f64)
    }

    fn copies(&self, domain: &DomainName, model: &ModelName) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| engine.domain == *domain && engine.serves(model))
            .count()
    }

    fn loaded_copies(&self, domain: &DomainName, model: &ModelName) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| engine.domain == *domain && engine.models.contains(model))
            .count()
    }

    fn has_transfer(&mut self, now: ClockTime) -> bool {
        let window = millis(self.options.transfer_window_ms);
        self.transfers.retain(|begun| now.since(*begun) < window);
        self.transfers.len() < self.options.transfers as usize
    }

    fn begin(&mut self, decision: &LoadDecision, now: ClockTime) {
        self.transfers.push_back(now);
        if let Some(engine) = self.engines.get_mut(&decision.target) {
            engine
                .models
                .retain(|model| Some(model) != decision.unload.as_ref());
            engine.loading = Some(decision.load.clone());
            engine.changed = Some(now);
        }
    }
}

/// Demand below this many engines is noise and never moves a model.
const MIN_DEMAND_ENGINES: f64 = 0.05;

fn millis(number: u32) -> Duration {
    Duration::from_millis(u64::from(number))
}
