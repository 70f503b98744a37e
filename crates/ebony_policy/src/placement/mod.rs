//! Placement: chooses the target that runs a call.
//!
//! The candidates are two sampled targets in the entry's failure domain, the program's last target, and the target
//! that retains its KV cache. Draining, fenced and failed targets are not in the index and are never chosen.

mod baseline;
mod candidates;
mod estimate;
mod load_view;
mod options;
mod target_table;

use std::time::Duration;

use ebony_types::{ClockTime, ProblemCode, ProblemReport, ProgramId};
use ebony_wire::LoadReport;
use rand::RngCore;
use slotmap::SecondaryMap;

use self::candidates::{CandidateList, sample_other_domain};
pub use self::estimate::FinishEstimate;
use self::estimate::{CallSize, estimate_finish, wasted_prefill_seconds};
pub use self::load_view::{CallWork, LoadView};
pub use self::options::{PlacementOptions, PlacementRule};
pub use self::target_table::{
    DomainKey, MAX_DOMAINS, MAX_POOLS, MAX_TARGETS, NewTarget, PoolKey, PoolName, TableError, TargetKey,
    TargetState, TargetTable,
};
use crate::cache_model::CacheModel;
use crate::speed::EngineSpeed;

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PlacementError {
    /// No target of the pool takes calls, or all that do are in [`PlacementRequest::avoid`].
    #[error("no target serves the request at present")]
    NoTarget,
}

/// The result of a placement decision.
pub type Result<T, E = PlacementError> = std::result::Result<T, E>;

impl From<PlacementError> for ProblemReport {
    fn from(error: PlacementError) -> Self {
        Self::not_run(ProblemCode::NoTarget, error.to_string()).retry_after(NO_TARGET_RETRY_SECONDS)
    }
}

/// Retry time for a call that no target can serve: the time to detect a lost link and reconnect.
const NO_TARGET_RETRY_SECONDS: u32 = 3;

/// A request to place a call.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The pool that serves the call.
    pub pool: PoolKey,
    /// The failure domain of the entry.
    pub domain: DomainKey,
    /// The call's program.
    pub program: ProgramId,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected tokens of the answer; `None` uses [`PlacementOptions::expected_output_tokens`].
    pub output_tokens: Option<u64>,
    /// The target that ran the program's last call.
    pub last_target: Option<TargetKey>,
    /// The target that retains the program's KV cache.
    pub retained: Option<TargetKey>,
    /// Targets that the call must not run on: targets that it crashed, or on which it failed before.
    pub avoid: &'a [TargetKey],
}

/// A placement decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementChoice {
    /// The chosen target.
    pub target: TargetKey,
    /// The estimated timing of the call.
    pub estimate: FinishEstimate,
}

/// Chooses targets for calls and tracks the load of each target.
///
/// ```
/// use ebony_policy::cache_model::{CacheModel, CacheOptions};
/// use ebony_policy::placement::{
///     NewTarget, PlacementOptions, PlacementPlanner, PlacementRequest, PoolName,
/// };
/// use ebony_policy::speed::EngineSpeed;
/// use ebony_types::{DomainName, ModelName, ProgramId, ShardKey, TargetName};
/// use rand::SeedableRng;
///
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let mut planner = PlacementPlanner::open(PlacementOptions::default(), EngineSpeed::default(), 0.5);
/// let model = PoolName::Model(ModelName::parse("kalo")?);
/// let domain = DomainName::parse("viti-west-a")?;
/// let engine = planner.add_target(NewTarget {
///     name: TargetName::parse("engine-1")?,
///     domain: domain.clone(),
///     slots: 24,
///     pools: vec![model.clone()],
/// })?;
/// let request = PlacementRequest {
///     pool: planner.table_mut().pool(&model)?,
///     domain: planner.table_mut().domain(&domain)?,
///     program: ProgramId::from_parts(ShardKey(0), [1; 14]),
///     prompt_tokens: 2_000,
///     output_tokens: None,
///     last_target: None,
///     retained: None,
///     avoid: &[],
/// };
/// let cache = CacheModel::open(CacheOptions::default());
/// assert_eq!(planner.place(&request, &cache, &mut rng)?.target, engine);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct PlacementPlanner {
    options: PlacementOptions,
    speed: EngineSpeed,
    latency_weight: f64,
    table: TargetTable,
    round_robin_positions: SecondaryMap<PoolKey, usize>,
}

impl PlacementPlanner {
    /// Creates a planner without targets.
    pub fn open(options: PlacementOptions, speed: EngineSpeed, latency_weight: f64) -> Self {
        Self {
            options,
            speed,
            latency_weight: latency_weight.clamp(0.0, 1.0),
            table: TargetTable::default(),
            round_robin_positions: SecondaryMap::new(),
        }
    }

    /// Changes the weight of latency against wasted cache, from 0 to 1.
    pub fn set_latency_weight(&mut self, latency_weight: f64) {
        self.latency_weight = latency_weight.clamp(0.0, 1.0);
    }

    /// Returns the target table.
    pub fn table(&self) -> &TargetTable {
        &self.table
    }

    /// Returns the target table for lookups of pools and failure domains, which create missing ones.
    pub fn table_mut(&mut self) -> &mut TargetTable {
        &mut self.table
    }

    /// Adds a target in the serving state. A target of the same name is replaced and its load is discarded.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Full`] if there is no room.
    pub fn add_target(&mut self, target: NewTarget) -> Result<TargetKey, TableError> {
        self.table.add(target)
    }

    /// Removes a target. Returns `false` if it is unknown.
    pub fn remove_target(&mut self, target: TargetKey) -> bool {
        self.table.remove(target)
    }

    /// Changes whether a target takes calls. Returns `false` if it is unknown.
    pub fn set_state(&mut self, target: TargetKey, state: TargetState) -> bool {
        self.table.set_state(target, state)
    }

    /// Replaces what a target serves, after a model was loaded or unloaded.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Full`] if there is no room for a new pool.
    pub fn set_pools(&mut self, target: TargetKey, pools: &[PoolName]) -> Result<(), TableError> {
        self.table.set_pools(target, pools)
    }

    /// Chooses the target of a call. The caller must report the dispatch with [`PlacementPlanner::record_dispatch`].
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError::NoTarget`] if no target of the pool is usable. The call has not run.
    pub fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        cache: &CacheModel,
        rng: &mut impl RngCore,
    ) -> Result<PlacementChoice> {
        let chosen = match self.options.rule {
            PlacementRule::FinishTime => return self.place_by_cost(request, cache, rng),
            PlacementRule::RoundRobin => self.next_round_robin(request),
            PlacementRule::LeastOutstanding => self.least_outstanding(request),
            PlacementRule::LastTarget => self.last_or_least_outstanding(request),
        };
        let target = chosen.ok_or(PlacementError::NoTarget)?;
        let estimate = self.estimate(request, target, cache).unwrap_or_default();
        Ok(PlacementChoice { target, estimate })
    }

    /// Records that a call was sent to a target.
    pub fn record_dispatch(&mut self, target: TargetKey, work: CallWork, now: ClockTime) {
        if let Some(load) = self.optimistic_load(target) {
            load.record_dispatch(work, now);
        }
    }

    /// Records the first token of a call, after which its prefill no longer delays other calls.
    pub fn record_first_token(&mut self, target: TargetKey, uncached_tokens: u64, now: ClockTime) {
        if let Some(load) = self.optimistic_load(target) {
            load.record_first_token(uncached_tokens, now);
        }
    }

    /// Records that a call ended, successfully or not.
    pub fn record_end(&mut self, target: TargetKey, now: ClockTime) {
        if let Some(load) = self.optimistic_load(target) {
            load.record_end(now);
        }
    }

    /// Updates the averages of a target from a complete answer. `in_slot` is the time that the call occupied a slot,
    /// `decode` the time from the first token to the last.
    pub fn observe_call(
        &mut self,
        target: TargetKey,
        in_slot: Duration,
        decode: Duration,
        output_tokens: u64,
    ) {
        let Some(load) = self.table.load_mut(target) else {
            return;
        };
        load.observe_call(in_slot.as_secs_f64());
        let batch = load.calls().clamp(1, load.slots());
        let expected = self.speed.decode_seconds(output_tokens, batch);
        if expected > 0.0 {
            load.observe_slowdown(decode.as_secs_f64() / expected);
        }
    }

    /// Applies a load report.
    pub fn apply_report(&mut self, target: TargetKey, report: &LoadReport, now: ClockTime) {
        let lag = Duration::from_millis(u64::from(self.options.report_lag_ms));
        if let Some(load) = self.table.load_mut(target) {
            load.apply_report(report, &self.speed, lag, now);
        }
    }

    /// Estimates the timing of a call on one target; `None` if the target is unknown.
    pub fn estimate(
        &self,
        request: &PlacementRequest<'_>,
        target: TargetKey,
        cache: &CacheModel,
    ) -> Option<FinishEstimate> {
        let load = self.table.load(target)?;
        let prefix = cache.prefix(target, request.program);
        let output_tokens = request.output_tokens;
        let size = CallSize {
            prompt_tokens: request.prompt_tokens,
            output_tokens: output_tokens.unwrap_or(u64::from(self.options.expected_output_tokens)),
        };
        let cached_tokens = prefix.expected_tokens(size.prompt_tokens);
        let slowdown = if self.options.measured_pace {
            load.slowdown()
        } else {
            1.0
        };
        Some(estimate_finish(&self.speed, load, size, cached_tokens, slowdown))
    }

    /// Returns the load of a target for counting this entry's calls; `None` if
    /// [`PlacementOptions::optimistic`] is off.
    fn optimistic_load(&mut self, target: TargetKey) -> Option<&mut LoadView> {
        let load = self.table.load_mut(target);
        load.filter(|_| self.options.optimistic)
    }

    fn place_by_cost(
        &self,
        request: &PlacementRequest<'_>,
        cache: &CacheModel,
        rng: &mut impl RngCore,
    ) -> Result<PlacementChoice> {
        let mut list = CandidateList::default();
        if self.options.affinity {
            for target in [request.last_target, request.retained].into_iter().flatten() {
                if self.is_usable(request, target) {
                    list.push(target);
                }
            }
        }
        let members = self.table.members(request.pool, request.domain);
        list.sample(members, request.avoid, self.options.samples, rng);
        let mut best = self.lowest_cost(request, list.as_slice(), cache);
        let spill_wait = Duration::from_millis(u64::from(self.options.spill_wait_ms));
        let is_busy = best.is_none_or(|choice| choice.estimate.wait > spill_wait);
        if is_busy && (best.is_none() || self.options.spill) {
            let (pool, domain, avoid) = (request.pool, request.domain, request.avoid);
            let samples = self.options.samples;
            sample_other_domain(&mut list, &self.table, pool, domain, avoid, samples, rng);
            best = self.lowest_cost(request, list.as_slice(), cache);
        }
        best.ok_or(PlacementError::NoTarget)
    }

    fn lowest_cost(
        &self,
        request: &PlacementRequest<'_>,
        targets: &[TargetKey],
        cache: &CacheModel,
    ) -> Option<PlacementChoice> {
        let mut best: Option<(f64, PlacementChoice)> = None;
        for target in targets.iter().copied() {
            let Some(estimate) = self.estimate(request, target, cache) else {
                continue;
            };
            let cost = self.cost(request, target, &estimate);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, PlacementChoice { target, estimate }));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns the cost of a target in seconds: the finish time, plus the wasted prefill scaled by the refill factor
    /// and the weight of the cache.
    fn cost(&self, request: &PlacementRequest<'_>, target: TargetKey, estimate: &FinishEstimate) -> f64 {
        let mut seconds = estimate.finish.as_secs_f64();
        if self.table.domain_of(target) != Some(request.domain) {
            seconds += f64::from(self.options.other_domain_ms) / 1_000.0;
        }
        if self.options.refill_cost
            && let Some(load) = self.table.load(target)
        {
            let wasted = wasted_prefill_seconds(&self.speed, load, estimate);
            seconds += self.options.refill_factor * (1.5 - self.latency_weight) * wasted;
        }
        seconds
    }

    fn is_usable(&self, request: &PlacementRequest<'_>, target: TargetKey) -> bool {
        !request.avoid.contains(&target) && self.table.is_member(target, request.pool)
    }
}
