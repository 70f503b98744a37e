//! The durable state of a program, which is built by applying its records.

use std::time::Duration;

use ebony_types::{BudgetUse, CallerName, ProgramBudget, ProgramId, SessionId};
use serde::{Deserialize, Serialize};

use super::history::ProgramHistory;
use crate::intent::{IntentState, IntentTable, RetiredKey};
use crate::journal::record::{BodyPlace, JournalRecord, OpenedRecord, TurnRecord};
use crate::settings::{KEY_RETENTION, PROGRAM_RETENTION};
use crate::wall_time::WallTime;

/// Whether a program takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ProgramState {
    /// The program takes calls.
    Open,
    /// Its caller finished it.
    Finished,
    /// Its caller, an operator, or the end of its parent cancelled it.
    Cancelled,
    /// Its token, call or time budget is exhausted, or it has reached the limit of turns.
    Exhausted,
}

impl ProgramState {
    /// Returns the state's name in a [`ebony_wire::ProgramView`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Finished => "finished",
            Self::Cancelled => "cancelled",
            Self::Exhausted => "exhausted",
        }
    }
}

/// The durable state of a program. Checkpoints and the states of moved shards consist of these.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgramImage {
    /// The program.
    pub program: ProgramId,
    /// The parent.
    pub parent: Option<ProgramId>,
    /// The caller.
    pub caller: CallerName,
    /// The limits.
    pub budget: ProgramBudget,
    /// Whether the program was created for one call that named no program.
    pub is_one_call: bool,
    /// When it was opened.
    pub opened: WallTime,
    /// Whether it takes calls.
    pub state: ProgramState,
    /// When it ended.
    pub ended: Option<WallTime>,
    /// Amounts that its own calls have spent.
    pub spent: BudgetUse,
    /// Amounts that its own calls may spend without a further record.
    pub ceiling: BudgetUse,
    /// Amounts that evicted children have spent, or had reserved when they were evicted.
    pub absorbed: BudgetUse,
    /// Its turns.
    pub history: ProgramHistory,
    /// Its idempotency keys.
    pub intents: IntentTable,
}

impl ProgramImage {
    /// Creates the state of a program that was just opened.
    pub fn open(record: &OpenedRecord) -> Self {
        Self {
            program: record.program,
            parent: record.parent,
            caller: record.caller.clone(),
            budget: record.budget,
            is_one_call: record.is_one_call,
            opened: record.opened,
            state: ProgramState::Open,
            ended: None,
            spent: BudgetUse::default(),
            ceiling: record.ceiling,
            absorbed: BudgetUse::default(),
            history: ProgramHistory::default(),
            intents: IntentTable::default(),
        }
    }

    /// Returns the record that opens the program.
    pub(crate) fn opened_record(&self, ceiling: BudgetUse) -> JournalRecord {
        JournalRecord::Opened(Box::new(OpenedRecord {
            program: self.program,
            parent: self.parent,
            caller: self.caller.clone(),
            budget: self.budget,
            is_one_call: self.is_one_call,
            opened: self.opened,
            ceiling,
        }))
    }

    /// Applies a record of this program from row `sequence` of `session`.
    pub fn apply(&mut self, record: &JournalRecord, session: SessionId, sequence: u64) {
        match record {
            JournalRecord::Opened(record) => self.ceiling = record.ceiling,
            JournalRecord::Reserved(record) => {
                self.spent = record.spent;
                self.ceiling = record.ceiling;
            }
            JournalRecord::Intended(record) => {
                self.intents.intend(record);
                self.reopen_one_call();
            }
            JournalRecord::Answered(record) => self.intents.answer(record),
            JournalRecord::Turn(record) => self.apply_turn(record, session, sequence),
            JournalRecord::Ended(record) => {
                self.state = record.state;
                self.ended = Some(record.ended);
                self.spent = record.spent;
                self.ceiling = record.ceiling;
            }
            JournalRecord::Adopted(_) | JournalRecord::Released(_) | JournalRecord::Sealed { .. } => {}
        }
    }

    /// Reopens a one-call program whose call did not run and is about to be dispatched again.
    fn reopen_one_call(&mut self) {
        if self.is_one_call {
            self.state = ProgramState::Open;
            self.ended = None;
        }
    }

    fn apply_turn(&mut self, record: &TurnRecord, session: SessionId, sequence: u64) {
        let place = BodyPlace {
            session,
            sequence,
            span: record.body,
        };
        if record.turn == self.history.turn_count() + 1 {
            self.history.push(place, record.mark, record.chain);
        }
        self.spent = record.spent;
        self.ceiling = record.ceiling;
    }

    /// Converts the last recorded state of a lost owner into a state that a successor can rely on: reserved amounts
    /// count as spent, calls with a key that were in progress may have run, and times move onto the successor's
    /// clock.
    pub(crate) fn recover(&mut self, last_row: WallTime, adopted: WallTime) {
        self.spent = self.ceiling;
        self.intents.mark_open_calls_lost();
        self.rebase(last_row, adopted);
        if self.is_one_call && self.state == ProgramState::Open {
            self.state = ProgramState::Finished;
            self.ended = Some(adopted);
        }
    }

    /// Moves times onto the clock of a successor. The time budget keeps running between two owners, so the earlier of
    /// both readings applies to it. Retention pauses between two owners.
    pub(crate) fn rebase(&mut self, last_row: WallTime, adopted: WallTime) {
        self.opened = self.opened.min(self.opened.rebase(last_row, adopted));
        self.ended = self.ended.map(|ended| ended.rebase(last_row, adopted));
    }

    /// Returns when the program may be evicted; `None` while it is open.
    pub fn eviction_time(&self) -> Option<WallTime> {
        self.ended.map(|ended| ended + PROGRAM_RETENTION)
    }

    /// Returns the key that must be kept after the program is evicted, if it is a one-call program whose call ran
    /// or may have run.
    pub(crate) fn retired_key(&self) -> Option<RetiredKey> {
        if !self.is_one_call {
            return None;
        }
        let entry = self.intents.entries().next()?;
        let answer = match entry.state {
            IntentState::Answered { turn } => Some(self.history.place(turn)?),
            IntentState::MayHaveRun | IntentState::Intended { .. } => None,
            IntentState::NotRun => return None,
        };
        Some(RetiredKey {
            program: self.program,
            digest: entry.digest,
            answer,
            ended: self.ended?,
        })
    }
}

impl RetiredKey {
    /// Returns how much longer the key is kept at time `now`.
    pub(crate) fn remaining(&self, now: WallTime) -> Duration {
        (self.ended + KEY_RETENTION).since(now)
    }
}
