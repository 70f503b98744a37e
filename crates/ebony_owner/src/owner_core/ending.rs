//! Endings that the target does not cause: refusals, cancellation, deadlines, the end of programs, and eviction.

use std::time::Duration;

use ebony_types::{BudgetUse, CallId, ProblemCode, ProblemReport, ProgramId, RunVerdict};

use super::effect::DurableEffect;
use super::state::{ServingState, TimerTask};
use crate::action::OwnerAction;
use crate::call::{CallKey, CallPhase};
use crate::intent::RetiredKey;
use crate::journal::record::{EndedRecord, JournalRecord, KeyOutcome};
use crate::program::image::{ProgramImage, ProgramState};
use crate::program::table::{ProgramEntry, ProgramKey};
use crate::settings::{CANCEL_GRACE, RETRY_AFTER_SECONDS};

impl ServingState {
    /// Refuses a call that was not dispatched, and starts the program's next call.
    pub(super) fn refuse_undispatched(&mut self, key: CallKey, problem: ProblemReport) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (id, program, phase) = (call.call, call.program, call.phase);
        self.refuse(id, problem);
        if phase == CallPhase::Reserving {
            self.settle_without_turn(key, BudgetUse::default(), KeyOutcome::NotRun);
        } else {
            self.dequeue_call(key, program);
            self.remove_call(key);
        }
    }

    /// Answers the caller of a dispatched call before the target reports the end of the run, or before the record of
    /// the turn is durable.
    fn answer_early(&mut self, key: CallKey, problem: ProblemReport) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if !std::mem::replace(&mut call.is_answered, true) {
            let id = call.call;
            self.refuse(id, problem);
        }
    }

    /// Orders the target to end a call. If no end is reported within [`CANCEL_GRACE`], the call is settled without
    /// it.
    fn cancel_run(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key).map(|call| call.call) else {
            return;
        };
        self.emit(OwnerAction::CancelCall { call });
        self.set_call_timer(key, self.now + CANCEL_GRACE, TimerTask::CancelGrace(key));
    }

    pub(super) fn on_call_cancelled(&mut self, call: CallId) {
        let Some(key) = self.calls.find(call) else {
            return;
        };
        let Some((phase, has_key)) = self
            .calls
            .get(key)
            .map(|call| (call.phase, call.intent.is_some()))
        else {
            return;
        };
        match phase {
            CallPhase::Waiting | CallPhase::Reserving => {
                self.refuse_undispatched(key, cancelled(RunVerdict::NotRun))
            }
            CallPhase::Dispatched => {
                self.answer_early(key, cancelled(RunVerdict::MayHaveRun));
                // A call with a key runs on until its deadline, so that a repeat gets its answer.
                if !has_key {
                    self.cancel_run(key);
                }
            }
            CallPhase::Recording => {}
        }
    }

    pub(super) fn on_call_deadline(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.timer = None;
        match call.phase {
            CallPhase::Waiting | CallPhase::Reserving => {
                self.refuse_undispatched(key, deadline_exceeded(RunVerdict::NotRun));
            }
            CallPhase::Dispatched => {
                self.answer_early(key, deadline_exceeded(RunVerdict::MayHaveRun));
                self.cancel_run(key);
            }
            CallPhase::Recording => {
                self.answer_early(key, unrecorded());
                self.remove_call(key);
            }
        }
    }

    pub(super) fn on_cancel_grace(&mut self, key: CallKey) {
        let Some(need) = self.calls.get(key).map(|call| call.need) else {
            return;
        };
        self.settle_without_turn(key, need, KeyOutcome::MayHaveRun);
    }

    /// Ends a program that has no open call and whose budget or turn limit is exhausted.
    pub(super) fn end_if_exhausted(&mut self, key: ProgramKey) {
        let Some(entry) = self.programs.get(key) else {
            return;
        };
        let has_turns = entry.image.history.turn_count() < self.settings.max_turns;
        let is_idle = entry.is_open() && !entry.image.is_one_call && entry.open_calls == 0;
        if is_idle && (!has_turns || self.programs.is_exhausted(key)) {
            self.end_tree(key, ProgramState::Exhausted);
        }
    }

    /// Ends a program, its descendants and their calls. Descendants end as cancelled.
    pub(super) fn end_tree(&mut self, key: ProgramKey, state: ProgramState) {
        for member in self.programs.descendants(key) {
            let state = if member == key {
                state
            } else {
                ProgramState::Cancelled
            };
            if self.programs.get(member).is_some_and(ProgramEntry::is_open) {
                self.end_program(member, state);
            }
        }
    }

    fn end_program(&mut self, key: ProgramKey, state: ProgramState) {
        self.refuse_queued(key, &end_problem(state, RunVerdict::NotRun));
        // The remaining call of the queue was dispatched.
        let running = self.programs.get(key).and_then(|entry| entry.queue.running());
        if let Some(call) = running {
            self.answer_early(call, end_problem(state, RunVerdict::MayHaveRun));
            self.cancel_run(call);
        }
        self.record_end(key, state);
    }

    fn record_end(&mut self, key: ProgramKey, state: ProgramState) {
        let Some(entry) = self.programs.get(key).filter(|entry| entry.is_journaled) else {
            return;
        };
        let record = self.ended_record(entry, state, entry.image.spent, entry.spent_and_reserved());
        let sequence = self.commit(vec![record], None);
        self.retire_program(key, sequence);
    }

    pub(super) fn ended_record(
        &self,
        entry: &ProgramEntry,
        state: ProgramState,
        spent: BudgetUse,
        ceiling: BudgetUse,
    ) -> JournalRecord {
        JournalRecord::Ended(EndedRecord {
            program: entry.image.program,
            state,
            ended: self.wall_now(),
            spent,
            ceiling,
        })
    }

    /// Retires a one-call program if it has ended. Its last records are in row `sequence`.
    pub(super) fn retire_ended_one_call(&mut self, key: ProgramKey, sequence: u64) {
        let is_ended = |entry: &ProgramEntry| entry.image.is_one_call && !entry.is_open();
        if self.programs.get(key).is_some_and(is_ended) {
            self.retire_program(key, sequence);
        }
    }

    /// Releases the engine memory of an ended program once row `sequence` is durable, and schedules its eviction.
    fn retire_program(&mut self, key: ProgramKey, sequence: u64) {
        let Some(entry) = self.programs.get(key) else {
            return;
        };
        let effect = DurableEffect::ReleaseProgram {
            program: entry.image.program,
            token: self.token_of(entry),
        };
        self.run_when_durable(sequence, effect);
        self.schedule_program(key);
    }

    /// Schedules the end of an open program's time budget, or the eviction of an ended one.
    pub(super) fn schedule_program(&mut self, key: ProgramKey) {
        let Some(entry) = self.programs.get(key) else {
            return;
        };
        let timer = match entry.image.eviction_time() {
            Some(due) => (self.to_clock_time(due), TimerTask::ProgramEviction(key)),
            // A one-call program ends with its call, which has a deadline.
            None if entry.image.is_one_call => return,
            None => {
                let seconds = u64::from(entry.image.budget.seconds);
                let due = entry.image.opened + Duration::from_secs(seconds);
                (self.to_clock_time(due), TimerTask::ProgramExpiry(key))
            }
        };
        let timer = self.timers.schedule(timer.0, timer.1);
        if let Some(entry) = self.programs.get_mut(key)
            && let Some(old) = entry.timer.replace(timer)
        {
            self.timers.cancel(old);
        }
    }

    pub(super) fn on_program_expiry(&mut self, key: ProgramKey) {
        if self.programs.get(key).is_some_and(ProgramEntry::is_open) {
            self.end_tree(key, ProgramState::Exhausted);
        }
    }

    pub(super) fn on_program_eviction(&mut self, key: ProgramKey) {
        let Some(entry) = self.programs.get_mut(key) else {
            return;
        };
        entry.timer = None;
        let Some(due) = entry.image.eviction_time() else {
            return;
        };
        let is_idle = entry.is_idle(self.writer.durable());
        if !is_idle || self.wall_now() < due {
            let again = self.to_clock_time(due).max(self.now + CANCEL_GRACE);
            let timer = self.timers.schedule(again, TimerTask::ProgramEviction(key));
            if let Some(entry) = self.programs.get_mut(key) {
                entry.timer = Some(timer);
            }
            return;
        }
        self.evict_program(key);
    }

    /// Removes an ended program from memory and deletes its unreferenced bodies from the object store.
    pub(super) fn evict_program(&mut self, key: ProgramKey) {
        let timer = self.programs.get_mut(key).and_then(|entry| entry.timer.take());
        if let Some(timer) = timer {
            self.timers.cancel(timer);
        }
        if let Some((image, retired)) = self.programs.evict(key) {
            self.drop_bodies(&image, retired.as_ref());
            self.schedule_key(retired);
        }
    }

    /// Drops the body references of an evicted program, except for the answer that its retired key keeps.
    fn drop_bodies(&mut self, image: &ProgramImage, retired: Option<&RetiredKey>) {
        let kept = retired.and_then(|retired| retired.answer);
        for place in image.history.places().filter(|&place| Some(place) != kept) {
            if let Some(sequence) = self.bodies.release(place) {
                self.emit(OwnerAction::DeleteBodies { sequence });
            }
        }
    }

    pub(super) fn schedule_key(&mut self, retired: Option<RetiredKey>) {
        if let Some(retired) = retired {
            let due = self.now + retired.remaining(self.wall_now());
            self.timers.schedule(due, TimerTask::KeyExpiry(retired.program));
        }
    }

    pub(super) fn on_key_expiry(&mut self, program: ProgramId) {
        let now = self.wall_now();
        let remaining = self
            .programs
            .retired(program)
            .map(|retired| retired.remaining(now));
        if remaining != Some(Duration::ZERO) {
            return;
        }
        let answer = self
            .programs
            .remove_key(program)
            .and_then(|retired| retired.answer);
        if let Some(sequence) = answer.and_then(|place| self.bodies.release(place)) {
            self.emit(OwnerAction::DeleteBodies { sequence });
        }
    }
}

fn cancelled(run: RunVerdict) -> ProblemReport {
    ProblemReport::new(ProblemCode::Cancelled, run, "the caller cancelled the call")
}

fn deadline_exceeded(run: RunVerdict) -> ProblemReport {
    ProblemReport::new(
        ProblemCode::DeadlineExceeded,
        run,
        "the call did not end before its deadline",
    )
}

fn unrecorded() -> ProblemReport {
    ProblemReport::new(
        ProblemCode::PlatformUnavailable,
        RunVerdict::Ran,
        "the call ended, but its record is not durable yet",
    )
    .retry_after(RETRY_AFTER_SECONDS)
}

/// The problem of a call whose program ends.
fn end_problem(state: ProgramState, run: RunVerdict) -> ProblemReport {
    let (code, detail) = match state {
        ProgramState::Exhausted => (ProblemCode::BudgetExhausted, "the program's budget is spent"),
        ProgramState::Cancelled => (ProblemCode::Cancelled, "the program was cancelled"),
        ProgramState::Finished | ProgramState::Open => (ProblemCode::ProgramEnded, "the program has ended"),
    };
    ProblemReport::new(code, run, detail)
}
