//! Kept conversations: finds the earlier turns of a conversation, and records a turn before its caller sees its end.
//!
//! A turn is recorded in the platform's store after its last event was read, and the end of its answer is sent only
//! once the store has the record. A record is looked up in memory, in the store and, while the store is slow, at other
//! gateways. Only a read of the store can show that a turn does not exist.

pub(crate) mod errors;
pub(crate) mod kept_turn;
pub(crate) mod rows;
pub(crate) mod store;

pub(crate) use errors::FindError;
pub(crate) use kept_turn::KeptTurn;
pub(crate) use store::ConversationStore;
