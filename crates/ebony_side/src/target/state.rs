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

/// The most orders queued for one engine. Orders of the [`HeldTable`] that do not fit are repeated by the table.
const MAX_QUEUED_JOBS: usize = 1_024;

/// A call in the queue of a target.
pub(crate) struct WaitingCall {
    /// `None` once the call has left the queue and the ledger holds it back.
    pub(crate) key: Option<QueueKey>,
    pub(crate) request: CallRequest,
}

/// A call that a target runs.
pub(crate) struct RunningCall {
    /// Identifies the run within the process.
    pub(crate) number: u64,
    pub(crate) abort: AbortHandle,
    /// Notified when the answer buffer has room again.
    pub(crate) buffer_room: Rc<Notify>,
    /// The program whose KV cache the call uses; `None` for a plain service.
    pub(crate) program: Option<ProgramId>,
    pub(crate) caller: CallerName,
    pub(crate) cost_tokens: u64,
    pub(crate) prompt_tokens: u64,
    /// Whether the call has ended and its cancellation is being sent to the target.
    pub(crate) is_stopping: bool,
}

/// A request to an engine. Only one is in progress at a time, so that the engine's list of programs is never read while
/// an order changes it.
#[derive(Clone, Debug)]
pub(crate) enum EngineJob {
    /// An order of the [`HeldTable`].
    Held(HeldOrder),
    /// Loads or unloads a model on the order of an entry.
    Load(LinkKey, LoadOrder),
    /// Lists the programs that the engine holds memory for.
    List,
}

/// The state of a target that is an engine.
pub(crate) struct EngineState {
    pub(crate) engine: Rc<dyn EngineTarget>,
    pub(crate) held: HeldTable,
    pub(crate) jobs: VecDeque<EngineJob>,
    pub(crate) is_busy: bool,
    pub(crate) is_polling: bool,
    /// Whether the engine's list of programs was read since its last crash.
    pub(crate) has_listed: bool,
    /// The token for releases: the highest that the engine is known to have received.
    pub(crate) token: FencingToken,
    pub(crate) load: Option<EngineLoad>,
    /// The sequence number of the last cache notice.
    pub(crate) last_notice: u64,
    /// The number of the engine's crashes. Except for load orders, replies to requests from before a crash are ignored.
    pub(crate) crash_count: u64,
}

impl EngineState {
    fn open(engine: Rc<dyn EngineTarget>, options: RetentionOptions) -> Self {
        Self {
            engine,
            held: HeldTable::open(options),
            jobs: VecDeque::new(),
            is_busy: false,
            is_polling: false,
            has_listed: false,
            token: FencingToken::default(),
            load: None,
            last_notice: 0,
            crash_count: 0,
        }
    }

    /// Queues a job. Returns `false` if the queue is full.
    pub(crate) fn push(&mut self, job: EngineJob) -> bool {
        let has_room = self.jobs.len() < MAX_QUEUED_JOBS;
        if has_room {
            self.jobs.push_back(job);
        }
        has_room
    }

    /// Resets the state that a crash of the engine invalidated. Load orders stay queued.
    pub(crate) fn reset_after_crash(&mut self, options: RetentionOptions) {
        self.held = HeldTable::open(options);
        self.jobs.retain(|job| matches!(job, EngineJob::Load(..)));
        self.has_listed = false;
        self.last_notice = 0;
        self.crash_count += 1;
        self.load = None;
    }
}

/// The state of one target.
pub(crate) struct TargetState {
    pub(crate) open: OpenTarget,
    pub(crate) queue: CallQueue,
    /// Bounded by the queue's capacity.
    pub(crate) waiting: BTreeMap<CallId, WaitingCall>,
    /// Calls that left the queue and that the ledger holds back while a crash suspect runs.
    pub(crate) held_back: VecDeque<QueuedCall>,
    /// Bounded by the target's slots.
    pub(crate) running: BTreeMap<CallId, RunningCall>,
    /// Failed calls whose connection broke and for which it is not yet known whether the target crashed. Each is
    /// removed when its probes end; their number is bounded.
    pub(crate) unresolved: BTreeSet<CallId>,
    /// Whether the target's port was closed at the last probe.
    pub(crate) is_down: bool,
    /// The incarnation in the target's last answer.
    pub(crate) incarnation: Option<ProcessIncarnation>,
    pub(crate) engine: Option<EngineState>,
    /// The load that was last sent to entries.
    pub(crate) last_sent_load: Option<LoadReport>,
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
            incarnation: None,
            engine,
            last_sent_load: None,
        }
    }

    pub(crate) fn has_slot(&self) -> bool {
        self.running.len() < self.open.report.slots as usize
    }

    /// Removes a call that is queued or held back.
    pub(crate) fn remove_waiting(&mut self, call: CallId, now: ebony_types::ClockTime) {
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

    /// Returns the current load.
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

/// Returns the estimated number of tokens in a call's prompt.
pub(crate) fn prompt_tokens(request: &CallRequest) -> u64 {
    match request.kind {
        CallKind::Model { prompt_tokens, .. } => u64::from(prompt_tokens),
        CallKind::Service { .. } => 0,
    }
}
