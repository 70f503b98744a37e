//! The programs that this entry owns: passes events to [`ebony_owner::OwnerCore`] and executes its actions.

mod actor;
mod handlers;
mod members;
mod messages;
mod open_call;
mod session;
mod storage;

pub use actor::{OwnerActor, OwnerOptions, wall_now};
pub use messages::{ConnectOwner, OwnerStatus, ReadStatus, StartDrain};
pub use storage::StorageClient;
