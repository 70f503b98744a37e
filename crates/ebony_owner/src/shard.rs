//! The row of a shard, which names its owner.

use ebony_types::{FencingToken, SessionId};
use serde::{Deserialize, Serialize};

use crate::codec;

/// The result of encoding or decoding a shard row.
pub type Result<T, E = codec::CodecError> = std::result::Result<T, E>;

/// The largest encoded shard row in bytes.
const MAX_SHARD_ROW_BYTES: usize = 16 * 1024;

/// A session whose journal may hold the state of a shard, and the epoch at which it owned the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardOrigin {
    /// The session.
    pub session: SessionId,
    /// The epoch.
    pub epoch: FencingToken,
}

/// The row `shards/{shard}`.
///
/// ```
/// use ebony_owner::shard::ShardRow;
/// use ebony_types::{FencingToken, SessionId};
///
/// let row = ShardRow::owned(SessionId::from_bytes([1; 16]), FencingToken(3));
/// assert_eq!(ShardRow::decode(&row.encode()?)?, row);
/// # Ok::<(), ebony_owner::codec::CodecError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardRow {
    /// The session that owns the shard.
    pub owner: SessionId,
    /// The epoch, which rises with every change of the owner and fences orders to targets.
    pub epoch: FencingToken,
    /// The sessions whose journals may have the state, newest first; empty once the owner's journal has it.
    pub origins: Vec<ShardOrigin>,
}

impl ShardRow {
    /// Creates the row of a shard whose state is in its owner's journal.
    pub fn owned(owner: SessionId, epoch: FencingToken) -> Self {
        Self {
            owner,
            epoch,
            origins: Vec::new(),
        }
    }

    /// Returns the sessions whose journals may have the state, newest first: the owner, then the origins.
    pub fn candidates(&self) -> Vec<ShardOrigin> {
        let owner = ShardOrigin {
            session: self.owner,
            epoch: self.epoch,
        };
        std::iter::once(owner)
            .chain(self.origins.iter().copied())
            .collect()
    }

    /// Encodes the row.
    ///
    /// # Errors
    ///
    /// Returns [`codec::CodecError::TooLarge`] if there are too many origins.
    pub fn encode(&self) -> Result<Vec<u8>> {
        codec::encode(self, MAX_SHARD_ROW_BYTES)
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns [`codec::CodecError`] if the bytes are not exactly one row.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MAX_SHARD_ROW_BYTES)
    }
}
