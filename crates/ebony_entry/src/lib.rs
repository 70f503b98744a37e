//! The entry process: receives calls, owns programs, sends calls to side processes, and serves operators.
//!
//! [`EntryProcess`] is the whole process as a library, so that examples and tests can run it in their own process.

pub mod admin;
pub mod answer;
pub mod burn;
pub mod caller_api;
pub mod config;
pub mod dispatch;
pub mod owner;
pub mod peers;
pub mod process;

mod platform;
mod tls;

/// Re-exports the process and its addresses.
pub mod prelude {
    pub use crate::process::{EntryAddresses, EntryProcess, JoiningState, ServingState};
}

pub use prelude::*;
