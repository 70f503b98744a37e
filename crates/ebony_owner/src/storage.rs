//! Requests of a takeover to the platform, and their replies.

use bytes::Bytes;
use ebony_types::{SessionId, ShardKey};

/// Pairs a reply with its request.
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
    /// [`StorageReply::Replaced`] or [`StorageReply::Conflict`]. After a lost reply, the row's nonce tells whether the
    /// write took effect.
    ReplaceShardRow {
        /// The shard.
        shard: ShardKey,
        /// The version that was read; `None` to create the row.
        version: Option<u64>,
        /// The row's value, a [`crate::shard::ShardRow`].
        row: Bytes,
        /// Marks the write.
        nonce: u128,
    },
    /// Lists rows of a journal in order; the reply is [`StorageReply::JournalRows`].
    ReadJournal {
        /// The session.
        session: SessionId,
        /// Only rows behind this one are listed.
        after: u64,
        /// The most rows of the reply. Fewer rows mean that there are no more.
        limit: u32,
    },
    /// Creates the row `journal/{session}/{sequence}` if it is absent, which ends that session's journal; the reply is
    /// [`StorageReply::Sealed`] or [`StorageReply::Conflict`].
    SealJournal {
        /// The session.
        session: SessionId,
        /// The row's number.
        sequence: u64,
        /// The row's value.
        row: Bytes,
        /// Marks the write.
        nonce: u128,
    },
    /// Reads the object `checkpoint/{session}/{sequence}`; the reply is [`StorageReply::Object`].
    ReadCheckpoint {
        /// The session.
        session: SessionId,
        /// The checkpoint's sequence.
        sequence: u64,
    },
    /// Reads the object `bodies/{session}/{sequence}`; the reply is [`StorageReply::Object`].
    ReadBodies {
        /// The session.
        session: SessionId,
        /// The row's number.
        sequence: u64,
    },
}

/// A row of a journal as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The row's number.
    pub sequence: u64,
    /// The row's value.
    pub row: Bytes,
}

/// A shard row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredShardRow {
    /// The row's version.
    pub version: u64,
    /// The row's value.
    pub row: Bytes,
}

/// How a storage request ended.
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
    /// The journal's next row was created by this request.
    Sealed,
    /// The object, if it exists.
    Object(Option<Bytes>),
    /// The write lost: the row exists, or has another version, and another nonce.
    Conflict,
    /// The outcome is unknown, or the platform is down.
    Unavailable,
}
