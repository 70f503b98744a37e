//! The actor that owns programs.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix::{Addr, AsyncContext, Context, Recipient, SpawnHandle};
use ebony_owner::journal::{AppendOutcome, BodyPlace};
use ebony_owner::program::HistoryPlan;
use ebony_owner::storage::{StorageReply, StorageRequest};
use ebony_owner::{OwnerAction, OwnerCore, OwnerEvent, OwnerSettings, WallTime};
use ebony_platform::{RowVersion, TableService};
use ebony_telemetry::{ProcessClock, unix_time};
use ebony_types::{
    CallId, CallUsage, ClockTime, DomainName, ProblemCode, ProblemReport, RunVerdict, SessionId,
};
use ebony_wire::{ProgramView, ShardClaim};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::{Logger, debug, info, warn};
use tokio::sync::oneshot;

use super::members::MemberTable;
use super::messages::StorageEvent;
use super::open_call::OpenCall;
use super::storage::StorageClient;
use crate::answer::{AnswerPart, CancelCall};
use crate::dispatch::{DispatchActor, PlaceCall, ReleaseProgram, SettleCall};
use crate::peers::{CollectCopies, CopyRow, DropCopies, OperationResult, PresenceChanged};

/// Configuration and collaborators of [`OwnerActor`].
pub struct OwnerOptions {
    /// Bounds and rates of the owner.
    pub settings: OwnerSettings,
    /// The process's name.
    pub process: String,
    /// The failure domain of the host.
    pub domain: DomainName,
    /// The interval at which the session row is renewed.
    pub heartbeat: Duration,
    /// The shards of a session that is not renewed for this long may be taken over.
    pub lease: Duration,
    /// The table service.
    pub table: Rc<dyn TableService>,
    /// Storage for journals, bodies, checkpoints and shard rows.
    pub storage: StorageClient,
    /// The process's logger.
    pub logger: Logger,
}

/// The actors that the owner sends messages to.
pub(super) struct OwnerRecipients {
    pub(super) dispatch: Addr<DispatchActor>,
    pub(super) presence: Recipient<PresenceChanged>,
    pub(super) copies: Recipient<CopyRow>,
    pub(super) drops: Recipient<DropCopies>,
    pub(super) collect: Recipient<CollectCopies>,
}

/// Owns programs: passes events to the core and executes its actions.
pub struct OwnerActor {
    pub(super) options: OwnerOptions,
    pub(super) recipients: Option<OwnerRecipients>,
    pub(super) core: OwnerCore,
    pub(super) calls: HashMap<CallId, OpenCall>,
    pub(super) operations: HashMap<u64, oneshot::Sender<OperationResult>>,
    pub(super) next_operation: u64,
    pub(super) members: MemberTable,
    pub(super) is_draining: bool,
    /// Whether other entries may hold copies of rows of this session.
    pub(super) has_copies: bool,
    clock: ProcessClock,
    pub(super) rng: StdRng,
    pub(super) session_version: Option<RowVersion>,
    wakeup: Option<(ClockTime, SpawnHandle)>,
}

fn open_core(options: &OwnerOptions, rng: &mut StdRng) -> OwnerCore {
    let session = SessionId::random(rng);
    info!(options.logger, "session opened"; "session" => %session);
    OwnerCore::open(session, options.settings.clone(), rng.random())
}

/// Returns the wall-clock time now, for [`OwnerSettings::wall_start`].
pub fn wall_now() -> WallTime {
    WallTime::from_millis(u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX))
}

impl OwnerActor {
    /// Creates the owner with a new session.
    pub fn new(options: OwnerOptions) -> Self {
        let mut rng = StdRng::from_os_rng();
        let core = open_core(&options, &mut rng);
        Self {
            options,
            recipients: None,
            core,
            calls: HashMap::new(),
            operations: HashMap::new(),
            next_operation: 0,
            members: MemberTable::default(),
            is_draining: false,
            has_copies: false,
            clock: ProcessClock::start(),
            rng,
            session_version: None,
            wakeup: None,
        }
    }

    pub(super) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Passes an event to the core, executes the resulting actions and schedules the next wake-up.
    pub(super) fn handle_event(&mut self, event: OwnerEvent, context: &mut Context<Self>) {
        let now = self.now();
        let actions = self.core.handle(event, now);
        for action in actions {
            self.carry_out(action, context);
        }
        self.schedule_wakeup(context);
    }

    pub(super) fn schedule_wakeup(&mut self, context: &mut Context<Self>) {
        let next = self.core.next_wakeup();
        if self.wakeup.map(|(time, _)| time) == next {
            return;
        }
        if let Some((_, handle)) = self.wakeup.take() {
            context.cancel_future(handle);
        }
        let Some(time) = next else { return };
        let handle = context.run_later(time.since(self.now()), |actor, context| {
            actor.wakeup = None;
            actor.handle_event(OwnerEvent::Tick, context);
        });
        self.wakeup = Some((time, handle));
    }

    pub(super) fn carry_out(&mut self, action: OwnerAction, context: &mut Context<Self>) {
        match action {
            OwnerAction::Dispatch {
                call,
                program,
                token,
                rank,
            } => {
                let Some(open) = self.calls.get(&call) else { return };
                let mut request = open.request.clone();
                request.program = Some(program);
                let (pipe, session) = (open.pipe(), self.core.session());
                self.with_dispatch(|dispatch| {
                    dispatch.do_send(PlaceCall {
                        request,
                        token,
                        session,
                        rank,
                        pipe,
                    })
                });
            }
            OwnerAction::Refuse { call, problem } => {
                if let Some(open) = self.calls.remove(&call) {
                    open.refuse(problem);
                }
            }
            OwnerAction::Finish { call } => self.finish(call),
            OwnerAction::Replay { call, place } => self.replay(call, place),
            OwnerAction::CancelCall { call } => {
                self.with_dispatch(|dispatch| dispatch.do_send(CancelCall { call }));
            }
            OwnerAction::ReleaseProgram { program, token } => {
                self.with_dispatch(|dispatch| dispatch.do_send(ReleaseProgram { program, token }));
            }
            OwnerAction::Reply { request, result } => self.reply(request, result),
            OwnerAction::ReadHistory { request, view, plan } => self.read_history(request, view, plan),
            OwnerAction::ShardServing { .. } | OwnerAction::ShardReleased { .. } => self.publish_presence(),
            OwnerAction::TakeoverFailed { shard, detail } => {
                warn!(self.options.logger, "shard takeover failed"; "shard" => %shard, "detail" => detail);
            }
            OwnerAction::CopyRow(row) => {
                if let Some(recipients) = &self.recipients {
                    let session = self.core.session();
                    recipients.copies.do_send(CopyRow { session, row });
                    self.has_copies = true;
                }
            }
            OwnerAction::SessionLost => self.reopen(context),
            storage => self.start_storage(storage, context),
        }
    }

    fn start_storage(&self, action: OwnerAction, context: &mut Context<Self>) {
        let (storage, session) = (self.options.storage.clone(), self.core.session());
        let address = context.address();
        let collect = self
            .recipients
            .as_ref()
            .map(|recipients| recipients.collect.clone());
        actix::spawn(async move {
            if let Some(event) = run_storage_action(&storage, collect, session, action).await {
                address.do_send(StorageEvent { session, event });
            }
        });
    }

    /// Tells other entries to drop their copies of rows that have become durable.
    pub(super) fn drop_copies(&mut self, event: &OwnerEvent) {
        let OwnerEvent::AppendDone {
            sequence,
            outcome: AppendOutcome::Durable,
        } = event
        else {
            return;
        };
        if !std::mem::take(&mut self.has_copies) {
            return;
        }
        if let Some(recipients) = &self.recipients {
            let session = self.core.session();
            recipients.drops.do_send(DropCopies {
                session,
                durable: *sequence,
            });
        }
    }

    pub(super) fn with_dispatch(&self, send: impl FnOnce(&Addr<DispatchActor>)) {
        if let Some(recipients) = &self.recipients {
            send(&recipients.dispatch);
        }
    }

    fn finish(&mut self, call: CallId) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        if let Some(side) = open.side {
            self.with_dispatch(|dispatch| dispatch.do_send(SettleCall { call, side }));
        }
        open.finish();
    }

    fn replay(&mut self, call: CallId, place: BodyPlace) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let storage = self.options.storage.clone();
        actix::spawn(async move {
            match storage.read_turn(place).await {
                Ok(body) => {
                    let pipe = open.pipe();
                    pipe.push(AnswerPart::Head(body.head));
                    pipe.push(AnswerPart::Bytes(body.answer));
                    pipe.push(AnswerPart::End(CallUsage::default()));
                }
                Err(_) => {
                    let detail = "the stored answer can't be read at present";
                    let problem =
                        ProblemReport::new(ProblemCode::PlatformUnavailable, RunVerdict::Ran, detail);
                    open.refuse(problem.retry_after(2));
                }
            }
        });
    }

    fn reply(&mut self, request: u64, result: OperationResult) {
        if let Some(reply) = self.operations.remove(&request) {
            // The requester may have given up.
            let _ = reply.send(result);
        }
    }

    fn read_history(&mut self, request: u64, mut view: Box<ProgramView>, plan: HistoryPlan) {
        let Some(reply) = self.operations.remove(&request) else {
            return;
        };
        let storage = self.options.storage.clone();
        actix::spawn(async move {
            let result = match storage.read_history(&plan).await {
                Ok(history) => {
                    view.history = Some(history);
                    Ok(view)
                }
                Err(error) => {
                    let detail = format!("the history can't be read at present: {error}");
                    Err(ProblemReport::not_run(ProblemCode::PlatformUnavailable, detail).retry_after(2))
                }
            };
            // The requester may have given up.
            let _ = reply.send(result);
        });
    }

    /// Opens a new session after a successor has sealed the current one.
    pub(super) fn reopen(&mut self, context: &mut Context<Self>) {
        warn!(self.options.logger, "session lost; opening a new one";
            "session" => %self.core.session());
        for (_, open) in self.calls.drain() {
            let detail = "the owner of the program was replaced";
            open.refuse(ProblemReport::may_have_run(ProblemCode::OwnerUnavailable, detail).retry_after(1));
        }
        self.operations.clear();
        self.core = open_core(&self.options, &mut self.rng);
        self.session_version = None;
        self.publish_presence();
        self.write_session(context);
    }

    pub(super) fn publish_presence(&self) {
        let shards = self.core.serving_shards();
        debug!(self.options.logger, "shards changed"; "count" => shards.len());
        let presence = PresenceChanged {
            session: Some(self.core.session()),
            is_draining: self.is_draining,
            shards: shards
                .into_iter()
                .map(|(shard, epoch)| ShardClaim { shard, epoch })
                .collect(),
        };
        if let Some(recipients) = &self.recipients {
            recipients.presence.do_send(presence);
        }
    }
}

/// Executes a storage action. Returns the event that reports its outcome if the core expects one.
async fn run_storage_action(
    storage: &StorageClient,
    collect: Option<Recipient<CollectCopies>>,
    session: SessionId,
    action: OwnerAction,
) -> Option<OwnerEvent> {
    match action {
        OwnerAction::Append(append) => {
            let sequence = append.sequence;
            let outcome = storage.append(session, append).await;
            Some(OwnerEvent::AppendDone { sequence, outcome })
        }
        OwnerAction::Checkpoint { sequence, bytes } => {
            let is_stored = storage.store_checkpoint(session, sequence, bytes).await;
            Some(OwnerEvent::CheckpointDone { sequence, is_stored })
        }
        OwnerAction::Storage { ticket, request } => {
            let reply = match append_copies(storage, collect, &request).await {
                true => storage.carry_out(request).await,
                false => StorageReply::Unavailable,
            };
            Some(OwnerEvent::StorageDone { ticket, reply })
        }
        OwnerAction::Truncate {
            first,
            last,
            checkpoint,
        } => {
            storage.truncate(session, first, last, checkpoint).await;
            None
        }
        OwnerAction::DeleteBodies { sequence } => {
            storage.delete_bodies(session, sequence).await;
            None
        }
        _ => None,
    }
}

/// Before a journal is sealed, appends the copies of its rows that entries have held since an outage. Returns `false`
/// if the platform is unavailable.
async fn append_copies(
    storage: &StorageClient,
    collect: Option<Recipient<CollectCopies>>,
    request: &StorageRequest,
) -> bool {
    let StorageRequest::SealJournal {
        session, sequence, ..
    } = request
    else {
        return true;
    };
    let Some(collect) = collect else { return true };
    let after = sequence.saturating_sub(1);
    let message = CollectCopies {
        session: *session,
        after,
    };
    let copies = collect.send(message).await.unwrap_or_default();
    storage.append_copies(*session, *sequence, copies).await
}
