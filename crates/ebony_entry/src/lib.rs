//! The entry process: accepts calls, owns programs, dispatches calls to side processes, and serves operators.
//!
//! [`EntryProcess`] provides the complete process as a library, so that examples and tests can run it in-process.

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
