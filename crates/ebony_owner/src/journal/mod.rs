//! The write-ahead log of a session: records, rows, the writer, checkpoints and replay.
//!
//! A session appends rows with the key `(session, sequence)`, where `sequence` starts at 1. One row holds the records
//! of many programs. No change becomes visible to callers or targets before its record is durable.

mod batch;
pub mod checkpoint;
pub(crate) mod compact;
pub mod record;
pub mod replay;
pub mod row;
pub mod writer;

pub use crate::codec::{CodecError, Result};
pub use checkpoint::{CheckpointImage, ReleasedShard, ShardImage};
pub use record::{
    AdoptedRecord, AnsweredRecord, BodyPlace, BodySpan, EndedRecord, IntendedRecord, JournalRecord,
    KeyOutcome, OpenedRecord, ReleasedRecord, ReservedRecord, TurnRecord,
};
pub use replay::{JournalReplay, RecoveredShard};
pub use row::{JournalRow, RowHeader};
pub use writer::{
    AppendOutcome, AppendProgress, AppendRow, JournalWriter, OpenJournal, RecordGroup, SealedJournal,
};
