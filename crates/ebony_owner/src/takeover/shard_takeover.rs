//! Takeover of one shard, from its row to its adopted state.
//!
//! The row names the owner and, until the owner has adopted the shard, the session whose journal has the state. The
//! takeover searches the journals of these sessions, newest first, for the adoption of the shard at the epoch that
//! the row gives. A session whose sealed journal does not contain it can never adopt the shard any more, so the new
//! row names only the session that has the state, and the list of origins does not grow with each lost successor.

use std::collections::VecDeque;

use ebony_types::{FencingToken, SessionId, ShardKey};

use super::recovery::RecoveredJournal;
use crate::journal::checkpoint::ShardImage;
use crate::journal::record::BodyPlace;
use crate::journal::replay::RecoveredShard;
use crate::program::turn_body::slice_object;
use crate::shard::{ShardOrigin, ShardRow};
use crate::storage::{StorageReply, StorageRequest, StoredShardRow};
use crate::wall_time::WallTime;

/// The state with which a new owner adopts a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptedState {
    /// The state as the former owner recorded it, with the new epoch.
    pub image: ShardImage,
    /// Whether the former owner released the shard. If not, the owner was lost, possibly with calls in progress.
    pub is_released: bool,
    /// When the former owner wrote its last row, on its own clock; `None` without a former owner.
    pub last_written: Option<WallTime>,
    /// The version of the new shard row.
    pub version: u64,
    /// Whether the shard row names origins, which are removed once the adoption is durable.
    pub has_origins: bool,
}

/// The next step of a takeover after a reply or a recovered journal.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverStep {
    /// Issue [`ShardTakeover::request`].
    Request,
    /// Repeat the request after a pause.
    Retry,
    /// Recover the journal of the session [`ShardTakeover::journal`].
    Recover,
    /// Record the state as adopted: the shard row names the successor.
    Adopt(Box<AdoptedState>),
    /// Abandon the takeover, because another session owns the shard or replaced its row first.
    GiveUp(&'static str),
    /// Abandon the takeover, because the state cannot be read.
    Failed(String),
}

#[derive(Debug)]
struct FoundRow {
    version: Option<u64>,
    row: Option<ShardRow>,
    candidates: VecDeque<ShardOrigin>,
}

#[derive(Debug)]
enum TakeoverState {
    ReadingRow,
    AwaitingJournal(FoundRow),
    Loading {
        found: FoundRow,
        place: BodyPlace,
        last_written: WallTime,
    },
    Replacing {
        version: Option<u64>,
        row: ShardRow,
        adopted: Box<AdoptedState>,
    },
    Ended,
}

/// Takes over one shard.
#[derive(Debug)]
pub struct ShardTakeover {
    shard: ShardKey,
    successor: SessionId,
    nonce: u128,
    state: TakeoverState,
}

impl ShardTakeover {
    /// Starts the takeover by `successor`. `nonce` identifies the write of the shard row.
    pub fn start(shard: ShardKey, successor: SessionId, nonce: u128) -> Self {
        Self {
            shard,
            successor,
            nonce,
            state: TakeoverState::ReadingRow,
        }
    }

    /// Returns the request that the takeover waits for; `None` while it waits for a journal or has ended.
    pub fn request(&self) -> Option<StorageRequest> {
        let shard = self.shard;
        match &self.state {
            TakeoverState::ReadingRow => Some(StorageRequest::ReadShardRow { shard }),
            TakeoverState::Loading { place, .. } => Some(StorageRequest::ReadBodies {
                session: place.session,
                sequence: place.sequence,
            }),
            TakeoverState::Replacing { version, row, .. } => Some(StorageRequest::ReplaceShardRow {
                shard,
                version: *version,
                row: row.encode().ok()?.into(),
                nonce: self.nonce,
            }),
            TakeoverState::AwaitingJournal(_) | TakeoverState::Ended => None,
        }
    }

    /// Returns the session whose journal the takeover waits for, if it waits for one.
    pub fn journal(&self) -> Option<SessionId> {
        match &self.state {
            TakeoverState::AwaitingJournal(found) => found.candidates.front().map(|origin| origin.session),
            _ => None,
        }
    }

    /// Handles the reply to the request.
    pub fn on_reply(&mut self, reply: StorageReply) -> TakeoverStep {
        if reply == StorageReply::Unavailable {
            return TakeoverStep::Retry;
        }
        match (std::mem::replace(&mut self.state, TakeoverState::Ended), reply) {
            (TakeoverState::ReadingRow, StorageReply::ShardRow(row)) => self.on_row(row),
            (
                TakeoverState::Loading {
                    found,
                    place,
                    last_written,
                },
                StorageReply::Object(object),
            ) => {
                let bytes = object.and_then(|object| slice_object(&object, place));
                match bytes.map(|bytes| ShardImage::decode(&bytes)) {
                    Some(Ok(image)) => self.replace(found, image, true, Some(last_written)),
                    _ => TakeoverStep::Failed(
                        "the state of the released shard is missing or malformed".to_owned(),
                    ),
                }
            }
            (TakeoverState::Replacing { mut adopted, .. }, StorageReply::Replaced { version }) => {
                adopted.version = version;
                TakeoverStep::Adopt(adopted)
            }
            (TakeoverState::Replacing { .. }, StorageReply::Conflict) => {
                TakeoverStep::GiveUp("another session replaced the shard row")
            }
            (_, reply) => TakeoverStep::Failed(format!("unexpected reply {reply:?}")),
        }
    }

    fn on_row(&mut self, stored: Option<StoredShardRow>) -> TakeoverStep {
        let Some(stored) = stored else {
            let found = FoundRow {
                version: None,
                row: None,
                candidates: VecDeque::new(),
            };
            return self.search_journals(found);
        };
        match ShardRow::decode(&stored.row) {
            Ok(row) => self.search_journals(FoundRow {
                version: Some(stored.version),
                candidates: row.candidates().into(),
                row: Some(row),
            }),
            Err(error) => TakeoverStep::Failed(format!("shard row {}: {error}", self.shard)),
        }
    }

    fn search_journals(&mut self, found: FoundRow) -> TakeoverStep {
        if found.candidates.is_empty() {
            // No session ever adopted the shard, so it has no state.
            let image = ShardImage::empty(self.shard, FencingToken(0));
            return self.replace(found, image, true, None);
        }
        self.state = TakeoverState::AwaitingJournal(found);
        TakeoverStep::Recover
    }

    /// Handles the recovered journal of the session [`ShardTakeover::journal`].
    pub fn on_journal(&mut self, journal: &mut RecoveredJournal) -> TakeoverStep {
        let state = std::mem::replace(&mut self.state, TakeoverState::Ended);
        let TakeoverState::AwaitingJournal(mut found) = state else {
            return TakeoverStep::Failed("no journal was requested".to_owned());
        };
        let Some(origin) = found.candidates.front().copied() else {
            return self.search_journals(found);
        };
        let last_written = journal.last_written;
        match journal
            .shards
            .get(&self.shard)
            .filter(|shard| shard.epoch() == origin.epoch)
        {
            Some(RecoveredShard::Released {
                state: Some(place), ..
            }) => {
                self.state = TakeoverState::Loading {
                    found,
                    place: *place,
                    last_written,
                };
                TakeoverStep::Request
            }
            Some(RecoveredShard::Released { state: None, .. }) => {
                let image = ShardImage::empty(self.shard, origin.epoch);
                self.replace(found, image, true, Some(last_written))
            }
            Some(RecoveredShard::Owned(_)) if !journal.is_sealed => {
                TakeoverStep::GiveUp("the owner is live and has not released the shard")
            }
            Some(RecoveredShard::Owned(image)) => {
                let image = image.clone();
                self.replace(found, image, false, Some(last_written))
            }
            None if journal.is_sealed || origin.session == self.successor => {
                found.candidates.pop_front();
                self.search_journals(found)
            }
            None => TakeoverStep::GiveUp("the owner is live and has not adopted the shard yet"),
        }
    }

    fn replace(
        &mut self,
        found: FoundRow,
        mut image: ShardImage,
        is_released: bool,
        last_written: Option<WallTime>,
    ) -> TakeoverStep {
        let former = found.row.as_ref().map_or(0, |row| row.epoch.0);
        image.epoch = FencingToken(former + 1);
        let row = ShardRow {
            owner: self.successor,
            epoch: image.epoch,
            origins: found.candidates.front().copied().into_iter().collect(),
        };
        let adopted = Box::new(AdoptedState {
            image,
            is_released,
            last_written,
            version: 0,
            has_origins: !row.origins.is_empty(),
        });
        self.state = TakeoverState::Replacing {
            version: found.version,
            row,
            adopted,
        };
        TakeoverStep::Request
    }
}
