//! Handling of append outcomes, deferred effects, checkpoints and truncation.

use ebony_types::BudgetUse;

use super::arrival::platform_unavailable;
use super::checkpoint_cycle::TruncateRange;
use super::effect::DurableEffect;
use super::state::ServingState;
use crate::action::OwnerAction;
use crate::call::{CallKey, CallPhase};
use crate::journal::checkpoint::CheckpointImage;
use crate::journal::writer::{AppendOutcome, AppendProgress, OUTAGE_FAILURES};
use crate::program::table::ProgramKey;

impl ServingState {
    pub(super) fn on_append_done(&mut self, sequence: u64, outcome: AppendOutcome) {
        match self
            .writer
            .append_done(sequence, outcome, self.now, &mut self.rng)
        {
            AppendProgress::Durable(sequence) => {
                self.bodies.row_durable(sequence);
                self.run_effects();
                self.advance_checkpoint(sequence);
            }
            AppendProgress::Retrying(OUTAGE_FAILURES) => self.refuse_waiting_for_journal(),
            AppendProgress::Retrying(_) | AppendProgress::Stale => {}
            AppendProgress::Sealed => self.is_lost = true,
        }
    }

    fn run_effects(&mut self) {
        while let Some(effect) = self.effects.pop(self.writer.durable()) {
            self.run_effect(effect);
        }
    }

    pub(super) fn run_effect(&mut self, effect: DurableEffect) {
        match effect {
            DurableEffect::FinishCall(call) => self.finish_call(call),
            DurableEffect::DispatchCall(call) => self.dispatch(call),
            DurableEffect::RaiseCeiling {
                program,
                ceiling,
                ceiling_decreases,
            } => self.raise_ceiling(program, ceiling, ceiling_decreases),
            DurableEffect::Reply { request, view, plan } => self.reply(request, view, plan),
            DurableEffect::ReleaseProgram { program, token } => {
                self.emit(OwnerAction::ReleaseProgram { program, token });
            }
            DurableEffect::ServeShard(shard) => self.serve_shard(shard),
            DurableEffect::AnnounceRelease(shard) => self.emit(OwnerAction::ShardReleased { shard }),
        }
    }

    fn finish_call(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key).map(|call| call.call) else {
            return;
        };
        self.emit(OwnerAction::Finish { call });
        self.remove_call(key);
    }

    /// Records that a ceiling is durable, and dispatches the call that waits for it.
    fn raise_ceiling(&mut self, program: ProgramKey, ceiling: BudgetUse, ceiling_decreases: u32) {
        let Some(entry) = self.programs.get_mut(program) else {
            return;
        };
        entry.confirm_ceiling(ceiling, ceiling_decreases);
        let is_covered = entry.is_covered();
        let waiting = entry.queue.running().filter(|_| is_covered);
        let has_key = |call| self.calls.get(call).is_some_and(|call| call.intent.is_some());
        if let Some(call) = waiting.filter(|&call| !has_key(call)) {
            self.dispatch(call);
        }
    }

    /// Refuses all undispatched calls and all operations that wait for a record, once the platform counts as down.
    /// Ended turns stay in the buffer.
    fn refuse_waiting_for_journal(&mut self) {
        for request in self.effects.take_replies() {
            let result = Err(platform_unavailable());
            self.emit(OwnerAction::Reply { request, result });
        }
        for key in self.calls.keys() {
            let is_reserving = self
                .calls
                .get(key)
                .is_some_and(|call| call.phase == CallPhase::Reserving);
            if is_reserving {
                self.refuse_undispatched(key, platform_unavailable());
            }
        }
    }

    /// Starts the next append if one is due, and takes a checkpoint if no record is left behind its row.
    pub(super) fn flush(&mut self) {
        let written = self.wall_now();
        match self.writer.flush(self.now, written, &mut self.rng) {
            Err(_) => self.is_lost = true,
            Ok(None) => {}
            Ok(Some(append)) => {
                let sequence = append.sequence;
                self.emit(OwnerAction::Append(append));
                if sequence > self.last_append {
                    self.last_append = sequence;
                    self.take_checkpoint(sequence);
                }
            }
        }
    }

    /// Orders a copy of the next row while the platform counts as down.
    pub(super) fn copy_row(&mut self) {
        let written = self.wall_now();
        match self.writer.next_copy(written, &mut self.rng) {
            Err(_) => self.is_lost = true,
            Ok(None) => {}
            Ok(Some(row)) => self.emit(OwnerAction::CopyRow(row)),
        }
    }

    /// Ends the session and returns its undurable rows, for the successor that is about to seal the journal.
    pub(super) fn take_undurable_rows(&mut self) -> Vec<crate::journal::AppendRow> {
        self.is_lost = true;
        let written = self.wall_now();
        // A row that cannot be encoded was never acknowledged to a caller.
        self.writer
            .take_undurable_rows(written, &mut self.rng)
            .unwrap_or_default()
    }

    /// Finishes calls whose turns are held by two processes. If this owner dies before the platform is back, the
    /// process with the copy appends it, so that the turn is not lost.
    pub(super) fn on_row_copied(&mut self, sequence: u64) {
        self.writer.copy_done(sequence);
        for call in self.effects.take_finishes(self.writer.copied()) {
            self.finish_call(call);
        }
    }

    fn take_checkpoint(&mut self, sequence: u64) {
        let is_due = self.checkpoints.count_row();
        if !is_due || !self.writer.is_queue_empty() {
            return;
        }
        if let Ok(bytes) = self.checkpoint_image(sequence).encode() {
            self.checkpoints.take(sequence, bytes);
        }
    }

    fn checkpoint_image(&self, sequence: u64) -> CheckpointImage {
        let owned = self.shards.owned();
        CheckpointImage {
            session: self.writer.session(),
            sequence,
            written: self.wall_now(),
            shards: owned
                .into_iter()
                .map(|(shard, epoch)| self.programs.shard_image(shard, epoch))
                .collect(),
            released: self.shards.released(),
        }
    }

    fn advance_checkpoint(&mut self, sequence: u64) {
        let progress = self.checkpoints.row_durable(sequence);
        if let Some((sequence, bytes)) = progress.store {
            self.emit(OwnerAction::Checkpoint { sequence, bytes });
        }
        if let Some(range) = progress.truncate {
            self.truncate(range);
        }
    }

    fn truncate(&mut self, range: TruncateRange) {
        self.emit(OwnerAction::Truncate {
            first: range.first,
            last: range.last,
            checkpoint: range.checkpoint,
        });
        let is_replaced = |place: &crate::journal::BodyPlace| place.sequence <= range.last;
        let replaced: Vec<_> = self
            .adopted_bodies
            .extract_if(.., |place| is_replaced(place))
            .collect();
        for place in replaced {
            if let Some(sequence) = self.bodies.release(place) {
                self.emit(OwnerAction::DeleteBodies { sequence });
            }
        }
    }

    pub(super) fn on_checkpoint_done(&mut self, sequence: u64, is_stored: bool) {
        if self
            .checkpoints
            .store_done(sequence, is_stored, self.last_append + 1)
        {
            self.writer.set_checkpoint(sequence);
        }
    }
}
