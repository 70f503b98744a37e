//! The requests of a takeover to the platform, and their replies.

use bytes::Bytes;
use ebony_types::{SessionId, ShardKey};

/// Matches a reply to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestTicket(pub u64);

/// A request to the table service or the object store. The shell answers each one exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageRequest {
    /// Reads the row `shards/{shard}`; the reply is [`StorageReply::ShardRow`].
    ReadShardRow {
        /// The shard.
        shard: ShardKey,
    },
    /// Creates the row `shards/{shard}`, or replaces it if its version matches; the reply is
    /// [`StorageReply::Replaced`] or [`StorageReply::Conflict`]. After a lost reply, the row's nonce tells whether
    /// the write took effect.
    ReplaceShardRow {
        /// The shard.
        shard: ShardKey,
        /// The version that was read; `None` to create the row.
        version: Option<u64>,
        /// The encoded [`crate::shard::ShardRow`].
        row: Bytes,
        /// Identifies the write.
        nonce: u128,
    },
    /// Lists rows of a journal in order; the reply is [`StorageReply::JournalRows`].
    ReadJournal {
        /// The session.
        session: SessionId,
        /// Only rows after this sequence are listed.
        after: u64,
        /// The most rows in the reply. Fewer rows mean that the journal has no more.
        limit: u32,
    },
    /// Creates the row `journal/{session}/{sequence}` if it is absent, which ends that session's journal; the reply is
    /// [`StorageReply::Sealed`] or [`StorageReply::Conflict`].
    SealJournal {
        /// The session.
        session: SessionId,
        /// The sequence of the row.
        sequence: u64,
        /// The encoded row.
        row: Bytes,
        /// Identifies the write.
        nonce: u128,
    },
    /// Reads the object `checkpoint/{session}/{sequence}`; the reply is [`StorageReply::Object`].
    ReadCheckpoint {
        /// The session.
        session: SessionId,
        /// The last row that the checkpoint includes.
        sequence: u64,
    },
    /// Reads the object `bodies/{session}/{sequence}`; the reply is [`StorageReply::Object`].
    ReadBodies {
        /// The session.
        session: SessionId,
        /// The sequence of the row.
        sequence: u64,
    },
}

/// A journal row that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The sequence of the row.
    pub sequence: u64,
    /// The encoded row.
    pub row: Bytes,
}

/// A shard row that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredShardRow {
    /// The row's version.
    pub version: u64,
    /// The encoded row.
    pub row: Bytes,
}

/// The outcome of a storage request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageReply {
    /// The shard row, if it exists.
    ShardRow(Option<StoredShardRow>),
    /// The shard row was written.
    Replaced {
        /// The row's new version.
        version: u64,
    },
    /// Rows of a journal.
    JournalRows(Vec<StoredRow>),
    /// The journal was sealed by this request.
    Sealed,
    /// The object, if it exists.
    Object(Option<Bytes>),
    /// The row exists, or has another version, with the nonce of another write.
    Conflict,
    /// The outcome is unknown, or the platform is down.
    Unavailable,
}
