//! The state of one target.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use ebony_platform::{EngineLoad, EngineTarget};
use ebony_policy::{CallQueue, HeldOrder, HeldTable, QueueKey, QueueOptions, QueuedCall, RetentionOptions};
use ebony_types::{CallId, CallKind, CallRequest, CallerName, FencingToken, ProcessIncarnation, ProgramId};
use ebony_wire::{LoadOrder, LoadReport};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::{OpenTarget, TargetAdapter};
use crate::links::LinkKey;

/// Orders that wait for an engine. Orders of the table of held programs that do not fit are repeated by it.
const MAX_JOBS: usize = 1_024;

/// A call in the queue of a target.
pub(crate) struct WaitingCall {
    /// `None` while the call is out of the queue because the ledger holds it back.
    pub(crate) key: Option<QueueKey>,
    pub(crate) request: CallRequest,
}

/// A call that a target runs.
pub(crate) struct RunningCall {
    /// The number of the run within the process.
    pub(crate) number: u64,
    pub(crate) abort: AbortHandle,
    /// Woken when the answer may go on.
    pub(crate) gate: Rc<Notify>,
    /// The program whose KV cache the call uses; `None` for a plain service.
    pub(crate) program: Option<ProgramId>,
    pub(crate) caller: CallerName,
    pub(crate) cost_tokens: u64,
    pub(crate) prompt_tokens: u64,
    /// Whether the call has ended and its target is being told.
    pub(crate) is_stopping: bool,
}

/// An order to an engine. One is under way at a time, so that the engine's list of programs is read between orders.
#[derive(Clone, Debug)]
pub(crate) enum EngineJob {
    /// An order of the table of held programs.
    Held(HeldOrder),
    /// Loads or unloads a model for an entry.
    Load(LinkKey, LoadOrder),
    /// Asks which programs the engine holds memory for.
    List,
}

/// What only engines have.
pub(crate) struct EngineState {
    pub(crate) engine: Rc<dyn EngineTarget>,
    pub(crate) held: HeldTable,
    pub(crate) jobs: VecDeque<EngineJob>,
    pub(crate) is_busy: bool,
    pub(crate) is_polled: bool,
    /// Whether the engine's list of programs was read in this life of the engine.
    pub(crate) has_listed: bool,
    /// The token for releases: the highest that the engine is known to have seen.
    pub(crate) token: FencingToken,
    pub(crate) load: Option<EngineLoad>,
    /// The number of the last cache notice.
    pub(crate) notice: u64,
    /// Counts the engine's crashes, so that replies from before one do not count.
    pub(crate) crashes: u64,
}

impl EngineState {
    fn open(engine: Rc<dyn EngineTarget>, options: RetentionOptions) -> Self {
        Self {
            engine,
            held: HeldTable::open(options),
            jobs: VecDeque::new(),
            is_busy: false,
            is_polled: false,
            has_listed: false,
            token: FencingToken::default(),
            load: None,
            notice: 0,
            crashes: 0,
        }
    }

    /// Adds an order; `false` if too many wait.
    pub(crate) fn push(&mut self, job: EngineJob) -> bool {
        let has_room = self.jobs.len() < MAX_JOBS;
        if has_room {
            self.jobs.push_back(job);
        }
        has_room
    }

    /// Forgets what a crash of the engine made void.
    pub(crate) fn crash(&mut self, options: RetentionOptions) {
        self.held = HeldTable::open(options);
        self.jobs.retain(|job| matches!(job, EngineJob::Load(..)));
        self.has_listed = false;
        self.notice = 0;
        self.crashes += 1;
        self.load = None;
    }
}

/// The state of one target.
pub(crate) struct TargetState {
    pub(crate) open: OpenTarget,
    pub(crate) queue: CallQueue,
    /// Bounded by the queue's capacity.
    pub(crate) waiting: BTreeMap<CallId, WaitingCall>,
    /// Calls that left the queue and that the ledger holds back beside a crash suspect.
    pub(crate) held_back: VecDeque<QueuedCall>,
    /// Bounded by the target's slots.
    pub(crate) running: BTreeMap<CallId, RunningCall>,
    /// Failed calls whose connection broke while nothing shows whether the target crashed. Each leaves when its
    /// probes end; their number is bounded.
    pub(crate) unresolved: BTreeSet<CallId>,
    /// Whether the target's port was closed at the last look.
    pub(crate) is_down: bool,
    /// The incarnation in the target's last answer.
    pub(crate) life: Option<ProcessIncarnation>,
    pub(crate) engine: Option<EngineState>,
    /// The load that entries know.
    pub(crate) sent_load: Option<LoadReport>,
}

impl TargetState {
    pub(crate) fn open(open: OpenTarget, options: QueueOptions, retention: RetentionOptions) -> Self {
        let engine = match &open.adapter {
            TargetAdapter::Engine(engine) => Some(EngineState::open(Rc::clone(engine), retention)),
            TargetAdapter::Service(_) => None,
        };
        Self {
            open,
            queue: CallQueue::open(options),
            waiting: BTreeMap::new(),
            held_back: VecDeque::new(),
            running: BTreeMap::new(),
            unresolved: BTreeSet::new(),
            is_down: false,
            life: None,
            engine,
            sent_load: None,
        }
    }

    pub(crate) fn has_slot(&self) -> bool {
        self.running.len() < self.open.report.slots as usize
    }

    /// Removes a call from the queue.
    pub(crate) fn forget_waiting(&mut self, call: CallId, now: ebony_types::ClockTime) {
        let Some(waiting) = self.waiting.remove(&call) else {
            return;
        };
        match waiting.key {
            Some(key) => {
                self.queue.remove(key, now);
            }
            None => self.held_back.retain(|held| held.call != call),
        }
    }

    /// Returns the present load.
    pub(crate) fn load_report(&self) -> LoadReport {
        let waiting = self.waiting.values().map(|call| prompt_tokens(&call.request));
        let running = self.running.values().map(|call| call.prompt_tokens);
        let load = self.engine.as_ref().and_then(|engine| engine.load.as_ref());
        LoadReport {
            target: self.open.report.target.clone(),
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            pending_tokens: waiting.chain(running).sum(),
            kv_bytes_held: load.map_or(0, |load| load.kv_bytes_held),
            kv_bytes_total: load.map_or(0, |load| load.kv_bytes_total),
        }
    }
}

/// Returns the estimated tokens of a call's prompt.
pub(crate) fn prompt_tokens(request: &CallRequest) -> u64 {
    match request.kind {
        CallKind::Model { prompt_tokens, .. } => u64::from(prompt_tokens),
        CallKind::Service { .. } => 0,
    }
}
