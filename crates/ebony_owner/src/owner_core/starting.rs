//! Start of calls: budget reservation, intent records and dispatch.

use ebony_types::{BudgetUse, CallId, FencingToken, ProblemCode, TargetName};
use ebony_wire::QueueRank;

use super::arrival::{overloaded, platform_unavailable};
use super::effect::DurableEffect;
use super::state::{Result, ServingState};
use crate::action::OwnerAction;
use crate::budget::exhausted;
use crate::call::{CallIntent, CallKey, CallPhase};
use crate::journal::record::{IntendedRecord, JournalRecord, ReservedRecord};
use crate::program::image::ProgramImage;
use crate::program::table::{ProgramEntry, ProgramKey};

impl ServingState {
    /// Starts the first call of a queue. If it may not run, it is refused and the next one starts.
    pub(super) fn start_call(&mut self, key: CallKey) {
        let Some(program) = self.calls.get(key).map(|call| call.program) else {
            return;
        };
        if let Err(problem) = self.try_start(key, program) {
            let is_budget = problem.code == ProblemCode::BudgetExhausted;
            self.refuse_undispatched(key, problem);
            if is_budget {
                self.end_if_exhausted(program);
            }
        }
    }

    fn try_start(&mut self, key: CallKey, program: ProgramKey) -> Result<()> {
        let (Some(call), Some(entry)) = (self.calls.get(key), self.programs.get(program)) else {
            return Ok(());
        };
        if entry.image.history.turn_count() >= self.settings.max_turns {
            return Err(exhausted());
        }
        let is_new_key = call
            .intent
            .as_ref()
            .is_some_and(|intent| !entry.image.intents.contains(&intent.key));
        if is_new_key && self.programs.intent_count() >= self.settings.max_keys {
            return Err(overloaded("too many idempotency keys are kept"));
        }
        let (need, intent, call_id) = (call.need, call.intent.clone(), call.call);
        let raised_ceiling = self.reserve(program, need)?;
        if let Some(call) = self.calls.get_mut(key) {
            call.phase = CallPhase::Reserving;
        }
        let records = self.start_records(program, raised_ceiling, intent.as_ref(), call_id);
        self.commit_start(key, program, intent.is_some(), records);
        Ok(())
    }

    /// Reserves budget for a call. If it does not fit, the unused blocks of other programs in the tree are returned
    /// first.
    fn reserve(&mut self, program: ProgramKey, need: BudgetUse) -> Result<Option<BudgetUse>> {
        if let Ok(reservation) = self.programs.reserve(program, need) {
            return Ok(reservation.raised_ceiling);
        }
        for holder in self.programs.programs_with_slack(program) {
            self.return_slack(holder);
        }
        let reservation = self.programs.reserve(program, need)?;
        Ok(reservation.raised_ceiling)
    }

    fn return_slack(&mut self, holder: ProgramKey) {
        let Some(entry) = self.programs.get(holder) else {
            return;
        };
        let record = ReservedRecord {
            program: entry.image.program,
            spent: entry.image.spent,
            ceiling: entry.spent_and_reserved(),
        };
        self.commit_amounts(holder, record);
    }

    fn start_records(
        &self,
        program: ProgramKey,
        raised_ceiling: Option<BudgetUse>,
        intent: Option<&CallIntent>,
        call: CallId,
    ) -> Vec<JournalRecord> {
        let Some(entry) = self.programs.get(program) else {
            return Vec::new();
        };
        let image = &entry.image;
        let mut records = Vec::new();
        match raised_ceiling {
            Some(ceiling) if entry.is_journaled => records.push(JournalRecord::Reserved(ReservedRecord {
                program: image.program,
                spent: image.spent,
                ceiling,
            })),
            Some(ceiling) if intent.is_some() => records.push(image.opened_record(ceiling)),
            _ => {}
        }
        if let Some(intent) = intent {
            records.push(intended(image, intent, call, None));
        }
        records
    }

    /// Commits the records that a call needs before it runs, and dispatches it now if nothing is left to wait for.
    fn commit_start(
        &mut self,
        key: CallKey,
        program: ProgramKey,
        has_key: bool,
        records: Vec<JournalRecord>,
    ) {
        if !records.is_empty() {
            let sequence = self.commit(records, None);
            if has_key {
                self.run_when_durable(sequence, DurableEffect::DispatchCall(key));
                return;
            }
        }
        let is_ready = self
            .programs
            .get(program)
            .is_some_and(|entry| !entry.is_journaled || entry.is_covered());
        if is_ready {
            self.dispatch(key);
        } else if self.writer.is_unavailable() {
            self.refuse_undispatched(key, platform_unavailable());
        }
    }

    /// Dispatches a call that waited for a durable record.
    pub(super) fn dispatch(&mut self, key: CallKey) {
        let Some(call) = self
            .calls
            .get_mut(key)
            .filter(|call| call.phase == CallPhase::Reserving)
        else {
            return;
        };
        call.phase = CallPhase::Dispatched;
        let (call, program) = (call.call, call.program);
        let Some(entry) = self.programs.get(program) else {
            return;
        };
        let action = OwnerAction::Dispatch {
            call,
            program: entry.image.program,
            token: self.token_of(entry),
            rank: self.rank_of(program),
        };
        self.emit(action);
    }

    pub(super) fn token_of(&self, entry: &ProgramEntry) -> FencingToken {
        self.shards.epoch(entry.image.program.shard())
    }

    /// Returns the queue rank of a call. The queue treats a tree of programs as one unit of work, so tokens and age
    /// are those of its root.
    fn rank_of(&self, program: ProgramKey) -> QueueRank {
        let Some((_, root)) = self.programs.ancestry(program).last() else {
            return QueueRank::default();
        };
        let age = self.now.since(root.opened).as_millis();
        QueueRank {
            attained_tokens: root.account.subtree_spent.tokens,
            blocks_parent: self
                .programs
                .get(program)
                .is_some_and(|entry| entry.parent.is_some()),
            program_age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        }
    }
}

pub(super) fn intended(
    image: &ProgramImage,
    intent: &CallIntent,
    call: CallId,
    target: Option<TargetName>,
) -> JournalRecord {
    JournalRecord::Intended(Box::new(IntendedRecord {
        program: image.program,
        key: intent.key.clone(),
        digest: intent.digest,
        call,
        target,
    }))
}
