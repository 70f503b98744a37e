//! The state of an owner whose journal is open, and the dispatch of events and timers.

use ebony_types::{CallId, ClockTime, ProblemReport, ProgramId, SessionId, ShardKey};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::body_references::BodyReferences;
use super::checkpoint_cycle::CheckpointCycle;
use super::effect::EffectQueue;
use super::shard_table::ShardTable;
use super::takeover::TakeoverTable;
use crate::action::OwnerAction;
use crate::call::{CallKey, CallTable};
use crate::event::OwnerEvent;
use crate::journal::record::BodyPlace;
use crate::journal::writer::{JournalWriter, OpenJournal};
use crate::program::table::{ProgramKey, ProgramTable};
use crate::settings::OwnerSettings;
use crate::timer::TimerQueue;
use crate::wall_time::WallTime;

/// The result of admitting a call or an operation.
pub(super) type Result<T, E = ProblemReport> = std::result::Result<T, E>;

/// A task that is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimerTask {
    /// The deadline of a call.
    CallDeadline(CallKey),
    /// The end of the grace period for a cancelled call.
    CancelGrace(CallKey),
    /// The end of a program's time budget.
    ProgramExpiry(ProgramKey),
    /// The end of an ended program's retention.
    ProgramEviction(ProgramKey),
    /// The end of a retired key's retention.
    KeyExpiry(ProgramId),
    /// Another check of a shard's ownership.
    ShardRetry(ShardKey),
    /// The end of an unforced release, which keeps the shard.
    ReleaseTimeout(ShardKey),
    /// Another attempt of a storage request.
    RequestRetry(super::takeover::RequestOwner),
}

/// An owner whose journal is open.
#[derive(Debug)]
pub(super) struct ServingState {
    pub(super) settings: OwnerSettings,
    pub(super) rng: ChaCha8Rng,
    pub(super) writer: JournalWriter<OpenJournal>,
    pub(super) programs: ProgramTable,
    pub(super) calls: CallTable,
    pub(super) shards: ShardTable,
    pub(super) takeovers: TakeoverTable,
    pub(super) effects: EffectQueue,
    pub(super) timers: TimerQueue<TimerTask>,
    pub(super) bodies: BodyReferences,
    pub(super) adopted_bodies: Vec<BodyPlace>,
    pub(super) checkpoints: CheckpointCycle,
    pub(super) last_append: u64,
    pub(super) actions: Vec<OwnerAction>,
    pub(super) now: ClockTime,
    pub(super) is_lost: bool,
}

impl ServingState {
    pub(super) fn new(session: SessionId, settings: OwnerSettings, seed: [u8; 32]) -> Self {
        Self {
            rng: ChaCha8Rng::from_seed(seed),
            writer: JournalWriter::open(session, settings.min_flush_interval(1)),
            programs: ProgramTable::default(),
            calls: CallTable::default(),
            shards: ShardTable::new(settings.shard_count),
            takeovers: TakeoverTable::default(),
            effects: EffectQueue::default(),
            timers: TimerQueue::default(),
            bodies: BodyReferences::new(session),
            adopted_bodies: Vec::new(),
            checkpoints: CheckpointCycle::new(settings.checkpoint_rows),
            last_append: 0,
            actions: Vec::new(),
            now: ClockTime::default(),
            is_lost: false,
            settings,
        }
    }

    pub(super) fn handle(&mut self, event: OwnerEvent, now: ClockTime) -> Vec<OwnerAction> {
        self.now = self.now.max(now);
        self.handle_event(event);
        self.run_timers();
        self.release_idle_shards();
        self.flush();
        self.copy_row();
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::CallArrived { request, messages } => self.on_call_arrived(*request, messages),
            OwnerEvent::CallPlaced { call, target } => self.on_call_placed(call, target),
            OwnerEvent::CallNotPlaced { call, problem } => self.on_call_not_placed(call, problem),
            OwnerEvent::CallFinished {
                call,
                head,
                answer,
                usage,
            } => self.on_call_finished(call, head, answer, usage),
            OwnerEvent::CallFailed { call, problem } => self.on_call_failed(call, problem),
            OwnerEvent::CallCancelled { call } => self.on_call_cancelled(call),
            OwnerEvent::Operation { request, operation } => self.on_operation(request, operation),
            OwnerEvent::AppendDone { sequence, outcome } => self.on_append_done(sequence, outcome),
            OwnerEvent::RowCopied { sequence } => self.on_row_copied(sequence),
            OwnerEvent::CopyLost { sequence } => self.writer.copy_lost(sequence),
            OwnerEvent::CheckpointDone { sequence, is_stored } => {
                self.on_checkpoint_done(sequence, is_stored);
            }
            OwnerEvent::StorageDone { ticket, reply } => self.on_storage_done(ticket, reply),
            OwnerEvent::SessionsChanged { sessions } => self.on_sessions_changed(sessions),
            OwnerEvent::Tick => {}
        }
    }

    fn run_timers(&mut self) {
        while let Some(task) = self.timers.pop_due(self.now) {
            match task {
                TimerTask::CallDeadline(call) => self.on_call_deadline(call),
                TimerTask::CancelGrace(call) => self.on_cancel_grace(call),
                TimerTask::ProgramExpiry(program) => self.on_program_expiry(program),
                TimerTask::ProgramEviction(program) => self.on_program_eviction(program),
                TimerTask::KeyExpiry(program) => self.on_key_expiry(program),
                TimerTask::ShardRetry(shard) => self.on_shard_retry(shard),
                TimerTask::ReleaseTimeout(shard) => self.on_release_timeout(shard),
                TimerTask::RequestRetry(owner) => self.issue_request(owner),
            }
        }
    }

    pub(super) fn next_wakeup(&self) -> Option<ClockTime> {
        let flush = self.writer.next_flush();
        let due = self.timers.next_due();
        [flush, due].into_iter().flatten().min()
    }

    /// Returns the wall-clock time of the host.
    pub(super) fn wall_now(&self) -> WallTime {
        self.settings.wall_start + self.now.since(ClockTime::default())
    }

    /// Maps a wall-clock time to the process's monotonic clock; a time before the clock's start maps to the start.
    pub(super) fn to_clock_time(&self, time: WallTime) -> ClockTime {
        ClockTime::default() + time.since(self.settings.wall_start)
    }

    pub(super) fn emit(&mut self, action: OwnerAction) {
        self.actions.push(action);
    }

    pub(super) fn refuse(&mut self, call: CallId, problem: ProblemReport) {
        self.emit(OwnerAction::Refuse { call, problem });
    }
}
