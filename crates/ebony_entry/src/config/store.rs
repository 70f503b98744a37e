//! Persistent storage of the configuration: rows in the table service and checkpoints in the object store.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebony_config::history::{CURRENT_KEY, HISTORY_PREFIX, MAX_HISTORY_ROWS, history_key};
use ebony_config::{
    CatchUp, ChangeRecord, ConfigDocument, ConfigEdit, ConfigUpdate, CurrentRow, EditAction, EditOutcome,
    EditReply, HistoryError, PruneAction, RowStamp, plan_catch_up, plan_pruning, rebuild,
};
use ebony_platform::{ObjectStore, PlatformError, RowKey, RowRecord, RowVersion, TableService, WriteNonce};
use ebony_types::RunVerdict;

/// The number of history rows listed per request. A record has at most about 8 KiB.
const HISTORY_PAGE_ROWS: u32 = 200;

/// The maximum number of rows, from the oldest, considered for pruning at once.
const MAX_PRUNED_ROWS: u32 = 64;

/// The delay before an action without a definite result is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// An error when reading the stored configuration.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum StoreError {
    /// The platform did not answer.
    #[error("the platform does not answer: {0}")]
    Platform(#[from] PlatformError),
    /// The stored configuration is damaged or incomplete.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// The version is not stored, or has been pruned.
    #[error("version {0} is not stored")]
    Absent(u64),
}

impl From<ebony_config::ConfigReport> for StoreError {
    fn from(report: ebony_config::ConfigReport) -> Self {
        Self::History(HistoryError::Damaged(report))
    }
}

/// The result of reading stored configuration.
pub(crate) type Result<T, E = StoreError> = std::result::Result<T, E>;

/// Reads and writes the stored configuration.
#[derive(Clone)]
pub(crate) struct ConfigStore {
    table: Rc<dyn TableService>,
    objects: Rc<dyn ObjectStore>,
}

impl ConfigStore {
    pub(crate) fn new(table: Rc<dyn TableService>, objects: Rc<dyn ObjectStore>) -> Self {
        Self { table, objects }
    }

    /// Reads the row of the newest version.
    pub(crate) async fn read_current(&self) -> Result<Option<CurrentRow>> {
        let row = self.table.read(&RowKey(CURRENT_KEY.to_owned())).await?;
        row.map(|row| decode_row(&row)).transpose()
    }

    /// Returns the updates from version `known` to that of `current`.
    pub(crate) async fn catch_up(&self, known: u64, current: &ChangeRecord) -> Result<Vec<ConfigUpdate>> {
        match plan_catch_up(known, current) {
            CatchUp::UpToDate => Ok(Vec::new()),
            CatchUp::ReadHistory { after } => {
                let records = self.records(after, current).await?;
                let update = |record: &ChangeRecord| {
                    record
                        .to_update()
                        .ok_or(HistoryError::MissingVersion(record.version))
                };
                Ok(records.iter().map(update).collect::<Result<_, _>>()?)
            }
            CatchUp::ReadCheckpoint(_) => {
                let document = self.rebuild(current).await?;
                Ok(vec![ConfigUpdate::Full(Box::new(document))])
            }
        }
    }

    /// Returns the document of a version.
    pub(crate) async fn document(&self, version: u64) -> Result<ConfigDocument> {
        let record = self.record(version).await?;
        self.rebuild(&record).await
    }

    /// Returns up to `limit` records, newest first, starting at version `newest` or at the current version if that is
    /// `None`.
    pub(crate) async fn history(&self, newest: Option<u64>, limit: u32) -> Result<Vec<ChangeRecord>> {
        let Some(current) = self.read_current().await? else {
            return Ok(Vec::new());
        };
        let current = current.record;
        let newest = newest.unwrap_or(current.version).min(current.version);
        let after = newest.saturating_sub(u64::from(limit));
        let mut records = self.rows(after, newest).await?;
        if newest == current.version {
            records.push(current);
        }
        records.reverse();
        Ok(records)
    }

    /// Runs an edit until it finishes or `deadline` is reached.
    pub(crate) async fn run(
        &self,
        edit: &mut ConfigEdit,
        first: EditAction,
        deadline: Instant,
    ) -> EditOutcome {
        let mut action = first;
        let outcome = loop {
            if let EditAction::Finish(outcome) = action {
                break outcome;
            }
            let limit = deadline.saturating_duration_since(Instant::now());
            let Ok(reply) = tokio::time::timeout(limit, self.perform(action)).await else {
                break edit.abandon();
            };
            if matches!(reply, EditReply::NotRun | EditReply::Unknown) {
                tokio::time::sleep(RETRY_DELAY.min(limit)).await;
            }
            action = edit.step(reply);
        };
        if let Some(checkpoint) = edit.orphaned_checkpoint() {
            // A leftover object only takes space; no record refers to it.
            let _ = self.objects.delete(&checkpoint.object_key()).await;
        }
        outcome
    }

    /// Deletes the oldest rows and objects that history no longer needs. What could not be deleted is retried next
    /// time.
    pub(crate) async fn prune(&self, current: u64) -> Result<()> {
        if current <= MAX_HISTORY_ROWS {
            return Ok(());
        }
        let rows = self.table.list(HISTORY_PREFIX, None, MAX_PRUNED_ROWS).await?;
        let records: Vec<ChangeRecord> = rows.iter().map(decode_record).collect::<Result<_>>()?;
        for action in plan_pruning(&records, current) {
            match action {
                PruneAction::DeleteObject(checkpoint) => {
                    self.objects.delete(&checkpoint.object_key()).await?;
                }
                PruneAction::DeleteRow(version) => {
                    let key = history_key(version);
                    let Some(row) = rows.iter().find(|row| row.key.0 == key) else {
                        continue;
                    };
                    self.table.delete(&row.key, row.version).await?;
                }
            }
        }
        Ok(())
    }

    async fn record(&self, version: u64) -> Result<ChangeRecord> {
        if let Some(row) = self.table.read(&RowKey(history_key(version))).await? {
            return decode_record(&row);
        }
        match self.read_current().await? {
            Some(row) if row.record.version == version => Ok(row.record),
            _ => Err(StoreError::Absent(version)),
        }
    }

    /// Rebuilds the document of a record from its checkpoint and the records after the checkpoint.
    async fn rebuild(&self, record: &ChangeRecord) -> Result<ConfigDocument> {
        let checkpoint = record.checkpoint;
        let bytes = self.objects.get(&checkpoint.object_key()).await?;
        let bytes = bytes.ok_or(StoreError::Absent(checkpoint.version))?;
        let older = ConfigDocument::decode(&bytes)?;
        let records = self.records(checkpoint.version, record).await?;
        Ok(rebuild(older, &records, record.version)?)
    }

    /// Returns the records after version `after` up to and including `last`.
    async fn records(&self, after: u64, last: &ChangeRecord) -> Result<Vec<ChangeRecord>> {
        // If there are no versions in between, only `last` is needed.
        let mut records = if last.version > after + 1 {
            self.rows(after, last.version - 1).await?
        } else {
            Vec::new()
        };
        if last.version > after {
            records.push(last.clone());
        }
        Ok(records)
    }

    /// Returns the records in history after version `after` up to version `last`.
    async fn rows(&self, after: u64, last: u64) -> Result<Vec<ChangeRecord>> {
        let mut records = Vec::new();
        let mut key = RowKey(history_key(after));
        // History has at most about a thousand rows, so a few pages suffice.
        for _ in 0..=MAX_HISTORY_ROWS / u64::from(HISTORY_PAGE_ROWS) {
            let rows = self
                .table
                .list(HISTORY_PREFIX, Some(&key), HISTORY_PAGE_ROWS)
                .await?;
            let Some(newest) = rows.last() else { break };
            key = newest.key.clone();
            for row in &rows {
                let record = decode_record(row)?;
                if record.version > last {
                    return Ok(records);
                }
                records.push(record);
            }
        }
        Ok(records)
    }

    async fn perform(&self, action: EditAction) -> EditReply {
        match action {
            EditAction::ReadCurrent => match self.read_current().await {
                Ok(row) => EditReply::Current(row.map(Box::new)),
                Err(error) => to_reply(&error),
            },
            EditAction::ReadHistory(version) => match self.record(version).await {
                Ok(record) => EditReply::History(Some(Box::new(record))),
                Err(StoreError::Absent(_)) => EditReply::History(None),
                Err(error) => to_reply(&error),
            },
            EditAction::CreateHistory(record) => self.create_history(&record).await,
            EditAction::PutCheckpoint { checkpoint, document } => {
                let key = checkpoint.object_key();
                write_reply(self.objects.put(&key, document.encode().into()).await)
            }
            EditAction::WriteCurrent { expected, record } => self.write_current(expected, &record).await,
            // Unreachable: `run` stops at `Finish`.
            EditAction::Finish(_) => EditReply::NotRun,
        }
    }

    async fn create_history(&self, record: &ChangeRecord) -> EditReply {
        let key = RowKey(history_key(record.version));
        let nonce = WriteNonce(record.nonce.as_number());
        write_reply(self.table.create(&key, Bytes::from(record.encode()), nonce).await)
    }

    async fn write_current(&self, expected: Option<RowStamp>, record: &ChangeRecord) -> EditReply {
        let key = RowKey(CURRENT_KEY.to_owned());
        let (value, nonce) = (Bytes::from(record.encode()), WriteNonce(record.nonce.as_number()));
        write_reply(match expected {
            Some(RowStamp(stamp)) => self.table.replace(&key, RowVersion(stamp), value, nonce).await,
            None => self.table.create(&key, value, nonce).await,
        })
    }
}

fn decode_record(row: &RowRecord) -> Result<ChangeRecord> {
    Ok(ChangeRecord::decode(&row.value)?)
}

fn decode_row(row: &RowRecord) -> Result<CurrentRow> {
    Ok(CurrentRow {
        stamp: RowStamp(row.version.0),
        record: decode_record(row)?,
    })
}

fn write_reply<T>(result: Result<T, PlatformError>) -> EditReply {
    match result {
        Ok(_) => EditReply::Done,
        Err(PlatformError::Conflict) => EditReply::Conflict,
        Err(error) => to_reply(&StoreError::Platform(error)),
    }
}

fn to_reply(error: &StoreError) -> EditReply {
    match error {
        StoreError::Platform(error) if error.verdict() == RunVerdict::NotRun => EditReply::NotRun,
        _ => EditReply::Unknown,
    }
}
