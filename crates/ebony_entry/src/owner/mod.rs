//! The programs that this entry owns: carries events into [`ebony_owner::OwnerCore`] and its actions out.

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
