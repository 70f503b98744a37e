//! The side process: runs beside one or more targets and is the last hop of every call.
//!
//! Entries dial it. It queues calls, runs them on its targets, keeps what it needs to run a call at most once, and
//! reports load.

pub mod process;
pub mod target;

mod links;
mod run;

/// Re-exports the process and its handle.
pub mod prelude {
    pub use crate::process::{SideAddresses, SideProcess};
}

pub use prelude::*;
