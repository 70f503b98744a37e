//! Sends calls to side processes and relays their answers.
//!
//! [`DispatchActor`] performs the I/O for the decision crates: `ebony_membership` decides which side processes are
//! linked and which targets may receive work, `ebony_policy` admits, places and retries calls, and the crash tracker of
//! `ebony_ledger` decides which requests must not run again.

mod actor;
mod admission;
mod answers;
mod attempts;
mod call;
mod call_table;
mod config_push;
mod crash_reports;
mod crash_row_sync;
mod crash_rows;
mod crashes;
mod credit;
mod handlers;
mod link;
mod link_events;
mod load_orders;
mod loading;
mod membership;
mod messages;
mod metrics;
mod picker;
mod policy_settings;
mod program_memory;
mod programs;
mod retention;
mod side_table;
mod target_status;

pub use actor::{DispatchActor, DispatchOptions};
pub use messages::{
    CallEnded, CallPlaced, ConfigPublished, CrashesReported, DrainOutcome, DrainTarget, FinishedAnswer,
    PlaceCall, ReadCrashes, ReadReadiness, ReadTargets, ReleaseProgram, SetCrashRecipient, SettleCall,
    VouchPrograms,
};
pub use metrics::DispatchMetrics;
pub use policy_settings::{PolicyError, is_loading_on, read_policy};
pub use side_table::SideKey;
pub use target_status::{TargetPhase, TargetStatus};
