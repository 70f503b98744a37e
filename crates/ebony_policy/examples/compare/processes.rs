//! The decision modules of simulated entries and side processes.

use std::collections::HashMap;

use ebony_policy::options::PolicyOptions;
use ebony_policy::placement::{DomainKey, NewTarget, PoolKey, PoolName};
use ebony_policy::prelude::*;
use ebony_types::{CallId, CallerName, DomainName, ModelName, TargetName};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::engine::FakeEngine;
use crate::scenario::{DeploymentPlan, KV_TOKENS, SLOTS, engine_speed};

pub(crate) const MODELS: [&str; 2] = ["first", "second"];

pub(crate) fn model_name(model: usize) -> ModelName {
    ModelName::parse(MODELS[model]).expect("a valid name")
}

pub(crate) fn pool_name(model: usize) -> PoolName {
    PoolName::Model(model_name(model))
}

pub(crate) fn caller_name(caller: usize) -> CallerName {
    CallerName::parse(&format!("caller-{caller}")).expect("a valid name")
}

/// The decision modules of one entry.
pub(crate) struct EntryProcess {
    pub(crate) controller: AdmissionController,
    pub(crate) planner: PlacementPlanner,
    pub(crate) cache: CacheModel,
    pub(crate) pauses: PauseModel,
    pub(crate) plan: HoldPlan,
    pub(crate) budget: RetryBudget,
    pub(crate) hedge: HedgeRule,
    pub(crate) loader: LoadPlanner,
    pub(crate) keys: Vec<TargetKey>,
    pub(crate) sides: HashMap<TargetKey, usize>,
    pub(crate) domain_name: DomainName,
    pub(crate) domain: DomainKey,
    pub(crate) pools: Vec<PoolKey>,
    pub(crate) rng: ChaCha8Rng,
}

impl EntryProcess {
    pub(crate) fn open(
        options: &PolicyOptions,
        deployment: &DeploymentPlan,
        models: &[usize],
        domain: &str,
        seed: u64,
    ) -> Self {
        let speed = engine_speed();
        let weight = options.latency_weight;
        let mut planner = PlacementPlanner::open(options.placement.clone(), speed, weight);
        let mut loader = LoadPlanner::open(options.loading.clone());
        let mut keys = Vec::new();
        for (index, domain) in side_domains(deployment).into_iter().enumerate() {
            let domain = DomainName::parse(domain).expect("a valid name");
            let target = NewTarget {
                name: target_name(index),
                domain: domain.clone(),
                slots: SLOTS,
                pools: vec![pool_name(models[index])],
            };
            let key = planner.add_target(target).expect("room");
            loader.set_engine(key, domain, vec![model_name(models[index])]);
            keys.push(key);
        }
        let domain_name = DomainName::parse(domain).expect("a valid name");
        let table = planner.table_mut();
        let domain = table.domain(&domain_name).expect("room");
        let pools = (0..MODELS.len()).map(|model| table.pool(&pool_name(model)).expect("room"));
        let pools = pools.collect();
        Self {
            controller: AdmissionController::open(options.admission.clone(), weight),
            planner,
            cache: CacheModel::open(options.cache.clone()),
            pauses: PauseModel::open(&options.retention),
            plan: HoldPlan::open(options.retention.clone(), speed, weight),
            budget: RetryBudget::open(options.retry.clone()),
            hedge: HedgeRule::open(&options.retry, weight),
            loader,
            sides: keys
                .iter()
                .copied()
                .enumerate()
                .map(|(side, key)| (key, side))
                .collect(),
            keys,
            domain_name,
            domain,
            pools,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

/// One side process with its engine.
pub(crate) struct SideProcess {
    pub(crate) queue: CallQueue,
    pub(crate) held: HeldTable,
    pub(crate) engine: FakeEngine,
    /// The queued attempts by their call ids.
    pub(crate) waiting: HashMap<CallId, usize>,
    pub(crate) model: usize,
    pub(crate) domain: DomainName,
    pub(crate) is_loading: bool,
    pub(crate) event_sequence: u64,
    pub(crate) version: u64,
}

impl SideProcess {
    pub(crate) fn open(options: &PolicyOptions, model: usize, domain: &str) -> Self {
        Self {
            domain: DomainName::parse(domain).expect("a valid name"),
            queue: CallQueue::open(options.queue.clone()),
            held: HeldTable::open(options.retention.clone()),
            engine: FakeEngine::open(engine_speed(), SLOTS as usize, KV_TOKENS),
            waiting: HashMap::new(),
            model,
            is_loading: false,
            event_sequence: 0,
            version: 0,
        }
    }
}

pub(crate) fn target_name(index: usize) -> TargetName {
    TargetName::parse(&format!("engine-{index}")).expect("a valid name")
}

/// Returns the failure domain of each engine.
pub(crate) fn side_domains(deployment: &DeploymentPlan) -> Vec<&'static str> {
    let domains = deployment.domains.iter();
    domains
        .flat_map(|(name, engines)| std::iter::repeat_n(*name, *engines))
        .collect()
}
