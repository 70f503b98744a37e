//! Taking over a shard from a former owner.
//!
//! Two state machines share the work. [`JournalRecovery`] seals and reads the journal of one session, for all shards
//! that are wanted from it. [`ShardTakeover`] walks from the shard row to the state of one shard and replaces the row.
//! Neither does I/O: each names the one storage request that it waits for.

pub mod recovery;
pub mod shard_takeover;

pub use recovery::{JournalRecovery, RecoveredJournal, RecoveryStep};
pub use shard_takeover::{AdoptedState, ShardTakeover, TakeoverStep};
