//! Rebuilds the state of shards from a checkpoint and the rows after it.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ebony_types::{FencingToken, ProgramId, SessionId, ShardKey};

use super::checkpoint::{CheckpointImage, ShardImage};
use super::record::{AdoptedRecord, BodyPlace, BodySpan, JournalRecord};
use super::row::JournalRow;
use crate::codec::{CodecError, Result};
use crate::intent::RetiredKey;
use crate::program::image::ProgramImage;
use crate::program::turn_body::slice_object;
use crate::wall_time::WallTime;

/// The state of a shard at the end of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveredShard {
    /// The session owned the shard, with this state.
    Owned(ShardImage),
    /// The session released the shard.
    Released {
        /// The epoch at which it owned the shard.
        epoch: FencingToken,
        /// Where the state is stored; `None` if it is empty.
        state: Option<BodyPlace>,
    },
}

impl RecoveredShard {
    /// Returns the epoch at which the session owned the shard.
    pub fn epoch(&self) -> FencingToken {
        match self {
            Self::Owned(image) => image.epoch,
            Self::Released { epoch, .. } => *epoch,
        }
    }
}

#[derive(Debug)]
enum ReplayShard {
    Owned {
        epoch: FencingToken,
        programs: BTreeMap<ProgramId, ProgramImage>,
        retired: Vec<RetiredKey>,
    },
    Released {
        epoch: FencingToken,
        state: Option<BodyPlace>,
    },
}

impl ReplayShard {
    fn owned(image: ShardImage) -> Self {
        Self::Owned {
            epoch: image.epoch,
            programs: image
                .programs
                .into_iter()
                .map(|program| (program.program, program))
                .collect(),
            retired: image.retired,
        }
    }
}

/// Replays the journal of one session for the shards that a successor wants.
#[derive(Debug)]
pub struct JournalReplay {
    session: SessionId,
    wanted: BTreeSet<ShardKey>,
    shards: BTreeMap<ShardKey, ReplayShard>,
    last_written: WallTime,
}

impl JournalReplay {
    /// Starts from a checkpoint, or from an empty state.
    pub fn start(
        session: SessionId,
        wanted: BTreeSet<ShardKey>,
        checkpoint: Option<CheckpointImage>,
    ) -> Self {
        let mut replay = Self {
            session,
            wanted,
            shards: BTreeMap::new(),
            last_written: WallTime::default(),
        };
        if let Some(image) = checkpoint {
            replay.load(image);
        }
        replay
    }

    fn load(&mut self, image: CheckpointImage) {
        self.last_written = image.written;
        for shard in image.shards {
            if self.wanted.contains(&shard.shard) {
                self.shards.insert(shard.shard, ReplayShard::owned(shard));
            }
        }
        for released in image.released {
            let (epoch, state) = (released.epoch, released.state);
            if self.wanted.contains(&released.shard) {
                self.shards
                    .insert(released.shard, ReplayShard::Released { epoch, state });
            }
        }
    }

    /// Returns `true` if the row adopts a wanted shard, so that its body object is needed to replay it.
    pub fn needs_bodies(&self, row: &JournalRow) -> bool {
        row.records.iter().any(|record| match record {
            JournalRecord::Adopted(adopted) => {
                adopted.state.length > 0 && self.wanted.contains(&adopted.shard)
            }
            _ => false,
        })
    }

    /// Applies the records of the next row. `bodies` is the body object of the row; it may be `None` unless
    /// [`JournalReplay::needs_bodies`] returns `true`.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if an adopted state is missing or malformed.
    pub fn apply(&mut self, row: &JournalRow, bodies: Option<&Bytes>) -> Result<()> {
        if !row.is_seal() {
            self.last_written = self.last_written.max(row.header.written);
        }
        for record in &row.records {
            match record {
                JournalRecord::Adopted(adopted) => self.adopt(adopted, row.header.sequence, bodies)?,
                JournalRecord::Released(released) if self.wanted.contains(&released.shard) => {
                    let state = self.place(row.header.sequence, released.state);
                    let epoch = released.epoch;
                    self.shards
                        .insert(released.shard, ReplayShard::Released { epoch, state });
                }
                record => self.apply_program(record, row.header.sequence),
            }
        }
        Ok(())
    }

    fn place(&self, sequence: u64, span: BodySpan) -> Option<BodyPlace> {
        (span.length > 0).then_some(BodyPlace {
            session: self.session,
            sequence,
            span,
        })
    }

    fn adopt(&mut self, record: &AdoptedRecord, sequence: u64, bodies: Option<&Bytes>) -> Result<()> {
        if !self.wanted.contains(&record.shard) {
            return Ok(());
        }
        let image = match self.place(sequence, record.state) {
            None => ShardImage::empty(record.shard, record.epoch),
            Some(place) => {
                let bytes = bodies.and_then(|object| slice_object(object, place));
                let bytes = bytes.ok_or_else(|| {
                    CodecError::Malformed(format!("the state adopted in row {sequence} is missing"))
                })?;
                ShardImage::decode(&bytes)?
            }
        };
        self.shards.insert(record.shard, ReplayShard::owned(image));
        Ok(())
    }

    fn apply_program(&mut self, record: &JournalRecord, sequence: u64) {
        let Some(program) = record.program() else {
            return;
        };
        let Some(ReplayShard::Owned { programs, .. }) = self.shards.get_mut(&program.shard()) else {
            return;
        };
        if let JournalRecord::Opened(opened) = record {
            programs
                .entry(program)
                .or_insert_with(|| ProgramImage::open(opened));
        }
        if let Some(image) = programs.get_mut(&program) {
            image.apply(record, self.session, sequence);
        }
    }

    /// Returns the state of each wanted shard that the session ever owned, and the time of the last row before a
    /// seal.
    pub fn finish(self) -> (BTreeMap<ShardKey, RecoveredShard>, WallTime) {
        let shards = self
            .shards
            .into_iter()
            .map(|(shard, replay)| (shard, recovered(shard, replay)));
        (shards.collect(), self.last_written)
    }
}

fn recovered(shard: ShardKey, replay: ReplayShard) -> RecoveredShard {
    match replay {
        ReplayShard::Released { epoch, state } => RecoveredShard::Released { epoch, state },
        ReplayShard::Owned {
            epoch,
            programs,
            retired,
        } => RecoveredShard::Owned(ShardImage {
            shard,
            epoch,
            programs: programs.into_values().collect(),
            retired,
        }),
    }
}
