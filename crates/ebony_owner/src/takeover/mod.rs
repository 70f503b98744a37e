//! Takeover of shards from a former owner.
//!
//! Two state machines share the work. [`JournalRecovery`] seals and reads the journal of one session, for all shards
//! that are wanted from it. [`ShardTakeover`] reads the row of one shard, finds the journal that has its state, and
//! replaces the row. Neither does I/O: each returns the one storage request that it waits for.

pub mod recovery;
pub mod shard_takeover;

pub use recovery::{JournalRecovery, RecoveredJournal, RecoveryStep};
pub use shard_takeover::{AdoptedState, ShardTakeover, TakeoverStep};
