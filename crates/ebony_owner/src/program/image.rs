//! The durable state of a program, as its records make it.

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
    /// Its caller ended it.
    Finished,
    /// Its caller, an operator or the end of its parent cancelled it.
    Cancelled,
    /// Its budget is spent or its time is over.
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

/// A program as its records make it. Checkpoints and the state of a moved shard consist of these.
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
    /// Whether the program was made for one call that named none.
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
    /// Amounts that evicted children have spent.
    pub absorbed: BudgetUse,
    /// Its turns.
    pub history: ProgramHistory,
    /// Its idempotency keys.
    pub intents: IntentTable,
}

impl ProgramImage {
    /// Creates the image of a program that was just opened.
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

    /// A call that did not run may run again, which continues its program of one call.
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

    /// Turns the last recorded state of a lost owner into what a successor may rely on: reserved amounts count as
    /// spent, calls with a key that were under way may have run, and times move onto the successor's clock.
    pub(crate) fn recover(&mut self, last_row: WallTime, adopted: WallTime) {
        self.spent = self.ceiling;
        self.intents.mark_open_calls_lost();
        self.rebase(last_row, adopted);
        if self.is_one_call && self.state == ProgramState::Open {
            self.state = ProgramState::Finished;
            self.ended = Some(adopted);
        }
    }

    /// Moves times onto the clock of a successor. The time budget also runs between two owners, so the earlier of both
    /// readings counts for it; the retention does not.
    pub(crate) fn rebase(&mut self, last_row: WallTime, adopted: WallTime) {
        self.opened = self.opened.min(self.opened.rebase(last_row, adopted));
        self.ended = self.ended.map(|ended| ended.rebase(last_row, adopted));
    }

    /// Returns when the program may be evicted; `None` while it is open.
    pub fn eviction_time(&self) -> Option<WallTime> {
        self.ended.map(|ended| ended + PROGRAM_RETENTION)
    }

    /// Returns the key that must outlive the evicted program.
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
    /// Returns the time for which the key is still kept at `now`.
    pub(crate) fn remaining(&self, now: WallTime) -> Duration {
        (self.ended + KEY_RETENTION).since(now)
    }
}
