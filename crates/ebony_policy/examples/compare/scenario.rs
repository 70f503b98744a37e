//! Deployments, scenarios, and the policies under comparison.

use ebony_policy::options::{PolicyName, PolicyOptions};
use ebony_policy::placement::PlacementRule;
use ebony_policy::queue::QueueOrder;
use ebony_policy::speed::EngineSpeed;

use crate::programs::{BurstPlan, LoadPlan, ProgramMix};

/// Concurrent calls of an engine.
pub(crate) const SLOTS: u32 = 32;

/// Tokens of KV cache of an engine: two accelerators with about 40 GB each besides the weights.
pub(crate) const KV_TOKENS: u64 = 800_000;

/// Callers that send programs continuously. One further caller sends bursts.
pub(crate) const CALLERS: usize = 12;

/// Seconds during which programs arrive. The run continues until all have ended.
pub(crate) const ARRIVAL_SECONDS: f64 = 1_200.0;

/// Returns the speed of the engines: 12,000 prefill tokens per second and decode steps of 16 ms to 29 ms. Ten of them
/// serve about 27 calls of 294 tokens per second, which is the peak load of ten of 12,000 engines according to
/// docs/design.md, section 1.3.
pub(crate) fn engine_speed() -> EngineSpeed {
    EngineSpeed {
        prefill_tokens_per_second: 12_000.0,
        step_base_ms: 16.0,
        step_per_call_ms: 0.4,
        kv_bytes_per_token: 100_000,
    }
}

/// A deployment in use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentPlan {
    pub(crate) name: &'static str,
    pub(crate) latency_weight: f64,
    pub(crate) domains: &'static [(&'static str, usize)],
    pub(crate) mix: ProgramMix,
}

pub(crate) const DEPLOYMENTS: [DeploymentPlan; 2] = [
    DeploymentPlan {
        name: "calabash",
        latency_weight: 0.3,
        domains: &[("viti-west-a", 4), ("viti-west-b", 3), ("viti-west-c", 3)],
        mix: ProgramMix {
            chats: 0.45,
            agents: 0.35,
            fan_outs: 0.08,
            long_sessions: 0.12,
        },
    },
    DeploymentPlan {
        name: "fanghi",
        latency_weight: 0.8,
        domains: &[("catania-a", 4), ("catania-b", 3), ("palermo-a", 3)],
        mix: ProgramMix {
            chats: 0.35,
            agents: 0.40,
            fan_outs: 0.18,
            long_sessions: 0.07,
        },
    },
];

/// An engine that is slow for a period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowPlan {
    pub(crate) from: f64,
    pub(crate) until: f64,
    pub(crate) slowdown: f64,
}

/// Engines that stall one after the other without being reported as failed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallPlan {
    pub(crate) every_seconds: f64,
    pub(crate) seconds: f64,
}

/// Parameters of a scenario.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScenarioPlan {
    pub(crate) name: &'static str,
    pub(crate) load: f64,
    pub(crate) burst: Option<BurstPlan>,
    pub(crate) long_factor: f64,
    /// Replaces the program mix of the deployment.
    pub(crate) mix: Option<ProgramMix>,
    /// The timeout of the calls of every fourth caller, in seconds.
    pub(crate) short_timeout: Option<f64>,
    pub(crate) slow: Option<SlowPlan>,
    pub(crate) stall: Option<StallPlan>,
    pub(crate) event_loss: f64,
    pub(crate) second_model: (f64, f64),
    /// Start and end of an outage of the first failure domain, in seconds.
    pub(crate) outage: Option<(f64, f64)>,
    /// Whether entries use admission control. Otherwise only the queues of the side processes limit the load.
    pub(crate) has_admission: bool,
    /// Refusals after which a caller abandons a program.
    pub(crate) max_refusals: u32,
}

const MIXED: ScenarioPlan = ScenarioPlan {
    name: "mixed",
    load: 0.6,
    burst: None,
    long_factor: 1.0,
    mix: None,
    short_timeout: None,
    slow: None,
    stall: None,
    event_loss: 0.02,
    second_model: (0.0, 0.0),
    outage: None,
    has_admission: true,
    max_refusals: u32::MAX,
};

/// Programs with short histories: calls wait for slots rather than memory.
const SHORT_MIX: ProgramMix = ProgramMix {
    chats: 0.80,
    agents: 0.05,
    fan_outs: 0.15,
    long_sessions: 0.0,
};

pub(crate) const SCENARIOS: [ScenarioPlan; 16] = [
    ScenarioPlan {
        name: "quarter-load",
        load: 0.25,
        ..MIXED
    },
    ScenarioPlan {
        name: "half-load",
        load: 0.4,
        ..MIXED
    },
    ScenarioPlan {
        name: "mixed",
        load: 0.6,
        ..MIXED
    },
    ScenarioPlan {
        name: "saturation",
        load: 0.85,
        ..MIXED
    },
    ScenarioPlan {
        name: "bursts",
        load: 0.6,
        burst: Some(BurstPlan {
            every_seconds: 400.0,
            programs: 300,
            children: (0, 0),
        }),
        ..MIXED
    },
    ScenarioPlan {
        name: "long",
        load: 0.7,
        long_factor: 3.0,
        ..MIXED
    },
    ScenarioPlan {
        name: "slots",
        load: 0.7,
        mix: Some(SHORT_MIX),
        short_timeout: Some(20.0),
        burst: Some(BurstPlan {
            every_seconds: 400.0,
            programs: 300,
            children: (0, 0),
        }),
        ..MIXED
    },
    ScenarioPlan {
        name: "faults",
        load: 0.6,
        slow: Some(SlowPlan {
            from: 300.0,
            until: 700.0,
            slowdown: 6.0,
        }),
        event_loss: 0.3,
        ..MIXED
    },
    ScenarioPlan {
        name: "stalls",
        load: 0.6,
        stall: Some(StallPlan {
            every_seconds: 60.0,
            seconds: 30.0,
        }),
        ..MIXED
    },
    ScenarioPlan {
        name: "outage",
        load: 0.6,
        short_timeout: Some(20.0),
        outage: Some((400.0, 800.0)),
        ..MIXED
    },
    ScenarioPlan {
        name: "storms",
        load: 0.6,
        burst: Some(BurstPlan {
            every_seconds: 200.0,
            programs: 5,
            children: (60, 100),
        }),
        short_timeout: Some(20.0),
        ..MIXED
    },
    ScenarioPlan {
        name: "ungated",
        load: 0.6,
        burst: Some(BurstPlan {
            every_seconds: 200.0,
            programs: 5,
            children: (60, 100),
        }),
        short_timeout: Some(20.0),
        has_admission: false,
        ..MIXED
    },
    ScenarioPlan {
        name: "shift",
        load: 0.5,
        second_model: (0.25, 0.75),
        ..MIXED
    },
    ScenarioPlan {
        name: "overload-2x",
        load: 1.7,
        max_refusals: 5,
        ..MIXED
    },
    ScenarioPlan {
        name: "overload-4x",
        load: 3.4,
        max_refusals: 5,
        ..MIXED
    },
    ScenarioPlan {
        name: "slots-4x",
        load: 3.4,
        mix: Some(SHORT_MIX),
        max_refusals: 5,
        ..MIXED
    },
];

impl ScenarioPlan {
    /// Returns the parameters of the load for the scenario in a deployment.
    pub(crate) fn load_plan(&self, deployment: &DeploymentPlan) -> LoadPlan {
        let mut mix = self.mix.unwrap_or(deployment.mix);
        mix.long_sessions *= self.long_factor;
        LoadPlan {
            mix,
            seconds: ARRIVAL_SECONDS,
            load: self.load,
            engines: deployment.domains.iter().map(|(_, engines)| engines).sum(),
            slots: SLOTS,
            callers: CALLERS,
            burst: self.burst,
            second_model: self.second_model,
        }
    }
}

/// A policy under comparison.
#[derive(Clone, Debug)]
pub(crate) struct PolicyPlan {
    pub(crate) name: &'static str,
    pub(crate) options: PolicyOptions,
}

/// Returns the own policy, the baselines, the reference and all ablations.
pub(crate) fn policies() -> Vec<PolicyPlan> {
    let mut plans = vec![
        named("ours", PolicyName::Ebonyswitch),
        named("round-robin", PolicyName::RoundRobin),
        named("least-outstanding", PolicyName::LeastOutstanding),
        named("last-target (reference)", PolicyName::LastTarget),
        named("ours, fcfs by call", PolicyName::FirstComeFirstServed),
    ];
    plans.extend(ablations().into_iter().map(|(name, disable)| {
        let mut plan = named(name, PolicyName::Ebonyswitch);
        disable(&mut plan.options);
        plan
    }));
    plans
}

fn named(name: &'static str, policy: PolicyName) -> PolicyPlan {
    let mut options = PolicyOptions::named(policy);
    options.speed = engine_speed();
    PolicyPlan { name, options }
}

type Ablation = (&'static str, fn(&mut PolicyOptions));

fn ablations() -> Vec<Ablation> {
    vec![
        ("- fair share of queue", |options| {
            options.queue.fair_share = false;
        }),
        ("- service order", |options| {
            options.queue.level_delay_ms = 0;
        }),
        ("- ageing", |options| {
            options.queue.ageing = false;
        }),
        ("- parents first", |options| {
            options.queue.parents_first = false;
        }),
        ("- deadlines", |options| {
            options.queue.deadlines = false;
        }),
        ("- early refusal", |options| {
            options.queue.early_refusal = false;
        }),
        ("- bypass", |options| {
            options.queue.bypass_calls = 0;
        }),
        ("- all of queue", |options| {
            options.queue.order = QueueOrder::FirstComeFirstServed;
            options.queue.fair_share = false;
            options.queue.early_refusal = false;
            options.queue.bypass_calls = 0;
        }),
        ("- affinity", |options| {
            options.placement.affinity = false;
        }),
        ("- optimistic", |options| {
            options.placement.optimistic = false;
        }),
        ("- measured pace", |options| {
            options.placement.measured_pace = false;
        }),
        ("- refill cost", |options| {
            options.placement.refill_cost = false;
        }),
        ("- spill", |options| {
            options.placement.spill = false;
        }),
        ("- all of placement", |options| {
            options.placement.rule = PlacementRule::LeastOutstanding;
        }),
        ("- cache model", |options| {
            options.cache.enabled = false;
        }),
        ("- cache events", |options| {
            options.cache.events = false;
        }),
        ("- loss of trust", |options| {
            options.cache.trust_per_lost_event = 1.0;
        }),
        ("- keep", |options| {
            options.retention.keep = false;
        }),
        ("- break-even", |options| {
            options.retention.break_even_ms = 0;
            options.retention.patience_ms = 0;
        }),
        ("- learned pauses", |options| {
            options.retention.learned_pauses = false;
        }),
        ("- export", |options| {
            options.retention.export = false;
        }),
        ("- release ended", |options| {
            options.retention.release_ended = false;
        }),
        ("- all of retention", |options| {
            options.retention.keep = false;
            options.retention.export = false;
            options.retention.release_ended = false;
        }),
        ("- adaptive limit", |options| {
            options.admission.adaptive = false;
        }),
        ("- memory bound", |options| {
            options.admission.memory_bound = false;
        }),
        ("- small first", |options| {
            options.admission.small_program_tokens = 0;
            options.admission.delay_per_token_us = 0;
        }),
        ("- fair admission", |options| {
            options.admission.fair_share = false;
        }),
        ("- all of admission", |options| {
            options.admission.enabled = false;
        }),
        ("- retries", |options| {
            options.retry.enabled = false;
        }),
        ("+ hedged model calls", |options| {
            options.retry.hedge_model_calls = true;
        }),
        ("- loading", |options| {
            options.loading.enabled = false;
        }),
    ]
}
