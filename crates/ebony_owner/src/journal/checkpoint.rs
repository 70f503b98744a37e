//! Checkpoints: the state of a whole session, which replaces its older rows.

use bytes::Bytes;
use ebony_types::{FencingToken, SessionId, ShardKey};
use serde::{Deserialize, Serialize};

use super::record::BodyPlace;
use crate::codec::{self, Result};
use crate::intent::RetiredKey;
use crate::program::image::ProgramImage;
use crate::wall_time::WallTime;

/// The largest encoded checkpoint or shard state in bytes. 16,384 programs with 84 turns each take about 30 MiB.
pub const MAX_IMAGE_BYTES: usize = 256 * 1024 * 1024;

/// The durable state of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardImage {
    /// The shard.
    pub shard: ShardKey,
    /// The epoch of the ownership.
    pub epoch: FencingToken,
    /// Its programs in the order of their identifiers.
    pub programs: Vec<ProgramImage>,
    /// Keys of evicted one-call programs.
    pub retired: Vec<RetiredKey>,
}

impl ShardImage {
    /// Creates the state of a shard without programs and keys.
    pub fn empty(shard: ShardKey, epoch: FencingToken) -> Self {
        Self {
            shard,
            epoch,
            programs: Vec::new(),
            retired: Vec::new(),
        }
    }

    /// Returns `true` if there are no programs and no keys.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty() && self.retired.is_empty()
    }

    /// Encodes the state as the body of an adoption or release record.
    ///
    /// # Errors
    ///
    /// Returns [`codec::CodecError::TooLarge`] above [`MAX_IMAGE_BYTES`].
    pub fn encode(&self) -> Result<Bytes> {
        codec::encode(self, MAX_IMAGE_BYTES).map(Bytes::from)
    }

    /// Decodes the body of an adoption or release record.
    ///
    /// # Errors
    ///
    /// Returns [`codec::CodecError`] if the bytes are not exactly one shard state.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MAX_IMAGE_BYTES)
    }
}

/// A shard that the session has released. Its state stays readable until the session ends, because a successor may be
/// lost before it has adopted the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReleasedShard {
    /// The shard.
    pub shard: ShardKey,
    /// The epoch at which the session owned the shard.
    pub epoch: FencingToken,
    /// Where the state is stored; `None` if it is empty.
    pub state: Option<BodyPlace>,
}

/// The state of a session after all rows up to a sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CheckpointImage {
    /// The session.
    pub session: SessionId,
    /// The last row that the state includes.
    pub sequence: u64,
    /// When the state was taken, on the session's clock.
    pub written: WallTime,
    /// Shards that the session owns.
    pub shards: Vec<ShardImage>,
    /// Shards that the session has released and not adopted again.
    pub released: Vec<ReleasedShard>,
}

impl CheckpointImage {
    /// Encodes the checkpoint.
    ///
    /// # Errors
    ///
    /// Returns [`codec::CodecError::TooLarge`] above [`MAX_IMAGE_BYTES`].
    pub fn encode(&self) -> Result<Bytes> {
        codec::encode(self, MAX_IMAGE_BYTES).map(Bytes::from)
    }

    /// Decodes a checkpoint.
    ///
    /// # Errors
    ///
    /// Returns [`codec::CodecError`] if the bytes are not exactly one checkpoint.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MAX_IMAGE_BYTES)
    }
}
