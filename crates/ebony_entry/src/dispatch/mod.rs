//! Sends calls to side processes and carries their answers back.
//!
//! [`DispatchActor`] is the shell around the decision crates: membership decides which side processes are linked and
//! which targets may receive work, the policy admits, places and repeats calls, and the ledger's crash tracker says
//! which requests must not run again.

mod actor;
mod admission;
mod answers;
mod attempts;
mod call;
mod call_table;
mod config_push;
mod crash_reports;
mod crash_rows;
mod crash_sharing;
mod crashes;
mod credit;
mod handlers;
mod link;
mod link_events;
mod load_orders;
mod loading;
mod membership;
mod memory;
mod messages;
mod metrics;
mod pause_orders;
mod picker;
mod policy_settings;
mod programs;
mod side_table;
mod target_status;

pub use actor::{DispatchActor, DispatchOptions};
pub use messages::{
    CallEnded, CallPlaced, ConfigPublished, CrashesHeard, DrainOutcome, DrainTarget, FinishedAnswer,
    LinkDispatch, PlaceCall, ReadCrashes, ReadReadiness, ReadTargets, ReleaseProgram, SettleCall,
    VouchPrograms,
};
pub use metrics::DispatchMetrics;
pub use policy_settings::{PolicyError, is_loading_on, read_policy};
pub use side_table::SideKey;
pub use target_status::{TargetPhase, TargetStatus};
