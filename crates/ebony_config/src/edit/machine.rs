//! The steps of an edit.

use std::sync::Arc;

use super::{CurrentRow, EditAction, EditOutcome, EditReply, EditRequest, RowStamp};
use crate::history::{ChangeRecord, CheckpointRef, EditNonce};
use crate::update::{ConfigDelta, ConfigUpdate};

/// Actions that may fail and be repeated in one edit. The shell waits before it repeats one.
const MAX_REPEATS: u32 = 8;

/// Which reply the machine waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EditStage {
    /// The newest version, to compare it with the operator's.
    Compare,
    /// The history row of the version before.
    SaveHistory,
    /// The checkpoint of the next version.
    SaveCheckpoint,
    /// The row of the newest version.
    Write,
    /// The newest version, to see whether the write took effect.
    ReadBack,
    /// The record that won, because newer versions have come since.
    ReadWinner,
}

/// An operator's change under way.
#[derive(Debug)]
pub struct ConfigEdit {
    request: EditRequest,
    nonce: EditNonce,
    stage: EditStage,
    expected: Option<RowStamp>,
    previous: Option<Arc<ChangeRecord>>,
    record: Option<Arc<ChangeRecord>>,
    /// Whether a write was sent whose outcome is unknown.
    may_be_written: bool,
    /// How the edit ended; it stays what it is.
    outcome: Option<EditOutcome>,
    repeats: u32,
}

impl ConfigEdit {
    /// Starts an edit under a nonce that no other edit has, and returns the first action.
    pub fn begin(request: EditRequest, nonce: EditNonce) -> (Self, EditAction) {
        let edit = Self {
            request,
            nonce,
            stage: EditStage::Compare,
            expected: None,
            previous: None,
            record: None,
            may_be_written: false,
            outcome: None,
            repeats: 0,
        };
        (edit, EditAction::ReadCurrent)
    }

    /// Takes the reply to the last action and returns the next one.
    pub fn step(&mut self, reply: EditReply) -> EditAction {
        if let Some(outcome) = &self.outcome {
            return EditAction::Finish(outcome.clone());
        }
        match (self.stage, reply) {
            (EditStage::Compare, EditReply::Current(row)) => self.compare(row.map(|row| *row)),
            // That the row exists already is as good, because all writers write the same record there.
            (EditStage::SaveHistory, EditReply::Done | EditReply::Conflict) => self.save_checkpoint(),
            (EditStage::SaveCheckpoint, EditReply::Done) => self.write(),
            (EditStage::Write, EditReply::Done) => self.accept(),
            // A conflict can be the echo of an own write that was sent twice.
            (EditStage::Write, EditReply::Conflict) => self.read_back(),
            (EditStage::Write, EditReply::Unknown) => {
                self.may_be_written = true;
                self.read_back()
            }
            (EditStage::ReadBack, EditReply::Current(row)) => self.judge(row.map(|row| *row)),
            (EditStage::ReadWinner, EditReply::History(Some(record))) => self.decide(&record),
            (EditStage::ReadWinner, EditReply::History(None)) => self.give_up(),
            (_, EditReply::NotRun | EditReply::Unknown) => self.repeat(),
            _ => self.give_up(),
        }
    }

    /// Ends the edit at the operator's deadline and returns what is known by then.
    pub fn abandon(&mut self) -> EditOutcome {
        self.may_be_written |= self.stage == EditStage::Write;
        let outcome = self.outcome.clone().unwrap_or_else(|| self.conclude());
        self.outcome = Some(outcome.clone());
        outcome
    }

    /// Returns what to distribute once the edit was accepted.
    pub fn to_update(&self) -> ConfigUpdate {
        ConfigUpdate::Delta(Box::new(ConfigDelta {
            version: self.request.next.version,
            patch: self.request.patch.clone(),
        }))
    }

    /// Returns the checkpoint that the edit wrote in vain, to delete it. It is `None` unless the edit was certainly not
    /// accepted.
    pub fn orphaned_checkpoint(&self) -> Option<CheckpointRef> {
        let outcome = self.outcome.as_ref()?;
        if !matches!(
            outcome,
            EditOutcome::Conflict { .. } | EditOutcome::NotAccepted(_)
        ) {
            return None;
        }
        let checkpoint = self.record.as_ref()?.checkpoint;
        (checkpoint.nonce == self.nonce).then_some(checkpoint)
    }

    fn compare(&mut self, row: Option<CurrentRow>) -> EditAction {
        let base = self.request.base;
        let Some(row) = row else {
            if base == 0 {
                return self.save_checkpoint();
            }
            return self.fail("the table has no configuration");
        };
        if row.record.version > base {
            return self.lose(&row.record);
        }
        if row.record.version < base {
            return self.fail("the table returned an older version than the one that is in force");
        }
        let previous = Arc::new(row.record);
        self.expected = Some(row.stamp);
        self.previous = Some(Arc::clone(&previous));
        self.stage = EditStage::SaveHistory;
        EditAction::CreateHistory(previous)
    }

    fn save_checkpoint(&mut self) -> EditAction {
        let previous = self.previous.as_ref().map(|record| record.checkpoint);
        let record = Arc::new(self.request.to_record(self.nonce, previous));
        let checkpoint = record.checkpoint;
        let is_due = checkpoint.version == record.version;
        self.record = Some(record);
        if !is_due {
            return self.write();
        }
        self.stage = EditStage::SaveCheckpoint;
        EditAction::PutCheckpoint {
            checkpoint,
            document: Arc::clone(&self.request.next),
        }
    }

    fn write(&mut self) -> EditAction {
        let Some(record) = self.record.clone() else {
            return self.give_up();
        };
        self.stage = EditStage::Write;
        EditAction::WriteCurrent {
            expected: self.expected,
            record,
        }
    }

    fn read_back(&mut self) -> EditAction {
        self.stage = EditStage::ReadBack;
        EditAction::ReadCurrent
    }

    /// Judges by the newest version whether the write took effect.
    fn judge(&mut self, row: Option<CurrentRow>) -> EditAction {
        let base = self.request.base;
        let newest = row.as_ref().map_or(0, |row| row.record.version);
        match row {
            Some(row) if newest == base + 1 => self.decide(&row.record),
            Some(_) if newest > base => {
                // Newer versions exist only after the record of the next version was copied to history.
                self.stage = EditStage::ReadWinner;
                EditAction::ReadHistory(base + 1)
            }
            // The row is as it was. A write that was lost may still arrive, and so the same write is sent again: only
            // one of the two can take effect.
            _ if newest == base => self.write_again(),
            _ => self.give_up(),
        }
    }

    fn write_again(&mut self) -> EditAction {
        if self.count_repeat() {
            self.write()
        } else {
            self.give_up()
        }
    }

    /// Decides by the record of the next version.
    fn decide(&mut self, record: &ChangeRecord) -> EditAction {
        if record.nonce == self.nonce {
            self.accept()
        } else {
            self.lose(record)
        }
    }

    /// Repeats the last action, which had no result.
    fn repeat(&mut self) -> EditAction {
        if !self.count_repeat() {
            return self.give_up();
        }
        match self.stage {
            EditStage::Compare | EditStage::ReadBack => EditAction::ReadCurrent,
            EditStage::ReadWinner => EditAction::ReadHistory(self.request.base + 1),
            EditStage::SaveHistory => match self.previous.clone() {
                Some(previous) => EditAction::CreateHistory(previous),
                None => self.give_up(),
            },
            EditStage::SaveCheckpoint => self.save_checkpoint(),
            EditStage::Write => self.write(),
        }
    }

    fn count_repeat(&mut self) -> bool {
        self.repeats += 1;
        self.repeats <= MAX_REPEATS
    }

    fn accept(&mut self) -> EditAction {
        self.finish(EditOutcome::Accepted(self.request.next.version))
    }

    fn lose(&mut self, winner: &ChangeRecord) -> EditAction {
        self.finish(EditOutcome::Conflict {
            winner: winner.version,
            author: winner.author.clone(),
            time: winner.time,
        })
    }

    fn fail(&mut self, reason: &'static str) -> EditAction {
        self.finish(EditOutcome::NotAccepted(reason))
    }

    /// Ends without a result from the platform.
    fn give_up(&mut self) -> EditAction {
        let outcome = self.conclude();
        self.finish(outcome)
    }

    /// Returns the outcome without a result from the platform. Once a write may have arrived, it stays open.
    fn conclude(&self) -> EditOutcome {
        let reads_back = matches!(self.stage, EditStage::ReadBack | EditStage::ReadWinner);
        if self.may_be_written || reads_back {
            EditOutcome::Unresolved(self.nonce)
        } else {
            EditOutcome::NotAccepted("the platform did not take the change")
        }
    }

    fn finish(&mut self, outcome: EditOutcome) -> EditAction {
        self.outcome = Some(outcome.clone());
        EditAction::Finish(outcome)
    }
}
