//! Sends calls to side processes and carries their answers back.

mod actor;
mod call;
mod directory;
mod link;
mod messages;

pub use actor::{DispatchActor, DispatchOptions};
pub use directory::{SideDirectory, SideKey};
pub use messages::{
    CallEnded, CallPlaced, ConfigPublished, FinishedAnswer, PlaceCall, ReadReadiness, ReleaseProgram,
    SettleCall, VouchPrograms,
};
