//! Kept conversations: what the system records of a turn, and how a later turn finds what came before it.
//!
//! A caller that continues a conversation sends only its new input and names the turn before it. The target gets the
//! inputs and outputs of all earlier turns, then the new input. Each turn that was answered whole is one immutable
//! [`TurnRecord`] in the platform's store, found by its name alone. A record names its ancestors, so that they are read
//! at once instead of one after the other. From time to time a record holds the whole conversation, which bounds both the
//! reads of a cold start and the age of the rows that a live conversation needs.
//!
//! The crate has no I/O. Gateways read and write the records.

pub mod cache;
pub mod chain;
pub mod record;

/// Re-exports all types.
pub mod prelude {
    pub use crate::cache::TurnCache;
    pub use crate::chain::{ChainError, MOST_ANCESTORS, TurnChain, row_lifetime};
    pub use crate::record::{RecordError, TurnRecord};
}

pub use prelude::*;
