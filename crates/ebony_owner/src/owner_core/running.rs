//! Dispatched calls: placement, answers and failures.

use bytes::Bytes;
use ebony_types::{
    BudgetUse, CallId, CallUsage, ClockTime, ProblemCode, ProblemReport, RunVerdict, TargetName,
};
use ebony_wire::AnswerHead;

use super::effect::DurableEffect;
use super::starting::intended;
use super::state::{ServingState, TimerTask};
use crate::action::OwnerAction;
use crate::budget::componentwise_max;
use crate::call::{CallContent, CallEntry, CallIntent, CallKey, CallPhase};
use crate::intent::IntentState;
use crate::journal::record::{AnsweredRecord, JournalRecord, KeyOutcome, ReservedRecord, TurnRecord};
use crate::program::history::{HistoryDelta, MessageList, extend_chain};
use crate::program::image::{ProgramImage, ProgramState};
use crate::program::table::{ProgramEntry, ProgramKey};
use crate::program::turn_body::TurnBody;

impl ServingState {
    pub(super) fn on_call_placed(&mut self, call: CallId, target: TargetName) {
        let Some(call) = self.find_dispatched(call).and_then(|key| self.calls.get(key)) else {
            return;
        };
        let (Some(intent), Some(entry)) = (&call.intent, self.programs.get(call.program)) else {
            return;
        };
        let is_open = matches!(
            entry.image.intents.state(&intent.key),
            Some(IntentState::Intended { .. })
        );
        if is_open {
            let record = intended(&entry.image, intent, call.call, Some(target));
            self.commit(vec![record], None);
        }
    }

    pub(super) fn on_call_not_placed(&mut self, call: CallId, mut problem: ProblemReport) {
        problem.run = RunVerdict::NotRun;
        self.on_call_failed(call, problem);
    }

    pub(super) fn on_call_failed(&mut self, call: CallId, problem: ProblemReport) {
        if let Some(key) = self.find_dispatched(call) {
            self.fail_call(key, problem);
        }
    }

    pub(super) fn find_dispatched(&self, call: CallId) -> Option<CallKey> {
        let key = self.calls.find(call)?;
        self.calls
            .get(key)
            .filter(|call| call.is_dispatched())
            .map(|_| key)
    }

    pub(super) fn on_call_finished(
        &mut self,
        call: CallId,
        head: AnswerHead,
        answer: Bytes,
        usage: CallUsage,
    ) {
        let Some(key) = self.find_dispatched(call) else {
            return;
        };
        let Some(call) = self.calls.get(key).cloned() else {
            return;
        };
        if call.is_answered && call.intent.is_none() {
            // The caller was told that the call may have run and may repeat the request, so this answer does not
            // become part of the history.
            self.settle_without_turn(key, used_by(usage), KeyOutcome::MayHaveRun);
            return;
        }
        if self.needs_record(&call) {
            self.record_turn(key, &call, head, answer, usage);
        } else {
            self.finish_unrecorded(key, &call);
        }
    }

    /// A one-call program without a key leaves no record: its history cannot be requested and its call cannot be
    /// repeated.
    fn needs_record(&self, call: &CallEntry) -> bool {
        let entry = self.programs.get(call.program);
        let is_unrecorded = |entry: &ProgramEntry| entry.image.is_one_call && !entry.is_journaled;
        call.intent.is_some() || !entry.is_some_and(is_unrecorded)
    }

    fn finish_unrecorded(&mut self, key: CallKey, call: &CallEntry) {
        if !call.is_answered {
            self.emit(OwnerAction::Finish { call: call.call });
        }
        self.settle_without_turn(key, BudgetUse::default(), KeyOutcome::NotRun);
    }

    fn record_turn(
        &mut self,
        key: CallKey,
        call: &CallEntry,
        head: AnswerHead,
        answer: Bytes,
        usage: CallUsage,
    ) {
        let Some(entry) = self.programs.get(call.program) else {
            return;
        };
        let delta = delta_of(&entry.image, &call.content);
        let body = turn_body(&entry.image, call, delta, head, answer);
        let Ok(body) = body.encode() else {
            let detail = "the answer is too large to be recorded";
            self.fail_call(
                key,
                ProblemReport::new(ProblemCode::Internal, RunVerdict::Ran, detail),
            );
            return;
        };
        self.programs.release_reservation(call.program, call.need);
        let records = self.turn_records(call, delta, &body, usage);
        let sequence = self.commit(records, Some(body));
        self.after_turn_commit(key, call, sequence);
    }

    fn turn_records(
        &self,
        call: &CallEntry,
        delta: HistoryDelta,
        body: &Bytes,
        usage: CallUsage,
    ) -> Vec<JournalRecord> {
        let Some(entry) = self.programs.get(call.program) else {
            return Vec::new();
        };
        let image = &entry.image;
        let turn = image.history.turn_count() + 1;
        let spent = image.spent.plus(used_by(usage));
        let next_need = BudgetUse {
            tokens: call.need.tokens + u64::from(usage.output_tokens),
            calls: 1,
        };
        let ceiling = if entry.is_open() && !image.is_one_call {
            self.programs.ceiling_for_next(call.program, spent, next_need)
        } else {
            spent.plus(entry.account.reserved)
        };
        let mut records = Vec::new();
        if !entry.is_journaled {
            records.push(image.opened_record(call.need));
        }
        records.push(JournalRecord::Turn(Box::new(TurnRecord {
            program: image.program,
            turn,
            call: call.call,
            kept: delta.kept,
            mark: delta.mark,
            chain: extend_chain(image.history.chain, body),
            body: Default::default(),
            usage,
            spent,
            ceiling,
        })));
        if let Some(intent) = &call.intent {
            records.push(answered(image, intent, KeyOutcome::Turn(turn)));
        }
        if image.is_one_call {
            records.push(self.ended_record(entry, ProgramState::Finished, spent, spent));
        }
        records
    }

    /// Handles a turn that was queued for the journal: starts the program's next call now, and finishes this one when
    /// the row is durable.
    fn after_turn_commit(&mut self, key: CallKey, call: &CallEntry, sequence: u64) {
        self.retire_ended_one_call(call.program, sequence);
        if call.is_answered {
            self.dequeue_call(key, call.program);
            self.remove_call(key);
            return;
        }
        if let Some(call) = self.calls.get_mut(key) {
            call.phase = CallPhase::Recording;
            call.content.body = Bytes::new();
            call.content.messages = MessageList::default();
        }
        self.run_when_durable(sequence, DurableEffect::FinishCall(key));
        self.dequeue_call(key, call.program);
    }

    /// Ends a dispatched call that has no complete answer, and charges the full reservation unless it did not run.
    pub(super) fn fail_call(&mut self, key: CallKey, problem: ProblemReport) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (id, need, is_answered) = (call.call, call.need, call.is_answered);
        let (spent, outcome) = match problem.run {
            RunVerdict::NotRun => (BudgetUse::default(), KeyOutcome::NotRun),
            RunVerdict::MayHaveRun | RunVerdict::Ran => (need, KeyOutcome::MayHaveRun),
        };
        if !is_answered {
            self.refuse(id, problem);
        }
        self.settle_without_turn(key, spent, outcome);
    }

    /// Settles the budget and the key of a call without a turn, and starts the program's next call.
    pub(super) fn settle_without_turn(&mut self, key: CallKey, spent: BudgetUse, outcome: KeyOutcome) {
        let Some(call) = self.calls.get(key).cloned() else {
            return;
        };
        self.programs.release_reservation(call.program, call.need);
        if let Some(entry) = self.programs.get(call.program).filter(|entry| entry.is_journaled) {
            let records = self.settle_records(entry, &call, spent, outcome);
            if !records.is_empty() {
                let sequence = self.commit(records, None);
                self.retire_ended_one_call(call.program, sequence);
            }
        }
        if let Some(entry) = self
            .programs
            .get(call.program)
            .filter(|entry| !entry.is_journaled)
        {
            let (program, token) = (entry.image.program, self.token_of(entry));
            self.emit(OwnerAction::ReleaseProgram { program, token });
        }
        self.dequeue_call(key, call.program);
        self.remove_call(key);
    }

    fn settle_records(
        &self,
        entry: &ProgramEntry,
        call: &CallEntry,
        spent: BudgetUse,
        outcome: KeyOutcome,
    ) -> Vec<JournalRecord> {
        let image = &entry.image;
        let total = image.spent.plus(spent);
        let used = total.plus(entry.account.reserved);
        let ceiling = if entry.is_open() {
            componentwise_max(image.ceiling, used)
        } else {
            used
        };
        let mut records = Vec::new();
        if (total, ceiling) != (image.spent, image.ceiling) {
            records.push(JournalRecord::Reserved(ReservedRecord {
                program: image.program,
                spent: total,
                ceiling,
            }));
        }
        if let Some(intent) = &call.intent
            && image.intents.contains(&intent.key)
        {
            records.push(answered(image, intent, outcome));
        }
        if image.is_one_call {
            records.push(self.ended_record(entry, ProgramState::Finished, total, total));
        }
        records
    }

    /// Removes a call from its program's queue and starts the next one.
    pub(super) fn dequeue_call(&mut self, key: CallKey, program: ProgramKey) {
        let next = self
            .programs
            .get_mut(program)
            .and_then(|entry| entry.queue.remove(key));
        if let Some(next) = next {
            self.start_call(next);
        }
    }

    /// Removes a call from memory, and its program too if that is an unrecorded one-call program.
    pub(super) fn remove_call(&mut self, key: CallKey) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if let Some(timer) = call.timer {
            self.timers.cancel(timer);
        }
        let Some(entry) = self.programs.get_mut(call.program) else {
            return;
        };
        entry.open_calls -= 1;
        let shard = entry.image.program.shard();
        let is_unrecorded = !entry.is_journaled && entry.open_calls == 0;
        self.shards.remove_call(shard);
        if is_unrecorded {
            self.programs.evict(call.program);
        }
    }

    pub(super) fn set_call_timer(&mut self, key: CallKey, due: ClockTime, task: TimerTask) {
        let timer = self.timers.schedule(due, task);
        if let Some(call) = self.calls.get_mut(key)
            && let Some(old) = call.timer.replace(timer)
        {
            self.timers.cancel(old);
        }
    }
}

fn used_by(usage: CallUsage) -> BudgetUse {
    BudgetUse {
        tokens: u64::from(usage.prompt_tokens) + u64::from(usage.output_tokens),
        calls: 1,
    }
}

fn delta_of(image: &ProgramImage, content: &CallContent) -> HistoryDelta {
    if content.messages.is_empty() {
        HistoryDelta {
            kept: image.history.mark.count,
            mark: image.history.mark,
        }
    } else {
        image.history.mark.delta(&content.messages)
    }
}

fn turn_body(
    image: &ProgramImage,
    call: &CallEntry,
    delta: HistoryDelta,
    head: AnswerHead,
    answer: Bytes,
) -> TurnBody {
    let content = &call.content;
    TurnBody {
        program: image.program,
        turn: image.history.turn_count() + 1,
        call: call.call,
        kind: content.kind.clone(),
        kept: delta.kept,
        messages: content.messages.slices(&content.body, delta.kept),
        request: content.messages.is_empty().then(|| content.body.clone()),
        head,
        answer,
    }
}

pub(super) fn answered(image: &ProgramImage, intent: &CallIntent, outcome: KeyOutcome) -> JournalRecord {
    JournalRecord::Answered(AnsweredRecord {
        program: image.program,
        key: intent.key.clone(),
        outcome,
    })
}
