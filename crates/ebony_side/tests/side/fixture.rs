//! Starts a side process with stand-in targets for a test.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use ebony_fleet::settings::{FleetTimes, PlatformUrls, TargetPlan, side_settings};
use ebony_link::{LinkIdentity, LinkOptions, dial};
use ebony_platform::{EngineCall, EngineTarget, HttpEngine, RequestLimits};
use ebony_settings::ProcessSettings;
use ebony_side::SideProcess;
use ebony_standins::StandinHandle;
use ebony_standins::engine::{
    self, ChatMessage, ChatRequest, EngineControl, EngineOptions, EngineSettings, EngineStats,
};
use ebony_standins::service::{self, ServiceControl, ServiceOptions};
use ebony_types::{
    CallId, CallKind, CallRequest, CallerName, FencingToken, IdempotencyKey, ModelName, ProcessIncarnation,
    ProgramId, ServiceName, SessionId, ShardKey, TargetName,
};
use ebony_wire::{ClusterKey, DispatchOrder, LinkRole, QueueRank};
use futures_util::StreamExt;
use slog::{Discard, Logger, o};

use crate::link_end::LinkEnd;

/// The most checks of a condition before a test fails.
const MAX_CHECKS: u32 = 20_000;

pub(crate) const MODEL: &str = "kalo";

/// The targets and settings of a side process.
pub(crate) struct SidePlan {
    pub(crate) engines: Vec<EngineSettings>,
    pub(crate) slots: u32,
    pub(crate) checks_fencing: bool,
    pub(crate) vouch_lease: &'static str,
}

impl Default for SidePlan {
    fn default() -> Self {
        Self {
            engines: vec![EngineSettings::default()],
            slots: 4,
            checks_fencing: true,
            vouch_lease: "600s",
        }
    }
}

/// A side process with engines and a plain service, each with a name from [`target`].
pub(crate) struct SideFixture {
    pub(crate) process: SideProcess,
    pub(crate) engines: Vec<EngineControl>,
    pub(crate) service: ServiceControl,
    handles: Vec<StandinHandle>,
}

impl SideFixture {
    pub(crate) async fn spawn(plan: SidePlan) -> Result<Self> {
        let mut handles = Vec::new();
        let mut plans = Vec::new();
        for settings in plan.engines {
            let options = EngineOptions {
                models: vec![ModelName::parse(MODEL)?],
                settings,
                ..EngineOptions::default()
            };
            let handle = engine::spawn(options).await?;
            plans.push(TargetPlan::Engine {
                address: handle.address().data,
                models: vec![MODEL.to_owned()],
                slots: plan.slots,
                checks_fencing: plan.checks_fencing,
            });
            handles.push(handle);
        }
        let engines = handles
            .iter()
            .map(|handle| EngineControl::open(handle.address().control));
        let engines = engines.collect();
        let handle = service::spawn(ServiceOptions::default()).await?;
        let service = ServiceControl::open(handle.address().control);
        plans.push(TargetPlan::Service {
            address: handle.address().data,
            service: "orders".to_owned(),
        });
        handles.push(handle);
        Ok(Self {
            process: SideProcess::spawn(settings(&plans, plan.vouch_lease)?, logger()).await?,
            engines,
            service,
            handles,
        })
    }

    pub(crate) fn engine(&self) -> &EngineControl {
        &self.engines[0]
    }

    /// Fills an engine's prefix cache without involving the side process.
    pub(crate) async fn fill_directly(&self, program: ProgramId) -> Result<()> {
        let engine = HttpEngine::open(&self.handles[0].url(), RequestLimits::for_targets())?;
        let call = EngineCall {
            call: call_id(99),
            program,
            priority: 0,
            body: Bytes::from(serde_json::to_vec(&chat("left behind", 20))?),
        };
        let mut answer = engine.complete(call).await?;
        while let Some(part) = answer.body.next().await {
            part?;
        }
        Ok(())
    }

    /// Opens a link as an entry.
    pub(crate) async fn link(&self, process: &str) -> Result<LinkEnd> {
        let identity = LinkIdentity {
            key: ClusterKey::from_bytes(b"fleet-on-loopback-only")?,
            process: process.to_owned(),
            role: LinkRole::Entry,
            incarnation: ProcessIncarnation::from_bytes([1; 16]),
        };
        let options = LinkOptions {
            open_timeout: Duration::from_secs(30),
            silence_limit: Duration::from_secs(60),
            ..LinkOptions::default()
        };
        Ok(LinkEnd::open(
            dial(self.process.addresses().links, &identity, &options).await?,
        ))
    }
}

/// Polls an engine until a condition holds.
pub(crate) async fn wait_for(
    engine: &EngineControl,
    what: &str,
    condition: impl Fn(&EngineStats) -> bool,
) -> Result<EngineStats> {
    let mut last = None;
    for _ in 0..MAX_CHECKS {
        let stats = engine.stats().await?;
        if condition(&stats) {
            return Ok(stats);
        }
        last = Some(stats);
    }
    bail!("condition not met: {what}; last seen {last:?}")
}

fn settings(plans: &[TargetPlan], vouch_lease: &str) -> Result<ProcessSettings> {
    let unused = || "http://127.0.0.1:9".to_owned();
    let platform = PlatformUrls {
        table: unused(),
        objects: unused(),
        hosts: unused(),
        weights: unused(),
    };
    let times = FleetTimes {
        lost_after: Duration::from_secs(60),
        // Longer than a test waits, so that a drain that ends by its time limit fails the test.
        drain: Duration::from_secs(600),
        ..FleetTimes::default()
    };
    let first = plans.first().context("a target")?;
    let mut document = side_settings("side-1", "domain-1", &platform, times, first);
    let targets = plans.iter().zip(1..).map(|(plan, number)| {
        let settings = side_settings("side-1", "domain-1", &platform, times, plan);
        let mut target = settings["targets"][0].clone();
        target["name"] = format!("target-{number}").into();
        target
    });
    document["targets"] = targets.collect();
    document["policy"]["vouch_lease"] = vouch_lease.into();
    Ok(ProcessSettings::parse(&document.to_string(), "side.jsonc")?)
}

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

pub(crate) fn target(number: usize) -> TargetName {
    TargetName::parse(&format!("target-{number}")).expect("a valid name")
}

pub(crate) fn call_id(number: u8) -> CallId {
    CallId::from_bytes([number; 16])
}

pub(crate) fn program(number: u8) -> ProgramId {
    ProgramId::from_parts(ShardKey(3), [number; 14])
}

pub(crate) fn chat(text: &str, words: u32) -> ChatRequest {
    ChatRequest {
        model: MODEL.to_owned(),
        messages: vec![ChatMessage::text("user", text)],
        max_tokens: Some(words),
        stream: true,
    }
}

/// Returns an order for a chat completion on the first engine; the program has the call's number.
pub(crate) fn model_order(number: u8, chat: &ChatRequest) -> DispatchOrder {
    let kind = CallKind::Model {
        model: ModelName::parse(MODEL).expect("a valid name"),
        is_streamed: chat.stream,
        prompt_tokens: 10,
        max_output_tokens: 10,
    };
    let body = serde_json::to_vec(chat).expect("a request has a JSON form");
    order(number, 1, kind, Bytes::from(body))
}

/// Returns an order for the plain service of a fixture with one engine.
pub(crate) fn service_order(number: u8, key: &str, body: &'static str) -> DispatchOrder {
    let kind = CallKind::Service {
        service: ServiceName::parse("orders").expect("a valid name"),
        method: "POST".to_owned(),
        path: "/commit".to_owned(),
    };
    let mut order = order(number, 2, kind, Bytes::from_static(body.as_bytes()));
    order.request.idempotency_key = Some(IdempotencyKey::parse(key).expect("a valid key"));
    order
}

fn order(number: u8, target_number: usize, kind: CallKind, body: Bytes) -> DispatchOrder {
    DispatchOrder {
        request: CallRequest {
            call: call_id(number),
            program: Some(program(number)),
            caller: CallerName::parse("caller").expect("a valid name"),
            kind,
            headers: Vec::new(),
            body,
            idempotency_key: None,
            timeout_ms: 120_000,
        },
        target: target(target_number),
        session: SessionId::from_bytes([1; 16]),
        token: FencingToken(1),
        rank: QueueRank::default(),
    }
}
