//! Seals and reads the journal of one session.
//!
//! A seal is effective only if it is the last row of the journal. A successor that read the tail long ago could
//! create its seal at a sequence whose row the owner has since deleted behind a checkpoint. The tail is therefore
//! read again after sealing, and the recovery restarts if there are rows after the seal.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ebony_types::{SessionId, ShardKey};

use crate::journal::checkpoint::CheckpointImage;
use crate::journal::replay::{JournalReplay, RecoveredShard};
use crate::journal::row::JournalRow;
use crate::storage::{StorageReply, StorageRequest, StoredRow};
use crate::wall_time::WallTime;

/// Rows per read. A row is at most half a MiB, so a reply stays within 16 MiB.
const PAGE_ROWS: u32 = 32;

/// The most restarts of a recovery before it fails. Each restart requires that the owner took a checkpoint in
/// between.
const MAX_RESTARTS: u32 = 4;

/// The state of the wanted shards at the end of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredJournal {
    /// The session.
    pub session: SessionId,
    /// Whether the journal is sealed, so that no row can follow.
    pub is_sealed: bool,
    /// The wanted shards that the session ever owned.
    pub shards: BTreeMap<ShardKey, RecoveredShard>,
    /// When the session wrote its last row, on its clock.
    pub last_written: WallTime,
}

/// The next step of a recovery after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Issue [`JournalRecovery::request`].
    Request,
    /// Repeat the request after a pause.
    Retry,
    /// The recovery is complete.
    Done(RecoveredJournal),
    /// The journal cannot be read.
    Failed(String),
}

#[derive(Debug)]
enum RecoveryState {
    Listing { after: u64 },
    Sealing { sequence: u64 },
    Verifying { sequence: u64 },
    Checkpoint { sequence: u64 },
    Bodies { replay: JournalReplay, next: usize },
}

/// Seals and reads one journal.
#[derive(Debug)]
pub struct JournalRecovery {
    session: SessionId,
    successor: SessionId,
    /// Whether the journal may be sealed. The journal of a live owner is only read, for shards that it released.
    may_seal: bool,
    wanted: BTreeSet<ShardKey>,
    written: WallTime,
    nonce: u128,
    rows: Vec<JournalRow>,
    is_sealed: bool,
    restarts: u32,
    state: RecoveryState,
}

impl JournalRecovery {
    /// Starts the recovery of a journal for the `wanted` shards. `written` is the time in the seal, and `nonce`
    /// identifies the write of the seal.
    pub fn start(
        session: SessionId,
        successor: SessionId,
        may_seal: bool,
        wanted: BTreeSet<ShardKey>,
        written: WallTime,
        nonce: u128,
    ) -> Self {
        Self {
            session,
            successor,
            may_seal,
            wanted,
            written,
            nonce,
            rows: Vec::new(),
            is_sealed: false,
            restarts: 0,
            state: RecoveryState::Listing { after: 0 },
        }
    }

    /// Returns the wanted shards.
    pub fn wanted(&self) -> &BTreeSet<ShardKey> {
        &self.wanted
    }

    /// Returns the request that the recovery waits for.
    pub fn request(&self) -> StorageRequest {
        let session = self.session;
        match &self.state {
            RecoveryState::Listing { after } => self.list_after(*after),
            RecoveryState::Verifying { sequence } => self.list_after(sequence - 1),
            RecoveryState::Sealing { sequence } => StorageRequest::SealJournal {
                session,
                sequence: *sequence,
                // A seal always fits. If it did not, an empty row would make this journal unreadable, but would not
                // lose a record.
                row: JournalRow::seal(session, *sequence, self.successor, self.written)
                    .unwrap_or_default()
                    .into(),
                nonce: self.nonce,
            },
            RecoveryState::Checkpoint { sequence } => StorageRequest::ReadCheckpoint {
                session,
                sequence: *sequence,
            },
            RecoveryState::Bodies { next, .. } => StorageRequest::ReadBodies {
                session,
                sequence: self.rows.get(*next).map_or(0, |row| row.header.sequence),
            },
        }
    }

    fn list_after(&self, after: u64) -> StorageRequest {
        StorageRequest::ReadJournal {
            session: self.session,
            after,
            limit: PAGE_ROWS,
        }
    }

    /// Handles the reply to the request.
    pub fn on_reply(&mut self, reply: StorageReply) -> RecoveryStep {
        match (&mut self.state, reply) {
            (_, StorageReply::Unavailable) => RecoveryStep::Retry,
            (RecoveryState::Listing { .. }, StorageReply::JournalRows(rows)) => self.on_listed(&rows),
            (RecoveryState::Sealing { sequence }, StorageReply::Sealed) => {
                self.state = RecoveryState::Verifying { sequence: *sequence };
                RecoveryStep::Request
            }
            (RecoveryState::Sealing { .. }, StorageReply::Conflict) => {
                self.state = RecoveryState::Listing {
                    after: self.last_sequence(),
                };
                RecoveryStep::Request
            }
            (RecoveryState::Verifying { .. }, StorageReply::JournalRows(rows)) => self.on_verified(&rows),
            (RecoveryState::Checkpoint { .. }, StorageReply::Object(object)) => self.on_checkpoint(object),
            (RecoveryState::Bodies { .. }, StorageReply::Object(object)) => self.on_bodies(object),
            (_, reply) => RecoveryStep::Failed(format!("unexpected reply {reply:?}")),
        }
    }

    fn last_sequence(&self) -> u64 {
        self.rows.last().map_or(0, |row| row.header.sequence)
    }

    fn on_listed(&mut self, rows: &[StoredRow]) -> RecoveryStep {
        if let Err(detail) = self.push_rows(rows) {
            return RecoveryStep::Failed(detail);
        }
        if rows.len() >= PAGE_ROWS as usize {
            self.state = RecoveryState::Listing {
                after: self.last_sequence(),
            };
            return RecoveryStep::Request;
        }
        if self.rows.last().is_some_and(JournalRow::is_seal) {
            self.is_sealed = true;
        } else if self.may_seal {
            let sequence = self.last_sequence() + 1;
            self.state = RecoveryState::Sealing { sequence };
            return RecoveryStep::Request;
        }
        self.start_replay()
    }

    fn push_rows(&mut self, rows: &[StoredRow]) -> Result<(), String> {
        for stored in rows {
            let row = JournalRow::decode(&stored.row)
                .map_err(|error| format!("row {} of {}: {error}", stored.sequence, self.session))?;
            if row.header.sequence != stored.sequence || row.header.session != self.session {
                return Err(format!(
                    "journal row {} of {} has another session or sequence in its header",
                    stored.sequence, self.session
                ));
            }
            self.rows.push(row);
        }
        Ok(())
    }

    fn on_verified(&mut self, rows: &[StoredRow]) -> RecoveryStep {
        if let Err(detail) = self.push_rows(rows) {
            return RecoveryStep::Failed(detail);
        }
        if rows.len() == 1 && self.rows.last().is_some_and(JournalRow::is_seal) {
            self.is_sealed = true;
            return self.start_replay();
        }
        self.restart()
    }

    fn restart(&mut self) -> RecoveryStep {
        self.rows.clear();
        self.is_sealed = false;
        self.state = RecoveryState::Listing { after: 0 };
        self.restarts += 1;
        if self.restarts <= MAX_RESTARTS {
            RecoveryStep::Retry
        } else {
            RecoveryStep::Failed(format!(
                "no consistent read of the journal of {} in {MAX_RESTARTS} restarts",
                self.session
            ))
        }
    }

    fn start_replay(&mut self) -> RecoveryStep {
        let checkpoint = self.rows.iter().filter_map(|row| row.header.checkpoint).max();
        match checkpoint {
            Some(sequence) => {
                self.state = RecoveryState::Checkpoint { sequence };
                RecoveryStep::Request
            }
            None => self.replay_from(None),
        }
    }

    fn on_checkpoint(&mut self, object: Option<Bytes>) -> RecoveryStep {
        // A live owner may have replaced the checkpoint since the rows were listed.
        let Some(object) = object else {
            return self.restart();
        };
        match CheckpointImage::decode(&object) {
            Ok(image) => self.replay_from(Some(image)),
            Err(error) => RecoveryStep::Failed(format!("checkpoint of {}: {error}", self.session)),
        }
    }

    fn replay_from(&mut self, checkpoint: Option<CheckpointImage>) -> RecoveryStep {
        let base = checkpoint.as_ref().map_or(0, |image| image.sequence);
        self.rows.retain(|row| row.header.sequence > base);
        let is_contiguous = (base + 1..)
            .zip(&self.rows)
            .all(|(sequence, row)| row.header.sequence == sequence);
        if !is_contiguous {
            return self.restart();
        }
        let replay = JournalReplay::start(self.session, self.wanted.clone(), checkpoint);
        self.replay_rows(replay, 0)
    }

    fn replay_rows(&mut self, mut replay: JournalReplay, first: usize) -> RecoveryStep {
        for (index, row) in self.rows.iter().enumerate().skip(first) {
            if replay.needs_bodies(row) {
                self.state = RecoveryState::Bodies { replay, next: index };
                return RecoveryStep::Request;
            }
            if let Err(error) = replay.apply(row, None) {
                return RecoveryStep::Failed(error.to_string());
            }
        }
        self.finish(replay)
    }

    fn on_bodies(&mut self, object: Option<Bytes>) -> RecoveryStep {
        let state = std::mem::replace(&mut self.state, RecoveryState::Listing { after: 0 });
        let RecoveryState::Bodies { mut replay, next } = state else {
            return RecoveryStep::Failed("unexpected object: no body was requested".to_owned());
        };
        let Some(row) = self.rows.get(next) else {
            return RecoveryStep::Failed("the row of a requested body is not in memory".to_owned());
        };
        match replay.apply(row, object.as_ref()) {
            Ok(()) => self.replay_rows(replay, next + 1),
            // A live owner deletes the bodies of an adoption that a later checkpoint replaces.
            Err(_) if !self.is_sealed => self.restart(),
            Err(error) => RecoveryStep::Failed(error.to_string()),
        }
    }

    fn finish(&self, replay: JournalReplay) -> RecoveryStep {
        let (shards, last_written) = replay.finish();
        RecoveryStep::Done(RecoveredJournal {
            session: self.session,
            is_sealed: self.is_sealed,
            shards,
            last_written,
        })
    }
}
