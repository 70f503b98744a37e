//! The side process runs next to one or more targets and is the last hop of every call.
//!
//! Entries connect to it. It queues calls, runs them on its targets, stores the state that ensures that a call runs at
//! most once, releases the engine memory of programs that ended, and reports load.
//!
//! Until it receives a configuration, it serves calls with [`ebony_config::FleetValues::default`]. Only the queue
//! limits depend on the configuration, and calls would otherwise be blocked whenever all side processes of a fleet
//! restart.

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
