//! Decides how long engines keep the KV cache of paused programs.

use std::time::Duration;

use ebony_policy::{HoldDecision, HoldPlan, MemoryPressure, PauseKind, PauseModel, PolicyOptions};
use ebony_types::CallerName;

/// Decides how long engines keep the KV cache of paused programs.
pub(super) struct RetentionPlanner {
    options: PolicyOptions,
    pub(super) pauses: PauseModel,
    plan: HoldPlan,
}

impl RetentionPlanner {
    pub(super) fn open(options: &PolicyOptions) -> Self {
        Self {
            pauses: PauseModel::open(&options.retention),
            plan: open_plan(options, options.latency_weight),
            options: options.clone(),
        }
    }

    pub(super) fn set_latency_weight(&mut self, weight: f64) {
        self.plan = open_plan(&self.options, weight);
    }

    /// Records the length of a pause that ended.
    pub(super) fn observe(&mut self, caller: &CallerName, pause: Duration) {
        self.pauses.observe(&kind_of(caller), pause);
    }

    /// Returns how long a program's KV cache is retained, or `None` if it is left to the engine's own eviction. The
    /// side process itself exports KV caches under memory pressure.
    pub(super) fn hold_time(
        &self,
        caller: &CallerName,
        held_tokens: u64,
        pressure: MemoryPressure,
    ) -> Option<Duration> {
        let histogram = self.pauses.histogram(&kind_of(caller));
        match self.plan.decide(held_tokens, &histogram, pressure) {
            HoldDecision::Keep(time) => Some(time),
            HoldDecision::Export | HoldDecision::Leave => None,
        }
    }
}

fn open_plan(options: &PolicyOptions, weight: f64) -> HoldPlan {
    HoldPlan::open(options.retention.clone(), options.speed, weight)
}

/// The kind of program or tool is not known at this layer, so pause lengths are modelled per caller.
fn kind_of(caller: &CallerName) -> PauseKind {
    PauseKind {
        caller: caller.clone(),
        kind: 0,
    }
}
