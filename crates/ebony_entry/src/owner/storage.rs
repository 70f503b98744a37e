//! Executes storage actions of an owner on the table service and the object store.

use std::rc::Rc;

use bytes::Bytes;
use ebony_owner::journal::{AppendOutcome, AppendRow, BodyPlace};
use ebony_owner::program::{HistoryPlan, TurnBody, assemble_history};
use ebony_owner::storage::{StorageReply, StorageRequest, StoredRow, StoredShardRow};
use ebony_platform::table::{create_resolved, replace_resolved};
use ebony_platform::{ObjectStore, PlatformError, RowKey, RowRecord, RowVersion, TableService, WriteNonce};
use ebony_types::{SessionId, ShardKey};
use ebony_wire::HeldRow;

use crate::peers::append_of;

/// The result of reading stored bodies.
pub(super) type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// Client of the storage for journals, bodies, checkpoints and shard rows.
#[derive(Clone)]
pub struct StorageClient {
    table: Rc<dyn TableService>,
    objects: Rc<dyn ObjectStore>,
}

fn journal_prefix(session: SessionId) -> String {
    format!("journal/{session}/")
}

/// The number is padded to twelve digits, so that keys sort in numeric order.
fn journal_key(session: SessionId, sequence: u64) -> RowKey {
    RowKey(format!("journal/{session}/{sequence:012}"))
}

fn shard_key(shard: ShardKey) -> RowKey {
    RowKey(format!("shards/{shard}"))
}

fn bodies_key(session: SessionId, sequence: u64) -> String {
    format!("bodies/{session}/{sequence:012}")
}

fn checkpoint_key(session: SessionId, sequence: u64) -> String {
    format!("checkpoint/{session}/{sequence:012}")
}

fn stored_row(record: RowRecord) -> Option<StoredRow> {
    let sequence = record.key.0.rsplit('/').next()?.parse().ok()?;
    Some(StoredRow {
        sequence,
        row: record.value,
    })
}

impl StorageClient {
    /// Creates a client that uses the platform's services.
    pub fn new(table: Rc<dyn TableService>, objects: Rc<dyn ObjectStore>) -> Self {
        Self { table, objects }
    }

    /// Appends a row to a journal, after storing its bodies.
    pub async fn append(&self, session: SessionId, append: AppendRow) -> AppendOutcome {
        if let Some(bodies) = append.bodies
            && self
                .objects
                .put(&bodies_key(session, append.sequence), bodies)
                .await
                .is_err()
        {
            return AppendOutcome::Unavailable;
        }
        let key = journal_key(session, append.sequence);
        match create_resolved(&*self.table, &key, append.row, WriteNonce(append.nonce)).await {
            Ok(_) => AppendOutcome::Durable,
            Err(PlatformError::Conflict) => AppendOutcome::Sealed,
            Err(_) => AppendOutcome::Unavailable,
        }
    }

    /// Returns `true` if a row of a journal exists.
    pub async fn has_row(&self, session: SessionId, sequence: u64) -> bool {
        let row = self.table.read(&journal_key(session, sequence)).await;
        row.is_ok_and(|row| row.is_some())
    }

    /// Appends copies of a dead owner's rows that continue its journal without a gap, so that the seal is placed after
    /// them. Returns `false` if the platform is unavailable for one of them.
    pub async fn append_copies(&self, session: SessionId, next: u64, copies: Vec<HeldRow>) -> bool {
        let mut next = next;
        for held in copies {
            if held.sequence != next {
                continue;
            }
            if self.append(session, append_of(held)).await == AppendOutcome::Unavailable {
                return false;
            }
            next += 1;
        }
        true
    }

    /// Stores a checkpoint and returns `true` on success.
    pub async fn store_checkpoint(&self, session: SessionId, sequence: u64, bytes: Bytes) -> bool {
        self.objects
            .put(&checkpoint_key(session, sequence), bytes)
            .await
            .is_ok()
    }

    /// Deletes rows that a checkpoint covers, and a superseded checkpoint. Failures are ignored.
    pub async fn truncate(&self, session: SessionId, first: u64, last: u64, checkpoint: Option<u64>) {
        for sequence in first..=last {
            let key = journal_key(session, sequence);
            let Ok(Some(row)) = self.table.read(&key).await else {
                continue;
            };
            // A leftover row only takes space.
            let _ = self.table.delete(&key, row.version).await;
        }
        if let Some(sequence) = checkpoint {
            // A leftover checkpoint only takes space.
            let _ = self.objects.delete(&checkpoint_key(session, sequence)).await;
        }
    }

    /// Deletes the bodies of a row. A failure is ignored.
    pub async fn delete_bodies(&self, session: SessionId, sequence: u64) {
        // Leftover bodies only take space.
        let _ = self.objects.delete(&bodies_key(session, sequence)).await;
    }

    /// Reads the stored answer of a turn.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if it can't be read or is malformed.
    pub async fn read_turn(&self, place: BodyPlace) -> Result<TurnBody> {
        let object = self
            .objects
            .get(&bodies_key(place.session, place.sequence))
            .await?;
        let object =
            object.ok_or_else(|| PlatformError::Malformed("the stored answer is missing".to_owned()))?;
        TurnBody::from_object(&object, place).map_err(|error| PlatformError::Malformed(error.to_string()))
    }

    /// Reads the bodies of a history and assembles its JSON.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if a body can't be read or the history is incomplete.
    pub async fn read_history(&self, plan: &HistoryPlan) -> Result<Bytes> {
        let mut bodies = Vec::with_capacity(plan.places.len());
        for place in &plan.places {
            let object = self
                .objects
                .get(&bodies_key(place.session, place.sequence))
                .await?;
            let start = place.span.offset as usize;
            let end = start + place.span.length as usize;
            bodies.push(
                object
                    .filter(|object| end <= object.len())
                    .map(|object| object.slice(start..end)),
            );
        }
        assemble_history(plan, &bodies).map_err(|error| PlatformError::Malformed(error.to_string()))
    }

    /// Executes a storage request of a shard takeover.
    pub async fn carry_out(&self, request: StorageRequest) -> StorageReply {
        let reply = match request {
            StorageRequest::ReadShardRow { shard } => self.read_shard(shard).await,
            StorageRequest::ReplaceShardRow {
                shard,
                version,
                row,
                nonce,
            } => self.replace_shard(shard, version, row, nonce).await,
            StorageRequest::ReadJournal {
                session,
                after,
                limit,
            } => self.read_journal(session, after, limit).await,
            StorageRequest::SealJournal {
                session,
                sequence,
                row,
                nonce,
            } => {
                let key = journal_key(session, sequence);
                create_resolved(&*self.table, &key, row, WriteNonce(nonce))
                    .await
                    .map(|_| StorageReply::Sealed)
            }
            StorageRequest::ReadCheckpoint { session, sequence } => self
                .objects
                .get(&checkpoint_key(session, sequence))
                .await
                .map(StorageReply::Object),
            StorageRequest::ReadBodies { session, sequence } => self
                .objects
                .get(&bodies_key(session, sequence))
                .await
                .map(StorageReply::Object),
        };
        reply.unwrap_or_else(|error| match error {
            PlatformError::Conflict => StorageReply::Conflict,
            _ => StorageReply::Unavailable,
        })
    }

    async fn read_shard(&self, shard: ShardKey) -> Result<StorageReply> {
        let row = self.table.read(&shard_key(shard)).await?;
        let row = row.map(|record| StoredShardRow {
            version: record.version.0,
            row: record.value,
        });
        Ok(StorageReply::ShardRow(row))
    }

    async fn replace_shard(
        &self,
        shard: ShardKey,
        version: Option<u64>,
        row: Bytes,
        nonce: u128,
    ) -> Result<StorageReply> {
        let (key, nonce) = (shard_key(shard), WriteNonce(nonce));
        let version = match version {
            Some(version) => replace_resolved(&*self.table, &key, RowVersion(version), row, nonce).await?,
            None => create_resolved(&*self.table, &key, row, nonce).await?,
        };
        Ok(StorageReply::Replaced { version: version.0 })
    }

    async fn read_journal(&self, session: SessionId, after: u64, limit: u32) -> Result<StorageReply> {
        let after = (after > 0).then(|| journal_key(session, after));
        let rows = self
            .table
            .list(&journal_prefix(session), after.as_ref(), limit)
            .await?;
        Ok(StorageReply::JournalRows(
            rows.into_iter().filter_map(stored_row).collect(),
        ))
    }
}
