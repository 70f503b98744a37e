//! Chooses the target of a call among the targets that membership has opened for placement.

use std::collections::HashMap;
use std::time::Duration;

use ebony_membership::{TargetKey as MemberKey, TargetRecord, TargetRegistry};
use ebony_policy::placement::{CallWork, FinishEstimate, NewTarget, PlacementRequest, TargetState};
use ebony_policy::{CacheModel, PlacementPlanner, PolicyOptions, PoolName, TargetKey};
use ebony_types::{
    CallKind, ClockTime, DomainName, HostName, ModelName, ProcessIncarnation, ProgramId, TargetName,
};
use ebony_wire::{CacheEvent, LoadReport, TargetKind};
use rand::RngCore;

/// The maximum number of targets tried for one placement. A chosen target may be unusable, because membership detects a
/// silent link before the placement index is updated.
const MAX_PLACEMENT_TRIES: usize = 16;

/// The placement input of a call.
pub(super) struct PlacementWork<'a> {
    pub(super) kind: &'a CallKind,
    pub(super) program: ProgramId,
    /// The target that ran the program's last call.
    pub(super) last_target: Option<&'a TargetName>,
    /// Targets on which the call failed.
    pub(super) avoided: &'a [TargetName],
}

/// The target that was chosen for a call.
#[derive(Clone, Debug)]
pub(super) struct PickedTarget {
    pub(super) key: TargetKey,
    pub(super) name: TargetName,
    pub(super) host: HostName,
    pub(super) incarnation: ProcessIncarnation,
    /// The number of calls that the target runs concurrently.
    pub(super) slots: u32,
    pub(super) estimate: FinishEstimate,
}

#[derive(Clone, Copy)]
struct TargetInstance {
    member: MemberKey,
    key: TargetKey,
}

/// Chooses targets and tracks their load and cached prefixes. It holds only targets that membership knows.
pub(super) struct TargetPicker {
    planner: PlacementPlanner,
    cache: CacheModel,
    instances: HashMap<TargetName, TargetInstance>,
    own_domain: DomainName,
    expected_output: u64,
    options: PolicyOptions,
}

impl TargetPicker {
    pub(super) fn open(options: &PolicyOptions, own_domain: DomainName) -> Self {
        let planner =
            PlacementPlanner::open(options.placement.clone(), options.speed, options.latency_weight);
        Self {
            planner,
            cache: CacheModel::open(options.cache.clone()),
            instances: HashMap::new(),
            own_domain,
            expected_output: u64::from(options.placement.expected_output_tokens),
            options: options.clone(),
        }
    }

    pub(super) fn set_latency_weight(&mut self, weight: f64) {
        self.planner.set_latency_weight(weight);
    }

    /// Opens a target for placement. On a new incarnation of its side process, a target starts without load and cache.
    pub(super) fn open_target(&mut self, member: MemberKey, record: &TargetRecord) {
        let name = record.name().clone();
        if let Some(instance) = self.instances.get(&name)
            && instance.member == member
        {
            self.planner.set_state(instance.key, TargetState::Serving);
            return self.update_target(member, record);
        }
        let target = NewTarget {
            name: name.clone(),
            domain: record.domain.clone(),
            slots: record.report.slots,
            pools: pools_of(&record.report.kind),
        };
        // If the table is full, the target receives no work, as if it were not linked.
        if let Ok(key) = self.planner.add_target(target) {
            self.cache.forget_target(key);
            self.instances.insert(name, TargetInstance { member, key });
        }
    }

    /// Updates the models or service that a target reports to serve.
    pub(super) fn update_target(&mut self, member: MemberKey, record: &TargetRecord) {
        let instance = self
            .instances
            .get(record.name())
            .filter(|instance| instance.member == member);
        if let Some(instance) = instance {
            // If there is no room for a new pool, the target keeps its previous pools.
            let _ = self
                .planner
                .set_pools(instance.key, &pools_of(&record.report.kind));
        }
    }

    /// Closes a target for placement.
    pub(super) fn stop_target(&mut self, name: &TargetName, member: MemberKey) {
        if let Some(instance) = self
            .instances
            .get(name)
            .filter(|instance| instance.member == member)
        {
            self.planner.set_state(instance.key, TargetState::Draining);
        }
    }

    /// Removes the targets whose incarnation has ended.
    pub(super) fn remove_ended(&mut self, registry: &TargetRegistry) {
        let (planner, cache) = (&mut self.planner, &mut self.cache);
        self.instances.retain(|_, instance| {
            let is_known = registry.target(instance.member).is_some();
            if !is_known {
                planner.remove_target(instance.key);
                cache.forget_target(instance.key);
            }
            is_known
        });
    }

    /// Chooses the target of a call, or returns `None` if no target is available.
    pub(super) fn pick(
        &mut self,
        work: &PlacementWork<'_>,
        registry: &TargetRegistry,
        now: ClockTime,
        rng: &mut impl RngCore,
    ) -> Option<PickedTarget> {
        let pool = self.planner.table().find_pool(&pool_of(work.kind))?;
        let domain = self.planner.table_mut().domain(&self.own_domain).ok()?;
        let mut avoid: Vec<TargetKey> = work.avoided.iter().filter_map(|name| self.key_of(name)).collect();
        let (prompt_tokens, output_tokens) = self.token_counts(work.kind);
        for _ in 0..MAX_PLACEMENT_TRIES {
            let request = PlacementRequest {
                pool,
                domain,
                program: work.program,
                prompt_tokens,
                output_tokens: Some(output_tokens),
                last_target: work.last_target.and_then(|name| self.key_of(name)),
                retained: None,
                avoid: &avoid,
            };
            let choice = self.planner.place(&request, &self.cache, rng).ok()?;
            if let Some(picked) = self.describe(choice.target, choice.estimate, registry, now) {
                return Some(picked);
            }
            avoid.push(choice.target);
        }
        None
    }

    /// Adds a dispatched call to the load of its target.
    pub(super) fn record_dispatch(&mut self, picked: &PickedTarget, output_tokens: u64, now: ClockTime) {
        let work = CallWork {
            uncached_tokens: picked.estimate.uncached_tokens,
            new_kv_tokens: picked.estimate.uncached_tokens + output_tokens,
        };
        self.planner.record_dispatch(picked.key, work, now);
    }

    pub(super) fn record_first_token(&mut self, picked: &PickedTarget, now: ClockTime) {
        let uncached_tokens = picked.estimate.uncached_tokens;
        self.planner.record_first_token(picked.key, uncached_tokens, now);
    }

    pub(super) fn record_end(&mut self, key: TargetKey, now: ClockTime) {
        self.planner.record_end(key, now);
    }

    /// Updates an engine's speed and cache model from a complete answer.
    pub(super) fn record_answer(
        &mut self,
        key: TargetKey,
        program: ProgramId,
        timing: &AnswerTiming,
        now: ClockTime,
    ) {
        let output = timing.output_tokens;
        self.planner
            .observe_call(key, timing.slot_time, timing.decode_time, output);
        self.cache.record_call(key, program, timing.held_tokens, now);
    }

    /// Applies a load report; returns `true` if the target is open for calls.
    pub(super) fn apply_load(&mut self, report: &LoadReport, now: ClockTime) -> bool {
        let Some(key) = self.key_of(&report.target) else {
            return false;
        };
        self.planner.apply_report(key, report, now);
        if report.kv_bytes_total > 0 {
            let capacity = self.options.speed.tokens_in(report.kv_bytes_total);
            self.cache.set_capacity(key, capacity);
        }
        self.planner.table().state(key) == Some(TargetState::Serving)
    }

    pub(super) fn apply_cache(&mut self, event: &CacheEvent, now: ClockTime) {
        if let Some(key) = self.key_of(&event.target) {
            let (program, sequence, tokens) = (event.program, event.sequence, event.held_tokens);
            self.cache.apply_event(key, program, sequence, tokens, now);
        }
    }

    /// Removes the cached prefix of a program that ended.
    pub(super) fn forget_program(&mut self, target: &TargetName, program: ProgramId) {
        if let Some(key) = self.key_of(target) {
            self.cache.forget_program(key, program);
        }
    }

    /// Returns the share of a target's KV cache in use, in 0..=1.
    pub(super) fn kv_used_share(&self, name: &TargetName) -> f64 {
        let load = self.key_of(name).and_then(|key| self.planner.table().load(key));
        load.map_or(0.0, |load| load.kv_used_share())
    }

    /// Returns the numbers of calls at a target: those of this entry, and the estimate for all entries.
    pub(super) fn calls_at(&self, name: &TargetName) -> (u32, u32) {
        let load = self.key_of(name).and_then(|key| self.planner.table().load(key));
        load.map_or((0, 0), |load| (load.own_calls(), load.calls()))
    }

    /// Returns the numbers of prompt tokens and expected output tokens of a call.
    pub(super) fn token_counts(&self, kind: &CallKind) -> (u64, u64) {
        match kind {
            CallKind::Model {
                prompt_tokens,
                max_output_tokens,
                ..
            } => {
                let output = u64::from(*max_output_tokens).min(self.expected_output);
                (u64::from(*prompt_tokens), output)
            }
            CallKind::Service { .. } => (0, 0),
        }
    }

    /// Returns the placement key of a target's current incarnation.
    pub(super) fn key_of(&self, name: &TargetName) -> Option<TargetKey> {
        self.instances.get(name).map(|instance| instance.key)
    }

    /// Returns the name of a target.
    pub(super) fn name_of(&self, key: TargetKey) -> Option<&TargetName> {
        self.planner.table().name(key)
    }

    fn describe(
        &self,
        key: TargetKey,
        estimate: FinishEstimate,
        registry: &TargetRegistry,
        now: ClockTime,
    ) -> Option<PickedTarget> {
        let name = self.planner.table().name(key)?.clone();
        let instance = self.instances.get(&name)?;
        let record = registry.target(instance.member)?;
        registry.may_place(instance.member, now).then(|| PickedTarget {
            key,
            name,
            host: record.host.clone(),
            incarnation: record.incarnation,
            slots: record.report.slots,
            estimate,
        })
    }
}

/// Timing and token counts of a complete answer.
pub(super) struct AnswerTiming {
    /// The time for which the call occupied a slot of its target.
    pub(super) slot_time: Duration,
    /// The time from the first token to the last.
    pub(super) decode_time: Duration,
    pub(super) output_tokens: u64,
    /// Tokens of the program that the target holds after the call.
    pub(super) held_tokens: u64,
}

fn pool_of(kind: &CallKind) -> PoolName {
    match kind {
        CallKind::Model { model, .. } => PoolName::Model(model.clone()),
        CallKind::Service { service, .. } => PoolName::Service(service.clone()),
    }
}

fn pools_of(kind: &TargetKind) -> Vec<PoolName> {
    match kind {
        TargetKind::Engine { models } => {
            let models = models.iter().cloned();
            models.map(|model: ModelName| PoolName::Model(model)).collect()
        }
        TargetKind::Service { service } => vec![PoolName::Service(service.clone())],
    }
}
