//! Takeovers of shards: ownership checks, storage requests, recovery and adoption.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{SessionId, ShardKey};
use rand::RngCore;

use super::effect::DurableEffect;
use super::shard_table::ShardPhase;
use super::state::{ServingState, TimerTask};
use crate::action::OwnerAction;
use crate::journal::checkpoint::ShardImage;
use crate::journal::record::{AdoptedRecord, BodyPlace, BodySpan, JournalRecord};
use crate::program::image::ProgramState;
use crate::retry::retry_backoff;
use crate::session::{LiveSession, preferred_session};
use crate::shard::ShardRow;
use crate::storage::{RequestTicket, StorageReply, StorageRequest};
use crate::takeover::{
    AdoptedState, JournalRecovery, RecoveredJournal, RecoveryStep, ShardTakeover, TakeoverStep,
};

/// The recipient of a storage reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestOwner {
    /// The takeover of a shard.
    Shard(ShardKey),
    /// The recovery of a session's journal.
    Journal(SessionId),
    /// The removal of origins from a shard's row.
    Clearing(ShardKey),
}

/// Recoveries and requests in progress: at most one recovery per former owner, and one request per recovery and per
/// shard.
#[derive(Debug, Default)]
pub(super) struct TakeoverTable {
    recoveries: BTreeMap<SessionId, JournalRecovery>,
    tickets: BTreeMap<RequestTicket, RequestOwner>,
    failures: BTreeMap<RequestOwner, u32>,
    next_ticket: u64,
}

impl ServingState {
    pub(super) fn on_sessions_changed(&mut self, sessions: Vec<LiveSession>) {
        self.writer
            .set_min_interval(self.settings.min_flush_interval(sessions.len()));
        self.shards.sessions = sessions;
        for number in 0..self.settings.shard_count {
            self.evaluate_shard(ShardKey(number));
        }
    }

    pub(super) fn on_shard_retry(&mut self, shard: ShardKey) {
        if let Some(slot) = self.shards.slot_mut(shard) {
            slot.retry = None;
        }
        self.evaluate_shard(shard);
    }

    /// Starts a takeover or a release if the live sessions prefer an owner other than the present one.
    pub(super) fn evaluate_shard(&mut self, shard: ShardKey) {
        let session = self.writer.session();
        let preferred = preferred_session(shard, &self.shards.sessions);
        let Some(slot) = self.shards.slot(shard) else {
            return;
        };
        match slot.phase {
            ShardPhase::NotOwned if preferred == Some(session) => {
                if self.shards.is_claimed_by_other(shard, session) {
                    self.retry_shard(shard);
                } else {
                    self.start_takeover(shard);
                }
            }
            ShardPhase::Serving { .. } | ShardPhase::Releasing { .. } => {
                self.evaluate_release(shard, preferred);
            }
            _ => {}
        }
    }

    /// Schedules another check of the shard, with a backoff that grows with the number of failures.
    pub(super) fn retry_shard(&mut self, shard: ShardKey) {
        let Some(slot) = self.shards.slot_mut(shard) else {
            return;
        };
        slot.failures += 1;
        let due = self.now + retry_backoff(slot.failures, &mut self.rng);
        self.schedule_shard(shard, due);
    }

    pub(super) fn schedule_shard(&mut self, shard: ShardKey, due: ebony_types::ClockTime) {
        let timer = self.timers.schedule(due, TimerTask::ShardRetry(shard));
        if let Some(slot) = self.shards.slot_mut(shard)
            && let Some(old) = slot.retry.replace(timer)
        {
            self.timers.cancel(old);
        }
    }

    fn next_nonce(&mut self) -> u128 {
        (u128::from(self.rng.next_u64()) << 64) | u128::from(self.rng.next_u64())
    }

    fn start_takeover(&mut self, shard: ShardKey) {
        let nonce = self.next_nonce();
        let takeover = ShardTakeover::start(shard, self.writer.session(), nonce);
        if let Some(slot) = self.shards.slot_mut(shard) {
            slot.phase = ShardPhase::TakingOver(Box::new(takeover));
        }
        self.issue_request(RequestOwner::Shard(shard));
    }

    fn takeover_mut(&mut self, shard: ShardKey) -> Option<&mut ShardTakeover> {
        match &mut self.shards.slot_mut(shard)?.phase {
            ShardPhase::TakingOver(takeover) => Some(takeover),
            _ => None,
        }
    }

    /// Issues the request that a recipient waits for, for the first time or again.
    pub(super) fn issue_request(&mut self, owner: RequestOwner) {
        let request = match owner {
            RequestOwner::Shard(shard) => self.takeover_mut(shard).and_then(|takeover| takeover.request()),
            RequestOwner::Journal(session) => self
                .takeovers
                .recoveries
                .get(&session)
                .map(JournalRecovery::request),
            RequestOwner::Clearing(shard) => self.shards.slot(shard).and_then(|slot| slot.clearing.clone()),
        };
        let Some(request) = request else {
            return;
        };
        let ticket = RequestTicket(self.takeovers.next_ticket);
        self.takeovers.next_ticket += 1;
        self.takeovers.tickets.insert(ticket, owner);
        self.emit(OwnerAction::Storage { ticket, request });
    }

    fn retry_request(&mut self, owner: RequestOwner) {
        let failures = self.takeovers.failures.entry(owner).or_default();
        *failures += 1;
        let due = self.now + retry_backoff(*failures, &mut self.rng);
        self.timers.schedule(due, TimerTask::RequestRetry(owner));
    }

    pub(super) fn on_storage_done(&mut self, ticket: RequestTicket, reply: StorageReply) {
        let Some(owner) = self.takeovers.tickets.remove(&ticket) else {
            return;
        };
        if reply == StorageReply::Unavailable {
            self.retry_request(owner);
            return;
        }
        self.takeovers.failures.remove(&owner);
        match owner {
            RequestOwner::Shard(shard) => {
                if let Some(step) = self.takeover_mut(shard).map(|takeover| takeover.on_reply(reply)) {
                    self.run_takeover_step(shard, step);
                }
            }
            RequestOwner::Journal(session) => {
                let recovery = self.takeovers.recoveries.get_mut(&session);
                if let Some(step) = recovery.map(|recovery| recovery.on_reply(reply)) {
                    self.run_recovery_step(session, step);
                }
            }
            RequestOwner::Clearing(shard) => {
                // On a conflict, a successor has replaced the row, and this owner must not clear it any more.
                if let Some(slot) = self.shards.slot_mut(shard) {
                    slot.clearing = None;
                }
            }
        }
    }

    fn run_takeover_step(&mut self, shard: ShardKey, step: TakeoverStep) {
        match step {
            TakeoverStep::Request => self.issue_request(RequestOwner::Shard(shard)),
            TakeoverStep::Retry => self.retry_request(RequestOwner::Shard(shard)),
            TakeoverStep::Recover => self.await_journal(shard),
            TakeoverStep::Adopt(state) => self.adopt(shard, *state),
            TakeoverStep::GiveUp(_) => self.end_takeover(shard),
            TakeoverStep::Failed(detail) => {
                self.emit(OwnerAction::TakeoverFailed { shard, detail });
                self.end_takeover(shard);
            }
        }
    }

    fn end_takeover(&mut self, shard: ShardKey) {
        if let Some(slot) = self.shards.slot_mut(shard) {
            slot.phase = ShardPhase::NotOwned;
        }
        self.retry_shard(shard);
    }

    /// Joins the recovery of the journal that a takeover waits for, or starts it for all takeovers in progress.
    fn await_journal(&mut self, shard: ShardKey) {
        let Some(session) = self.takeover_mut(shard).and_then(|takeover| takeover.journal()) else {
            return;
        };
        if self.takeovers.recoveries.contains_key(&session) {
            return;
        }
        let successor = self.writer.session();
        let may_seal = session != successor && !self.shards.is_live(session);
        let recovery = JournalRecovery::start(
            session,
            successor,
            may_seal,
            self.shards_in_takeover(),
            self.wall_now(),
            self.next_nonce(),
        );
        self.takeovers.recoveries.insert(session, recovery);
        self.issue_request(RequestOwner::Journal(session));
    }

    fn shards_in_takeover(&self) -> BTreeSet<ShardKey> {
        let slots = self.shards.slots();
        let taking = slots.filter(|(_, slot)| matches!(slot.phase, ShardPhase::TakingOver(_)));
        taking.map(|(shard, _)| shard).collect()
    }

    fn shards_awaiting(&self, session: SessionId) -> Vec<ShardKey> {
        let awaits = |phase: &ShardPhase| match phase {
            ShardPhase::TakingOver(takeover) => takeover.journal() == Some(session),
            _ => false,
        };
        let slots = self.shards.slots().filter(|(_, slot)| awaits(&slot.phase));
        slots.map(|(shard, _)| shard).collect()
    }

    fn run_recovery_step(&mut self, session: SessionId, step: RecoveryStep) {
        match step {
            RecoveryStep::Request => self.issue_request(RequestOwner::Journal(session)),
            RecoveryStep::Retry => self.retry_request(RequestOwner::Journal(session)),
            RecoveryStep::Done(journal) => self.distribute_journal(journal),
            RecoveryStep::Failed(detail) => {
                self.takeovers.recoveries.remove(&session);
                for shard in self.shards_awaiting(session) {
                    self.run_takeover_step(shard, TakeoverStep::Failed(detail.clone()));
                }
            }
        }
    }

    fn distribute_journal(&mut self, mut journal: RecoveredJournal) {
        let Some(recovery) = self.takeovers.recoveries.remove(&journal.session) else {
            return;
        };
        for shard in self.shards_awaiting(journal.session) {
            if recovery.wanted().contains(&shard) {
                let step = self
                    .takeover_mut(shard)
                    .map(|takeover| takeover.on_journal(&mut journal));
                if let Some(step) = step {
                    self.run_takeover_step(shard, step);
                }
            } else {
                self.await_journal(shard);
            }
        }
    }

    /// Commits the adoption of a shard's state. The shard is served when the record is durable.
    fn adopt(&mut self, shard: ShardKey, mut state: AdoptedState) {
        self.convert_adopted(&mut state);
        let epoch = state.image.epoch;
        let body = match state.image.is_empty() {
            true => None,
            false => match state.image.encode() {
                Ok(body) => Some(body),
                Err(error) => {
                    return self.run_takeover_step(shard, TakeoverStep::Failed(error.to_string()));
                }
            },
        };
        let has_body = body.is_some();
        let record = JournalRecord::Adopted(AdoptedRecord {
            shard,
            epoch,
            state: BodySpan::default(),
        });
        let sequence = self.commit(vec![record], body);
        if has_body {
            self.adopted_bodies.push(BodyPlace {
                session: self.writer.session(),
                sequence,
                span: BodySpan::default(),
            });
        }
        if let Some(slot) = self.shards.slot_mut(shard) {
            slot.failures = 0;
            slot.released = None;
            slot.phase = ShardPhase::Adopting {
                epoch,
                version: state.version,
                has_origins: state.has_origins,
            };
        }
        self.load_shard(state.image);
        self.run_when_durable(sequence, DurableEffect::ServeShard(shard));
    }

    /// Converts the recorded state of a former owner: moves its times onto this owner's clock, and cancels programs
    /// whose parent has ended. If the former owner was lost, reserved amounts count as spent, and open calls with a
    /// key may have run.
    fn convert_adopted(&self, state: &mut AdoptedState) {
        let now = self.wall_now();
        let last_written = state.last_written.unwrap_or(now);
        for program in &mut state.image.programs {
            if state.is_released {
                program.rebase(last_written, now);
            } else {
                program.recover(last_written, now);
            }
        }
        for key in &mut state.image.retired {
            key.ended = key.ended.rebase(last_written, now);
        }
        end_orphans(&mut state.image, now);
    }

    fn load_shard(&mut self, image: ShardImage) {
        let shard = image.shard;
        let retired = image.retired.clone();
        let wall_start = self.settings.wall_start;
        self.programs.load(image, |opened| {
            ebony_types::ClockTime::default() + opened.since(wall_start)
        });
        for key in self.programs.shard_keys(shard) {
            self.schedule_program(key);
        }
        for key in retired {
            self.schedule_key(Some(key));
        }
    }

    pub(super) fn serve_shard(&mut self, shard: ShardKey) {
        let owner = self.writer.session();
        let nonce = self.next_nonce();
        let Some(slot) = self.shards.slot_mut(shard) else {
            return;
        };
        let ShardPhase::Adopting {
            epoch,
            version,
            has_origins,
        } = slot.phase
        else {
            return;
        };
        slot.phase = ShardPhase::Serving { epoch };
        self.emit(OwnerAction::ShardServing { shard, token: epoch });
        if has_origins {
            self.clear_origins(shard, version, nonce, ShardRow::owned(owner, epoch));
        }
        self.evaluate_shard(shard);
        // The former owner may have refused calls because a budget is exhausted without having recorded the program's
        // end.
        for key in self.programs.shard_keys(shard) {
            self.end_if_exhausted(key);
        }
    }

    fn clear_origins(&mut self, shard: ShardKey, version: u64, nonce: u128, row: ShardRow) {
        let Ok(row) = row.encode() else {
            return;
        };
        if let Some(slot) = self.shards.slot_mut(shard) {
            slot.clearing = Some(StorageRequest::ReplaceShardRow {
                shard,
                version: Some(version),
                row: row.into(),
                nonce,
            });
        }
        self.issue_request(RequestOwner::Clearing(shard));
    }
}

/// Cancels open programs whose parent has ended. Their owner may have been lost between the two records.
fn end_orphans(image: &mut ShardImage, now: crate::wall_time::WallTime) {
    let mut ended: BTreeSet<_> = image
        .programs
        .iter()
        .filter(|program| program.state != ProgramState::Open)
        .map(|program| program.program)
        .collect();
    loop {
        let is_orphan = |parent: Option<_>| parent.is_some_and(|parent| ended.contains(&parent));
        let orphan = image
            .programs
            .iter_mut()
            .find(|program| program.state == ProgramState::Open && is_orphan(program.parent));
        let Some(orphan) = orphan else {
            return;
        };
        orphan.state = ProgramState::Cancelled;
        orphan.ended = Some(now);
        ended.insert(orphan.program);
    }
}
