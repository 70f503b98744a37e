//! Model loading: decides which engines load which models as demand shifts.
//!
//! A model with sustained high demand is loaded on one more engine: one with room for a further model, or one whose
//! model has low demand for its remaining engines. The gap between the two thresholds and a dwell time prevent models
//! from moving back and forth. Loads respect the rate limit of the weight store. The last copy of a model in a failure
//! domain is never unloaded.

mod demand;
mod options;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebony_types::{ClockTime, DomainName, ModelName};

use self::demand::ModelDemand;
pub use self::options::LoadingOptions;
use crate::placement::TargetKey;

/// Maximum pairs of model and failure domain whose demand is measured: over four times 33 models in 7 failure domains.
const MAX_DEMANDS: usize = 1_024;

/// A change of one engine's models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadDecision {
    /// The engine.
    pub target: TargetKey,
    /// The model to unload first, if any, after the engine has finished its calls.
    pub unload: Option<ModelName>,
    /// The model to load.
    pub load: ModelName,
}

#[derive(Clone, Debug)]
struct EngineModels {
    domain: DomainName,
    models: Vec<ModelName>,
    /// The model that is being loaded. It counts as a copy, so that the load is not decided twice.
    loading: Option<ModelName>,
    changed_at: Option<ClockTime>,
    blocked_until: ClockTime,
}

impl EngineModels {
    fn serves(&self, model: &ModelName) -> bool {
        self.models.contains(model) || self.loading.as_ref() == Some(model)
    }
}

type DemandKey = (DomainName, ModelName);

/// Decides which engines load which models.
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
    transfer_starts: VecDeque<ClockTime>,
}

impl LoadPlanner {
    /// Creates a planner without engines.
    pub fn open(options: LoadingOptions) -> Self {
        Self {
            options,
            engines: BTreeMap::new(),
            demands: BTreeMap::new(),
            transfer_starts: VecDeque::new(),
        }
    }

    /// Sets the models that an engine reports as loaded. A load in progress is complete once its model is listed.
    pub fn set_engine(&mut self, target: TargetKey, domain: DomainName, models: Vec<ModelName>) {
        let engine = self.engines.entry(target).or_insert_with(|| EngineModels {
            domain: domain.clone(),
            models: Vec::new(),
            loading: None,
            changed_at: None,
            blocked_until: ClockTime::default(),
        });
        engine.domain = domain;
        engine.loading.take_if(|model| models.contains(model));
        engine.models = models;
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, target: TargetKey) {
        self.engines.remove(&target);
    }

    /// Records the demand of a call: the engine time that it needs, in seconds.
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

    /// Records that a load failed or was refused by the weight store. The engine gets no load for
    /// [`LoadingOptions::backoff_ms`].
    pub fn load_failed(&mut self, target: TargetKey, now: ClockTime) {
        let backoff = millis(self.options.backoff_ms);
        if let Some(engine) = self.engines.get_mut(&target) {
            engine.loading = None;
            engine.blocked_until = now + backoff;
        }
    }

    /// Returns the loads to start now. Must be called about once a second, by one process of each failure domain.
    pub fn plan(&mut self, now: ClockTime) -> Vec<LoadDecision> {
        if !self.options.enabled {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for (domain, model) in self.overloaded_models(now) {
            if !self.has_transfer_budget(now) {
                break;
            }
            if let Some(decision) = self.choose_engine(&domain, &model, now) {
                self.start_load(&decision, now);
                decisions.push(decision);
            }
        }
        decisions
    }

    /// Returns the models that need a further engine, the one with the highest utilization first.
    fn overloaded_models(&mut self, now: ClockTime) -> Vec<DemandKey> {
        let window = millis(self.options.demand_window_ms);
        let sustain = millis(self.options.sustain_ms);
        let mut overloaded = Vec::new();
        let keys: Vec<DemandKey> = self.demands.keys().cloned().collect();
        for key in keys {
            let copies = self.copies(&key.0, &key.1) as f64;
            let Some(demand) = self.demands.get_mut(&key) else {
                continue;
            };
            let engines = demand.engines(window, now);
            let is_high = engines > copies * self.options.high_share && engines > MIN_DEMAND_ENGINES;
            if demand.is_sustained(is_high, sustain, now) {
                overloaded.push((engines / copies.max(MIN_DEMAND_ENGINES), key));
            }
        }
        overloaded.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        overloaded.into_iter().map(|(_, key)| key).collect()
    }

    /// Chooses an engine of the failure domain for a further copy: one with room, otherwise one whose model has the
    /// lowest utilization with a copy less.
    fn choose_engine(
        &mut self,
        domain: &DomainName,
        model: &ModelName,
        now: ClockTime,
    ) -> Option<LoadDecision> {
        let available = self.available_engines(domain, model, now);
        let with_room = available
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
        for target in available {
            for unload in self.engines[&target].models.clone() {
                let Some(utilization) = self.utilization_without(domain, &unload, now) else {
                    continue;
                };
                if utilization < self.options.low_share
                    && best.as_ref().is_none_or(|(lowest, _)| utilization < *lowest)
                {
                    let decision = LoadDecision {
                        target,
                        unload: Some(unload),
                        load: model.clone(),
                    };
                    best = Some((utilization, decision));
                }
            }
        }
        best.map(|(_, decision)| decision)
    }

    /// Returns the engines of a failure domain that lack the model and may load one now.
    fn available_engines(&self, domain: &DomainName, model: &ModelName, now: ClockTime) -> Vec<TargetKey> {
        let dwell = millis(self.options.dwell_ms);
        let is_available = |engine: &EngineModels| {
            let is_past_dwell = engine
                .changed_at
                .is_none_or(|changed_at| now.since(changed_at) >= dwell);
            is_past_dwell && engine.loading.is_none() && engine.blocked_until <= now
        };
        let engines = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.domain == *domain && !engine.serves(model) && is_available(engine));
        engines.map(|(target, _)| *target).collect()
    }

    /// Returns the utilization of a model's engines with one copy less; `None` for the last copy.
    fn utilization_without(&mut self, domain: &DomainName, model: &ModelName, now: ClockTime) -> Option<f64> {
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

    fn has_transfer_budget(&mut self, now: ClockTime) -> bool {
        let window = millis(self.options.transfer_window_ms);
        self.transfer_starts.retain(|start| now.since(*start) < window);
        self.transfer_starts.len() < self.options.transfers as usize
    }

    fn start_load(&mut self, decision: &LoadDecision, now: ClockTime) {
        self.transfer_starts.push_back(now);
        if let Some(engine) = self.engines.get_mut(&decision.target) {
            engine
                .models
                .retain(|model| Some(model) != decision.unload.as_ref());
            engine.loading = Some(decision.load.clone());
            engine.changed_at = Some(now);
        }
    }
}

/// Demand in engines up to which a model gets no further engine, because such low demand is noise.
const MIN_DEMAND_ENGINES: f64 = 0.05;

fn millis(number: u32) -> Duration {
    Duration::from_millis(u64::from(number))
}
