//! Stored conversations: records of turns, and reconstruction of a conversation from them.
//!
//! A caller that continues a conversation sends only its new input and the name of the previous turn. The target gets
//! the inputs and outputs of all earlier turns, followed by the new input. Each completely answered turn is stored as
//! one immutable [`TurnRecord`] in the platform's store under the name of the turn. A record lists its ancestors, so
//! that they can be read in parallel. After [`MAX_ANCESTORS`] turns, a record holds the whole conversation instead.
//! This limits both the number of rows to read on a cold start and the age of the rows that an active conversation
//! depends on.
//!
//! The crate does no I/O; gateways read and write the records.

pub mod cache;
pub mod chain;
pub mod record;

/// Re-exports the records, chains and the cache.
pub mod prelude {
    pub use crate::cache::TurnCache;
    pub use crate::chain::{ChainError, MAX_ANCESTORS, TurnChain, row_lifetime};
    pub use crate::record::{RecordError, TurnRecord};
}

pub use prelude::*;
