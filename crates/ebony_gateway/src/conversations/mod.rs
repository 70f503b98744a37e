//! Kept conversations: finding what came before a turn, and recording the turn before its caller sees its end.
//!
//! A turn is recorded in the platform's store once its last event was read, and the end of its answer goes out only when
//! the store holds the record. A record is looked for in memory, in the store, and at other gateways while the store takes
//! long. Only a read of the store says that there is no such turn.

pub(crate) mod kept_turn;
pub(crate) mod rows;
pub(crate) mod store;

pub(crate) use kept_turn::KeptTurn;
pub(crate) use store::ConversationStore;
