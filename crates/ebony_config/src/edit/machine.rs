//! The state machine of an edit.

use std::sync::Arc;

use super::{CurrentRow, EditAction, EditOutcome, EditReply, EditRequest, RowStamp};
use crate::history::{ChangeRecord, CheckpointRef, EditNonce};
use crate::update::{ConfigDelta, ConfigUpdate};

/// The most retries in one edit, over all its actions. The driver waits before it performs a retry.
const MAX_RETRIES: u32 = 8;

/// The action whose reply the machine waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EditStage {
    /// Reading the newest version, to compare it with the version that the operator read.
    CheckBase,
    /// Creating the history row of the previous version.
    SaveHistory,
    /// Writing the checkpoint of the next version.
    SaveCheckpoint,
    /// Replacing the row of the newest version.
    Write,
    /// Reading the newest version, to see whether the write took effect.
    ReadBack,
    /// Reading the record of version `base + 1` from history, because newer versions were accepted since.
    ReadWinner,
}

/// An operator's change in progress.
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
    /// How the edit ended. Once set, it does not change.
    outcome: Option<EditOutcome>,
    retries: u32,
}

impl ConfigEdit {
    /// Starts an edit and returns the first action. No other edit may have the same nonce.
    pub fn begin(request: EditRequest, nonce: EditNonce) -> (Self, EditAction) {
        let edit = Self {
            request,
            nonce,
            stage: EditStage::CheckBase,
            expected: None,
            previous: None,
            record: None,
            may_be_written: false,
            outcome: None,
            retries: 0,
        };
        (edit, EditAction::ReadCurrent)
    }

    /// Processes the reply to the last action and returns the next one.
    pub fn step(&mut self, reply: EditReply) -> EditAction {
        if let Some(outcome) = &self.outcome {
            return EditAction::Finish(outcome.clone());
        }
        match (self.stage, reply) {
            (EditStage::CheckBase, EditReply::Current(row)) => self.check_base(row.map(|row| *row)),
            // A conflict means that the row exists already. Every writer creates it with the same record.
            (EditStage::SaveHistory, EditReply::Done | EditReply::Conflict) => self.save_checkpoint(),
            (EditStage::SaveCheckpoint, EditReply::Done) => self.write(),
            (EditStage::Write, EditReply::Done) => self.finish_accepted(),
            // The conflict can come from this edit's own write if the platform received it twice.
            (EditStage::Write, EditReply::Conflict) => self.read_back(),
            (EditStage::Write, EditReply::Unknown) => {
                self.may_be_written = true;
                self.read_back()
            }
            (EditStage::ReadBack, EditReply::Current(row)) => self.resolve_write(row.map(|row| *row)),
            (EditStage::ReadWinner, EditReply::History(Some(record))) => self.finish_by_record(&record),
            (EditStage::ReadWinner, EditReply::History(None)) => self.finish_without_result(),
            (_, EditReply::NotRun | EditReply::Unknown) => self.retry(),
            _ => self.finish_without_result(),
        }
    }

    /// Ends the edit at the operator's deadline and returns the outcome as far as it is known.
    pub fn abandon(&mut self) -> EditOutcome {
        self.may_be_written |= self.stage == EditStage::Write;
        let outcome = self
            .outcome
            .clone()
            .unwrap_or_else(|| self.outcome_without_result());
        self.outcome = Some(outcome.clone());
        outcome
    }

    /// Returns the update to distribute once the edit was accepted.
    pub fn to_update(&self) -> ConfigUpdate {
        ConfigUpdate::Delta(Box::new(ConfigDelta {
            version: self.request.next.version,
            patch: self.request.patch.clone(),
        }))
    }

    /// Returns the checkpoint that this edit wrote and no version refers to, so that it can be deleted. It is `None`
    /// unless the edit is known not to have been accepted.
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

    fn check_base(&mut self, row: Option<CurrentRow>) -> EditAction {
        let base = self.request.base;
        let Some(row) = row else {
            if base == 0 {
                return self.save_checkpoint();
            }
            return self.finish_not_accepted("the table has no configuration");
        };
        if row.record.version > base {
            return self.finish_conflict(&row.record);
        }
        if row.record.version < base {
            return self
                .finish_not_accepted("the table returned an older version than the one that is in force");
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
            return self.finish_without_result();
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

    /// Determines from the newest version whether the write took effect.
    fn resolve_write(&mut self, row: Option<CurrentRow>) -> EditAction {
        let base = self.request.base;
        let newest = row.as_ref().map_or(0, |row| row.record.version);
        match row {
            Some(row) if newest == base + 1 => self.finish_by_record(&row.record),
            Some(_) if newest > base => {
                // The record of version `base + 1` was copied to history before any newer version was written.
                self.stage = EditStage::ReadWinner;
                EditAction::ReadHistory(base + 1)
            }
            // The row is unchanged, but the write may still arrive. The same write is sent again, because only one of
            // the two can take effect.
            _ if newest == base => self.retry_write(),
            _ => self.finish_without_result(),
        }
    }

    fn retry_write(&mut self) -> EditAction {
        if self.count_retry() {
            self.write()
        } else {
            self.finish_without_result()
        }
    }

    /// Ends the edit according to the record of version `base + 1`, which has the nonce of the edit that won.
    fn finish_by_record(&mut self, record: &ChangeRecord) -> EditAction {
        if record.nonce == self.nonce {
            self.finish_accepted()
        } else {
            self.finish_conflict(record)
        }
    }

    /// Retries the last action, which did not run or whose result is unknown.
    fn retry(&mut self) -> EditAction {
        if !self.count_retry() {
            return self.finish_without_result();
        }
        match self.stage {
            EditStage::CheckBase | EditStage::ReadBack => EditAction::ReadCurrent,
            EditStage::ReadWinner => EditAction::ReadHistory(self.request.base + 1),
            EditStage::SaveHistory => match self.previous.clone() {
                Some(previous) => EditAction::CreateHistory(previous),
                None => self.finish_without_result(),
            },
            EditStage::SaveCheckpoint => self.save_checkpoint(),
            EditStage::Write => self.write(),
        }
    }

    fn count_retry(&mut self) -> bool {
        self.retries += 1;
        self.retries <= MAX_RETRIES
    }

    fn finish_accepted(&mut self) -> EditAction {
        self.finish(EditOutcome::Accepted(self.request.next.version))
    }

    fn finish_conflict(&mut self, winner: &ChangeRecord) -> EditAction {
        self.finish(EditOutcome::Conflict {
            winner: winner.version,
            author: winner.author.clone(),
            time: winner.time,
        })
    }

    fn finish_not_accepted(&mut self, reason: &'static str) -> EditAction {
        self.finish(EditOutcome::NotAccepted(reason))
    }

    /// Ends the edit without a result from the platform.
    fn finish_without_result(&mut self) -> EditAction {
        let outcome = self.outcome_without_result();
        self.finish(outcome)
    }

    /// Returns the outcome of an edit that ends without a result from the platform. It is unresolved if a write may
    /// have taken effect.
    fn outcome_without_result(&self) -> EditOutcome {
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
