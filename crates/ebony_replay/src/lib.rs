//! Replays traces of programs against a running system over HTTP.
//!
//! [`replay`] executes an [`ebony_trace::ReplayPlan`]: it opens programs and sub-agents, sends streamed chat completions
//! and service calls, waits as long as a refusal states, checks each answer, and records the results in an
//! [`ebony_trace::ReplaySummary`]. [`ReplayHooks`] connect it to the deployment: they inject faults and read the runs of
//! targets. [`run_command`] implements `ebonyctl replay`. [`run_load`] measures the latency of uniform calls.
//!
//! All functions must run in an actix system, because they spawn local tasks.

pub mod check;
pub mod client;
pub mod command;
pub mod driver;
pub mod hooks;
pub mod load;
pub mod options;
pub mod standin_hooks;

mod calls;
mod event_stream;
mod program_table;
mod progress;
mod run_sequencer;

/// Re-exports the driver, its options and hooks.
pub mod prelude {
    pub use crate::check::AnswerCheck;
    pub use crate::command::{OutputFormat, ReplayCommand, run_command};
    pub use crate::driver::{ReplayRun, replay};
    pub use crate::hooks::{NoHooks, ReplayHooks, TargetRun};
    pub use crate::load::{LoadOptions, LoadReport, run_load};
    pub use crate::options::{CallerKeys, ReplayOptions};
    pub use crate::standin_hooks::StandinHooks;
}

pub use prelude::*;
