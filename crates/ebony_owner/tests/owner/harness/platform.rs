//! An in-memory table service and object store with fault injection.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ebony_owner::journal::{AppendOutcome, AppendRow, JournalRecord, JournalRow};
use ebony_owner::program::{HistoryPlan, assemble_history};
use ebony_owner::{OwnerAction, OwnerEvent, StorageReply, StorageRequest, StoredRow, StoredShardRow};
use ebony_types::{CallId, SessionId, ShardKey};

/// The fault of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The request takes effect, and its reply is lost.
    LostReply,
    /// The request does not take effect.
    Refused,
}

#[derive(Debug, Default)]
pub(crate) struct FakePlatform {
    pub(crate) rows: BTreeMap<(SessionId, u64), (u128, Bytes)>,
    pub(crate) bodies: BTreeMap<(SessionId, u64), Bytes>,
    pub(crate) checkpoints: BTreeMap<(SessionId, u64), Bytes>,
    pub(crate) shards: BTreeMap<ShardKey, (u64, u128, Bytes)>,
    /// Calls with a durable turn.
    pub(crate) recorded: BTreeSet<CallId>,
    /// The first attempt of each append.
    appends: BTreeMap<(SessionId, u64), AppendRow>,
    pub(crate) writes: u64,
    pub(crate) is_down: bool,
}

impl FakePlatform {
    /// Carries out a storage action and returns the event that reports its outcome.
    pub(crate) fn perform(
        &mut self,
        session: SessionId,
        action: &OwnerAction,
        fault: Fault,
    ) -> Option<OwnerEvent> {
        let fault = if self.is_down { Fault::Refused } else { fault };
        match action {
            OwnerAction::Append(append) => Some(self.append(session, append, fault)),
            OwnerAction::Checkpoint { sequence, bytes } => {
                if fault != Fault::Refused {
                    self.checkpoints.insert((session, *sequence), bytes.clone());
                }
                Some(OwnerEvent::CheckpointDone {
                    sequence: *sequence,
                    is_stored: fault == Fault::None,
                })
            }
            OwnerAction::Truncate {
                first,
                last,
                checkpoint,
            } => {
                if fault != Fault::Refused {
                    self.rows
                        .retain(|(owner, row), _| *owner != session || row < first || row > last);
                    checkpoint.and_then(|sequence| self.checkpoints.remove(&(session, sequence)));
                }
                None
            }
            OwnerAction::DeleteBodies { sequence } => {
                if fault != Fault::Refused {
                    self.bodies.remove(&(session, *sequence));
                }
                None
            }
            OwnerAction::Storage { ticket, request } => Some(OwnerEvent::StorageDone {
                ticket: *ticket,
                reply: self.serve(request, fault),
            }),
            _ => None,
        }
    }

    fn append(&mut self, session: SessionId, append: &AppendRow, fault: Fault) -> OwnerEvent {
        let sequence = append.sequence;
        let first = self
            .appends
            .entry((session, sequence))
            .or_insert_with(|| append.clone());
        assert_eq!(first, append, "a repeated append differs from its first attempt");
        let outcome = match fault {
            Fault::Refused => AppendOutcome::Unavailable,
            _ => self.create_row(session, append),
        };
        OwnerEvent::AppendDone {
            sequence,
            outcome: if fault == Fault::None {
                outcome
            } else {
                AppendOutcome::Unavailable
            },
        }
    }

    fn create_row(&mut self, session: SessionId, append: &AppendRow) -> AppendOutcome {
        self.writes += 1;
        if let Some(bodies) = &append.bodies {
            let old = self.bodies.insert((session, append.sequence), bodies.clone());
            assert!(old.is_none_or(|old| old == *bodies), "an object changed");
        }
        let value = (append.nonce, append.row.clone());
        let stored = self.rows.entry((session, append.sequence)).or_insert(value);
        if stored.0 != append.nonce {
            return AppendOutcome::Sealed;
        }
        let row = JournalRow::decode(&append.row).expect("an owner writes rows that decode");
        self.recorded
            .extend(row.records.iter().filter_map(|record| match record {
                JournalRecord::Turn(turn) => Some(turn.call),
                _ => None,
            }));
        AppendOutcome::Durable
    }

    fn serve(&mut self, request: &StorageRequest, fault: Fault) -> StorageReply {
        if fault == Fault::Refused {
            return StorageReply::Unavailable;
        }
        let reply = self.serve_request(request);
        if fault == Fault::None {
            reply
        } else {
            StorageReply::Unavailable
        }
    }

    fn serve_request(&mut self, request: &StorageRequest) -> StorageReply {
        match request {
            StorageRequest::ReadShardRow { shard } => {
                let stored = self.shards.get(shard).map(|(version, _, row)| StoredShardRow {
                    version: *version,
                    row: row.clone(),
                });
                StorageReply::ShardRow(stored)
            }
            StorageRequest::ReplaceShardRow {
                shard,
                version,
                row,
                nonce,
            } => self.replace_shard(*shard, *version, row, *nonce),
            StorageRequest::ReadJournal {
                session,
                after,
                limit,
            } => {
                let rows = self.rows.range((*session, after + 1)..=(*session, u64::MAX));
                let rows = rows
                    .take(*limit as usize)
                    .map(|((_, sequence), (_, row))| StoredRow {
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
                let value = (*nonce, row.clone());
                let stored = self.rows.entry((*session, *sequence)).or_insert(value);
                if stored.0 == *nonce {
                    StorageReply::Sealed
                } else {
                    StorageReply::Conflict
                }
            }
            StorageRequest::ReadCheckpoint { session, sequence } => {
                StorageReply::Object(self.checkpoints.get(&(*session, *sequence)).cloned())
            }
            StorageRequest::ReadBodies { session, sequence } => {
                StorageReply::Object(self.bodies.get(&(*session, *sequence)).cloned())
            }
        }
    }

    fn replace_shard(
        &mut self,
        shard: ShardKey,
        version: Option<u64>,
        row: &Bytes,
        nonce: u128,
    ) -> StorageReply {
        let present = self
            .shards
            .get(&shard)
            .map(|(version, nonce, _)| (*version, *nonce));
        let next = match present {
            Some((version, last)) if last == nonce => return StorageReply::Replaced { version },
            Some((present, _)) if version == Some(present) => present + 1,
            None if version.is_none() => 1,
            _ => return StorageReply::Conflict,
        };
        self.shards.insert(shard, (next, nonce, row.clone()));
        StorageReply::Replaced { version: next }
    }

    /// Reads the bodies of a plan and assembles the history, as a shell does.
    pub(crate) fn history(&self, plan: &HistoryPlan) -> serde_json::Value {
        let bodies: Vec<Option<Bytes>> = plan
            .places
            .iter()
            .map(|place| {
                let object = self.bodies.get(&(place.session, place.sequence))?;
                let start = place.span.offset as usize;
                Some(object.slice(start..start + place.span.length as usize))
            })
            .collect();
        let json = assemble_history(plan, &bodies).expect("the history is whole");
        serde_json::from_slice(&json).expect("the history is JSON")
    }
}
