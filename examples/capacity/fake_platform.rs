//! An in-memory table service and object store that reply immediately and never fail.

use std::collections::BTreeMap;

use bytes::Bytes;
use ebony_owner::journal::AppendOutcome;
use ebony_owner::{
    AppendRow, OwnerAction, OwnerEvent, StorageReply, StorageRequest, StoredRow, StoredShardRow,
};
use ebony_types::{SessionId, ShardKey};

/// The rows and objects that owners have stored, and counters of their writes.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakePlatform {
    rows: BTreeMap<(SessionId, u64), (u128, Bytes)>,
    checkpoints: BTreeMap<(SessionId, u64), Bytes>,
    shards: BTreeMap<ShardKey, (u64, Bytes)>,
    /// Number of journal rows created.
    pub(crate) row_count: u64,
    /// Total size of these rows.
    pub(crate) row_bytes: u64,
    /// Total size of the bodies appended with these rows.
    pub(crate) body_bytes: u64,
    /// Size of the newest checkpoint.
    pub(crate) checkpoint_bytes: u64,
    /// Number of storage requests made by takeovers.
    pub(crate) takeover_requests: u64,
}

impl FakePlatform {
    /// Executes an action and returns the event that reports its outcome, if there is one.
    pub(crate) fn perform(&mut self, session: SessionId, action: OwnerAction) -> Option<OwnerEvent> {
        match action {
            OwnerAction::Append(append) => Some(self.append(session, append)),
            OwnerAction::Checkpoint { sequence, bytes } => {
                self.checkpoint_bytes = bytes.len() as u64;
                self.checkpoints.insert((session, sequence), bytes);
                Some(OwnerEvent::CheckpointDone {
                    sequence,
                    is_stored: true,
                })
            }
            OwnerAction::Truncate { first, last, .. } => {
                for sequence in first..=last {
                    self.rows.remove(&(session, sequence));
                }
                None
            }
            OwnerAction::Storage { ticket, request } => {
                self.takeover_requests += 1;
                let reply = self.serve(request);
                Some(OwnerEvent::StorageDone { ticket, reply })
            }
            _ => None,
        }
    }

    fn append(&mut self, session: SessionId, append: AppendRow) -> OwnerEvent {
        let sequence = append.sequence;
        self.row_count += 1;
        self.row_bytes += append.row.len() as u64;
        self.body_bytes += append.bodies.map_or(0, |bodies| bodies.len() as u64);
        self.rows.insert((session, sequence), (append.nonce, append.row));
        OwnerEvent::AppendDone {
            sequence,
            outcome: AppendOutcome::Durable,
        }
    }

    fn serve(&mut self, request: StorageRequest) -> StorageReply {
        match request {
            StorageRequest::ReadShardRow { shard } => {
                let stored = self.shards.get(&shard).map(|(version, row)| StoredShardRow {
                    version: *version,
                    row: row.clone(),
                });
                StorageReply::ShardRow(stored)
            }
            StorageRequest::ReplaceShardRow { shard, row, .. } => {
                let version = self.shards.get(&shard).map_or(1, |(version, _)| version + 1);
                self.shards.insert(shard, (version, row));
                StorageReply::Replaced { version }
            }
            StorageRequest::ReadJournal {
                session,
                after,
                limit,
            } => {
                let rows = self.rows.range((session, after + 1)..=(session, u64::MAX));
                let rows = rows.take(limit as usize);
                let rows = rows.map(|((_, sequence), (_, row))| StoredRow {
                    sequence: *sequence,
                    row: row.clone(),
                });
                StorageReply::JournalRows(rows.collect())
            }
            StorageRequest::SealJournal {
                session,
                sequence,
                row,
                nonce,
            } => {
                self.rows.insert((session, sequence), (nonce, row));
                StorageReply::Sealed
            }
            StorageRequest::ReadCheckpoint { session, sequence } => {
                StorageReply::Object(self.checkpoints.get(&(session, sequence)).cloned())
            }
            // Bodies are counted but not stored, since a takeover reads none.
            StorageRequest::ReadBodies { .. } => StorageReply::Object(None),
        }
    }
}
