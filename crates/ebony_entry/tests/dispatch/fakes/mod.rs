//! Test harness of the dispatcher: a fake host list, fake platform services and owner, and fake side processes over
//! real links.

mod owner;
mod platform;
mod side;

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr};
use async_trait::async_trait;
use bytes::Bytes;
use ebony_entry::answer::AnswerPipe;
use ebony_entry::dispatch::{
    CallEnded, DispatchActor, DispatchMetrics, DispatchOptions, PlaceCall, ReadReadiness, SetCrashRecipient,
};
use ebony_link::{LinkIdentity, LinkOptions};
use ebony_platform::{HostEntry, HostList, HostRole, HostState, WeightStore};
use ebony_policy::PolicyOptions;
use ebony_telemetry::MetricsRegistry;
use ebony_types::{
    CallId, CallKind, CallRequest, CallerName, DomainName, FencingToken, HostName, IdempotencyKey, ModelName,
    ProcessIncarnation, ProgramId, ServiceName, SessionId, ShardKey,
};
use ebony_wire::{ClusterKey, ConfigStatus, CrashReport, LinkRole, QueueRank, SideFrame};
use tokio::sync::watch;

pub(crate) use owner::{FakeOwner, ReceivedMessages};
pub(crate) use platform::{FakeTable, FakeWeights};
pub(crate) use side::{FakeLink, FakeSide};

/// The timeout of all waits. It is reached only if the code under test hangs.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// The interval at which the fake host list is read.
const HOSTS_INTERVAL: Duration = Duration::from_millis(10);

/// Waits for a future and panics if it does not complete in time.
pub(crate) async fn within<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(WAIT_LIMIT, future)
        .await
        .expect("completes within the limit")
}

pub(crate) fn identity(process: &str, role: LinkRole, incarnation: u8) -> LinkIdentity {
    LinkIdentity {
        key: ClusterKey::from_bytes(b"a-key-for-tests-only").expect("long enough"),
        process: process.to_owned(),
        role,
        incarnation: ProcessIncarnation::from_bytes([incarnation; 16]),
    }
}

/// A host list in memory. Clones share it.
#[derive(Clone)]
pub(crate) struct FakeHosts {
    entries: Rc<RefCell<Vec<HostEntry>>>,
    fetches: Rc<watch::Sender<u64>>,
}

impl FakeHosts {
    fn new() -> Self {
        Self {
            entries: Rc::default(),
            fetches: Rc::new(watch::channel(0).0),
        }
    }

    /// Adds a side process, replacing an earlier one on the same host.
    pub(crate) fn list(&self, side: &FakeSide) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|entry| entry.host.as_str() != side.name());
        entries.push(HostEntry {
            host: HostName::parse(side.name()).expect("a name"),
            role: HostRole::Side,
            address: side.address(),
            domain: DomainName::parse("here").expect("a name"),
            state: HostState::Live,
        });
    }

    /// Adds the entry itself.
    pub(crate) fn list_entry(&self) {
        self.entries.borrow_mut().push(HostEntry {
            host: HostName::parse("entry-1").expect("a name"),
            role: HostRole::Entry,
            address: ([127, 0, 0, 1], 1).into(),
            domain: DomainName::parse("here").expect("a name"),
            state: HostState::Live,
        });
    }

    /// Marks a side process as leaving.
    pub(crate) fn mark_leaving(&self, side: &FakeSide) {
        let mut entries = self.entries.borrow_mut();
        let listed = entries
            .iter_mut()
            .find(|entry| entry.host.as_str() == side.name());
        listed.expect("listed").state = HostState::Leaving;
    }
}

#[async_trait(?Send)]
impl HostList for FakeHosts {
    async fn fetch(&self) -> ebony_platform::host_list::Result<Vec<HostEntry>> {
        self.fetches.send_modify(|count| *count += 1);
        Ok(self.entries.borrow().clone())
    }
}

/// A dispatcher connected to fakes.
pub(crate) struct DispatchRig {
    pub(crate) dispatch: Addr<DispatchActor>,
    pub(crate) hosts: FakeHosts,
    pub(crate) received: ReceivedMessages,
    next_call: u8,
    next_status: u64,
}

impl DispatchRig {
    pub(crate) fn start(policy: PolicyOptions) -> Self {
        Self::start_on(FakeTable::new(), None, policy)
    }

    /// Starts a dispatcher with a table service and an optional weight store.
    pub(crate) fn start_on(
        table: FakeTable,
        weights: Option<Rc<dyn WeightStore>>,
        policy: PolicyOptions,
    ) -> Self {
        let hosts = FakeHosts::new();
        let (owner, received) = FakeOwner::start_with_channels();
        let dispatch = DispatchActor::new(DispatchOptions {
            identity: identity("entry-1", LinkRole::Entry, 1),
            link: LinkOptions {
                silence_limit: WAIT_LIMIT,
                ..LinkOptions::default()
            },
            heartbeat: Duration::from_millis(250),
            host: HostName::parse("entry-1").expect("a name"),
            domain: DomainName::parse("here").expect("a name"),
            hosts: Rc::new(hosts.clone()),
            hosts_interval: HOSTS_INTERVAL,
            policy,
            weights,
            table: Rc::new(table),
            placed: owner.clone().recipient(),
            ended: owner.clone().recipient(),
            status: owner.clone().recipient(),
            metrics: DispatchMetrics::register(&MetricsRegistry::default()).expect("new"),
            logger: slog::Logger::root(slog::Discard, slog::o!()),
        });
        let dispatch = dispatch.start();
        dispatch.do_send(SetCrashRecipient {
            crashes: owner.recipient(),
        });
        Self {
            dispatch,
            hosts,
            received,
            next_call: 0,
            next_status: 0,
        }
    }

    /// Adds a side process to the host list and returns its first link, once the dispatcher knows its targets.
    pub(crate) async fn join(&mut self, side: &mut FakeSide) -> FakeLink {
        self.hosts.list(side);
        let link = side.accept().await;
        self.sync(&link).await;
        link
    }

    /// Waits until the dispatcher has handled all frames that were sent over the link.
    pub(crate) async fn sync(&mut self, link: &FakeLink) {
        self.next_status += 1;
        let status = ConfigStatus {
            process: "sync".to_owned(),
            version: self.next_status,
        };
        link.send(SideFrame::ConfigInForce(status));
        while within(self.received.statuses.recv()).await.expect("open") != self.next_status {}
    }

    /// Waits until the dispatcher has handled a host list that was read after this call.
    pub(crate) async fn sync_hosts(&self) {
        let mut fetches = self.hosts.fetches.subscribe();
        let known = *fetches.borrow_and_update();
        // The result of the first new fetch is sent before the second one starts.
        within(fetches.wait_for(|count| *count >= known + 2))
            .await
            .expect("open");
        self.barrier().await;
    }

    /// Waits until the dispatcher has handled all messages sent before.
    pub(crate) async fn barrier(&self) {
        within(self.dispatch.send(ReadReadiness)).await.expect("runs");
    }

    /// Places a call and returns its pipe.
    pub(crate) fn place(&mut self, mut call: TestCall) -> Arc<AnswerPipe> {
        self.next_call += 1;
        call.request.call = CallId::from_bytes([self.next_call; 16]);
        if call.request.program.is_none() {
            call.request.program = Some(program(self.next_call));
        }
        let pipe = Arc::new(AnswerPipe::new(call.request.call));
        self.dispatch.do_send(PlaceCall {
            request: call.request,
            token: FencingToken(1),
            session: SessionId::from_bytes([1; 16]),
            rank: QueueRank::default(),
            pipe: Arc::clone(&pipe),
        });
        pipe
    }

    /// Waits for the next call to end.
    pub(crate) async fn ended(&mut self) -> CallEnded {
        within(self.received.ended.recv()).await.expect("open")
    }

    /// Waits for the next crash reports for other entries.
    pub(crate) async fn crashes(&mut self) -> Vec<CrashReport> {
        within(self.received.crashes.recv()).await.expect("open")
    }

    /// Panics if another call has ended.
    pub(crate) async fn assert_no_further_end(&mut self) {
        self.barrier().await;
        let further = self.received.ended.try_recv();
        assert!(
            further.is_err(),
            "a call ended twice: {:?}",
            further.map(|end| end.call)
        );
    }
}

pub(crate) fn program(number: u8) -> ProgramId {
    ProgramId::from_parts(ShardKey(0), [number; 14])
}

/// Builder of a test call.
pub(crate) struct TestCall {
    pub(crate) request: CallRequest,
}

impl TestCall {
    /// A streamed model call, which may run twice.
    pub(crate) fn model() -> Self {
        Self::of(CallKind::Model {
            model: ModelName::parse("kalo").expect("a name"),
            is_streamed: true,
            prompt_tokens: 100,
            max_output_tokens: 100,
        })
    }

    /// A service call with an idempotency key, which must not run twice.
    pub(crate) fn service() -> Self {
        let mut call = Self::of(CallKind::Service {
            service: ServiceName::parse("shop").expect("a name"),
            method: "POST".to_owned(),
            path: "/".to_owned(),
        });
        call.request.idempotency_key = Some(IdempotencyKey::parse("key").expect("a name"));
        call
    }

    pub(crate) fn with_prompt(mut self, tokens: u32) -> Self {
        if let CallKind::Model { prompt_tokens, .. } = &mut self.request.kind {
            *prompt_tokens = tokens;
        }
        self
    }

    pub(crate) fn with_timeout(mut self, timeout_ms: u32) -> Self {
        self.request.timeout_ms = timeout_ms;
        self
    }

    pub(crate) fn with_program(mut self, number: u8) -> Self {
        self.request.program = Some(program(number));
        self
    }

    fn of(kind: CallKind) -> Self {
        Self {
            request: CallRequest {
                call: CallId::from_bytes([0; 16]),
                program: None,
                caller: CallerName::parse("caller").expect("a name"),
                kind,
                headers: Vec::new(),
                body: Bytes::from_static(b"{}"),
                idempotency_key: None,
                timeout_ms: 60_000,
            },
        }
    }
}
