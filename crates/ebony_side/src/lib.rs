//! The side process: runs beside one or more targets and is the last hop of every call.
//!
//! Entries dial it. It queues calls, runs them on its targets, keeps what it needs to run a call at most once, sees to
//! it that engines hold no memory for programs that ended, and reports load.
//!
//! Before it has a configuration it serves calls with [`ebony_config::FleetValues::default`]: only the bounds of the
//! queue depend on the configuration, and a fleet whose side processes all restart would otherwise wait for it.

pub mod options;
pub mod process;
pub mod target;

mod actor;
mod links;
mod metrics;
mod run;

/// Re-exports the process and its handle.
pub mod prelude {
    pub use crate::process::{SideAddresses, SideProcess};
}

pub use prelude::*;
