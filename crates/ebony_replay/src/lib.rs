//! Replays traces of programs against a running system over HTTP.
//!
//! [`replay`] sends what an [`ebony_trace::ReplayPlan`] says: it opens programs and sub-agents, sends streamed chat
//! completions and service calls, waits as long as a refusal states, checks each answer, and fills an
//! [`ebony_trace::ReplaySummary`]. [`ReplayHooks`] connect it to the deployment: they cause faults and read what targets
//! ran. [`run_command`] is the whole of `ebonyctl replay`. [`run_load`] measures the latency of equal calls.
//!
//! Everything runs in one actix system and needs its local tasks.

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
mod program_book;
mod progress;
mod target_runs;

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
