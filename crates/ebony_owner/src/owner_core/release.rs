//! Planned releases of shards, and the loss of the session.

use std::time::Duration;

use ebony_types::{FencingToken, ProblemCode, ProblemReport, RunVerdict, SessionId, ShardKey};

use super::arrival::not_owned;
use super::effect::DurableEffect;
use super::shard_table::ShardPhase;
use super::state::{ServingState, TimerTask};
use crate::action::OwnerAction;
use crate::call::CallPhase;
use crate::journal::checkpoint::{ReleasedShard, ShardImage};
use crate::journal::record::{BodyPlace, BodySpan, JournalRecord, ReleasedRecord};
use crate::journal::writer::{JournalWriter, OpenJournal};
use crate::program::table::ProgramKey;
use crate::settings::{REBALANCE_DRAIN_TIMEOUT, REBALANCE_INTERVAL};

/// Delay before the release of a busy shard is considered again.
const BUSY_SHARD_DELAY: Duration = Duration::from_secs(1);

impl ServingState {
    /// Decides whether to release a served shard. A draining process releases all its shards and waits for their
    /// calls. A move that only balances load starts when the shard has no calls, or refuses new calls for up to
    /// [`REBALANCE_DRAIN_TIMEOUT`] so that the present ones can end.
    pub(super) fn evaluate_release(&mut self, shard: ShardKey, preferred: Option<SessionId>) {
        let session = self.writer.session();
        let is_forced = self.shards.is_draining(session);
        let should_move = is_forced || preferred.is_some_and(|preferred| preferred != session);
        let Some(slot) = self.shards.slot(shard) else {
            return;
        };
        match slot.phase {
            // Ownership does not move during an outage: a new owner could not serve the programs, and this one can.
            ShardPhase::Serving { .. } if should_move && self.writer.is_unavailable() => {
                self.schedule_shard(shard, self.now + BUSY_SHARD_DELAY);
            }
            ShardPhase::Serving { epoch } if should_move => {
                let pause = slot.last_drain.map(|start| self.now.since(start));
                let may_drain = pause.is_none_or(|pause| pause >= REBALANCE_INTERVAL);
                if is_forced || slot.calls == 0 || may_drain {
                    self.begin_release(shard, epoch, is_forced);
                } else {
                    self.schedule_shard(shard, self.now + BUSY_SHARD_DELAY);
                }
            }
            ShardPhase::Releasing { epoch, .. } if is_forced => {
                self.set_phase(shard, ShardPhase::Releasing { epoch, is_forced });
            }
            ShardPhase::Releasing { epoch, .. } if !should_move => {
                self.set_phase(shard, ShardPhase::Serving { epoch });
            }
            _ => {}
        }
    }

    fn set_phase(&mut self, shard: ShardKey, phase: ShardPhase) {
        if let Some(slot) = self.shards.slot_mut(shard) {
            slot.phase = phase;
        }
    }

    fn begin_release(&mut self, shard: ShardKey, epoch: FencingToken, is_forced: bool) {
        self.set_phase(shard, ShardPhase::Releasing { epoch, is_forced });
        for program in self.programs.shard_keys(shard) {
            self.refuse_queued(program, &not_owned());
        }
        if let Some(slot) = self.shards.slot_mut(shard) {
            slot.last_drain = Some(self.now);
        }
        if !is_forced {
            let due = self.now + REBALANCE_DRAIN_TIMEOUT;
            self.timers.schedule(due, TimerTask::ReleaseTimeout(shard));
        }
    }

    /// Refuses the calls of a program that were not dispatched.
    pub(super) fn refuse_queued(&mut self, program: ProgramKey, problem: &ProblemReport) {
        let Some(entry) = self.programs.get_mut(program) else {
            return;
        };
        let mut queued = entry.queue.drain_waiting();
        let running = entry.queue.running();
        queued.extend(running.filter(|&call| self.calls.get(call).is_some_and(|call| !call.is_dispatched())));
        for call in queued {
            self.refuse_undispatched(call, problem.clone());
        }
    }

    pub(super) fn on_release_timeout(&mut self, shard: ShardKey) {
        let phase = self.shards.slot(shard).map(|slot| &slot.phase);
        if let Some(&ShardPhase::Releasing {
            epoch,
            is_forced: false,
        }) = phase
        {
            self.set_phase(shard, ShardPhase::Serving { epoch });
            self.schedule_shard(shard, self.now + BUSY_SHARD_DELAY);
        }
    }

    /// Releases the shards that are being released and whose last call has ended.
    pub(super) fn release_idle_shards(&mut self) {
        if self.writer.is_unavailable() {
            return;
        }
        let idle = self.shards.slots().filter_map(|(shard, slot)| match slot.phase {
            ShardPhase::Releasing { epoch, .. } if slot.calls == 0 => Some((shard, epoch)),
            _ => None,
        });
        for (shard, epoch) in idle.collect::<Vec<_>>() {
            self.release(shard, epoch);
        }
    }

    fn release(&mut self, shard: ShardKey, epoch: FencingToken) {
        let mut image = self.programs.shard_image(shard, epoch);
        for program in &mut image.programs {
            // No call is open, so nothing of the reserved block beyond `spent` can have been used.
            program.ceiling = program.spent;
        }
        let body = match image.is_empty() {
            true => None,
            false => match image.encode() {
                Ok(body) => Some(body),
                // A state too large for one object cannot be moved. The shard stays here; its rows and checkpoints
                // are intact.
                Err(_) => return,
            },
        };
        let length = body
            .as_ref()
            .map_or(0, |body| u32::try_from(body.len()).unwrap_or(u32::MAX));
        let record = JournalRecord::Released(ReleasedRecord {
            shard,
            epoch,
            state: BodySpan::default(),
        });
        let place = self.writer.next_place(length as usize);
        let sequence = self.commit(vec![record], body);
        if let Some(slot) = self.shards.slot_mut(shard) {
            slot.phase = ShardPhase::NotOwned;
            slot.released = Some(ReleasedShard {
                shard,
                epoch,
                state: (length > 0).then_some(place),
            });
        }
        self.drop_shard(&image, place);
        self.run_when_durable(sequence, DurableEffect::AnnounceRelease(shard));
    }

    /// Drops the programs of a released shard. The successor references their bodies, so this session never deletes
    /// them.
    fn drop_shard(&mut self, image: &ShardImage, state: BodyPlace) {
        self.bodies.export(state);
        for entry in self.programs.remove_shard(image.shard) {
            if let Some(timer) = entry.timer {
                self.timers.cancel(timer);
            }
            for place in entry.image.history.places() {
                self.bodies.export(place);
            }
        }
        for place in image.retired.iter().filter_map(|key| key.answer) {
            self.bodies.export(place);
        }
    }

    /// Returns the writer if the journal was sealed or failed.
    pub(super) fn take_lost_writer(&mut self) -> Option<JournalWriter<OpenJournal>> {
        let unused = JournalWriter::open(self.writer.session(), Duration::ZERO);
        self.is_lost.then(|| std::mem::replace(&mut self.writer, unused))
    }

    /// Refuses all open calls and pending operations whose records are not durable. The state must not be used
    /// afterwards.
    pub(super) fn end_session(&mut self) -> Vec<OwnerAction> {
        for key in self.calls.keys() {
            let Some(call) = self.calls.get(key) else {
                continue;
            };
            let (id, phase, is_answered) = (call.call, call.phase, call.is_answered);
            let is_cancelled = phase == CallPhase::Dispatched && call.intent.is_none();
            if !is_answered {
                self.refuse(id, session_lost_problem(phase));
            }
            if is_cancelled {
                self.emit(OwnerAction::CancelCall { call: id });
            }
        }
        for request in self.effects.take_replies() {
            let result = Err(not_owned());
            self.emit(OwnerAction::Reply { request, result });
        }
        self.emit(OwnerAction::SessionLost);
        std::mem::take(&mut self.actions)
    }
}

fn session_lost_problem(phase: CallPhase) -> ProblemReport {
    let run = match phase {
        CallPhase::Waiting | CallPhase::Reserving => RunVerdict::NotRun,
        CallPhase::Dispatched => RunVerdict::MayHaveRun,
        CallPhase::Recording => RunVerdict::Ran,
    };
    let detail = "this entry lost its session; another entry takes the program over";
    ProblemReport::new(ProblemCode::OwnerUnavailable, run, detail).retry_after(1)
}
