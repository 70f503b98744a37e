//! Engine memory: which programs side processes may hold, for how long, and which they must release.

use std::time::Duration;

use ebony_policy::{HoldDecision, HoldPlan, MemoryPressure, PauseKind, PauseModel, PolicyOptions};
use ebony_types::CallerName;

/// Decides how long engines keep the memory of paused programs.
pub(super) struct PauseKeeper {
    options: PolicyOptions,
    pub(super) pauses: PauseModel,
    plan: HoldPlan,
}

impl PauseKeeper {
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

    /// Learns from a pause that ended.
    pub(super) fn observe(&mut self, caller: &CallerName, pause: Duration) {
        self.pauses.observe(&kind_of(caller), pause);
    }

    /// Returns how long a program's memory is kept; `None` if the engine's own eviction decides. The side process
    /// exports memory under pressure by itself.
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

/// The kind of program or tool is not known at this layer, so that pauses are learned per caller.
fn kind_of(caller: &CallerName) -> PauseKind {
    PauseKind {
        caller: caller.clone(),
        kind: 0,
    }
}
