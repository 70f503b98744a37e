//! Starts whole deployments of real processes and stand-ins on loopback, for tests and examples.
//!
//! A [`RunningFleet`] consists of stand-ins for the table service, object store, host list, weight store, engines and
//! plain services, and of real entry and side processes, which can be stopped, killed, paused and replaced. A
//! [`CallerClient`] sends requests to an entry as a caller does.

pub mod audit;
pub mod caller;
pub mod child;
mod controls;
pub mod directory;
pub mod document;
mod domain_outage;
mod ending;
pub mod fleet;
mod folder;
mod lifecycle;
mod proxies;
pub mod relay;
pub mod relay_set;
mod routing;
pub mod settings;
pub mod workload;

/// Re-exports the fleet, its options and the client.
pub mod prelude {
    pub use crate::audit::AuditReport;
    pub use crate::caller::{CallReply, CallerClient};
    pub use crate::child::{ChildProcess, StopSignal};
    pub use crate::directory::EntryDirectory;
    pub use crate::document::{CALLER_KEY, OPERATOR_KEY, OTHER_CALLER_KEY, caller_key};
    pub use crate::fleet::{FleetOptions, MemberPlace, RunningFleet};
    pub use crate::relay_set::FleetBytes;
    pub use crate::workload::{CallerOutcome, PlanEnding, ProgramLog, ProgramPlan, ProgramRunner};
}

pub use prelude::*;
