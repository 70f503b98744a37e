//! Identifiers, verdicts, problems, budgets and limits that are shared by all crates of ebonyswitch.
//!
//! The crate has no I/O and no state. Types that are sent between processes implement the `serde` traits here, so that
//! all crates use the same encoding.

pub mod budget;
pub mod call;
pub mod clock_time;
pub mod customer;
pub mod id;
pub mod limits;
pub mod name;
pub mod problem;
pub mod rendezvous;
pub mod software_version;
pub mod verdict;

/// Re-exports the types that most crates need.
pub mod prelude {
    pub use crate::budget::{BudgetUse, ProgramBudget};
    pub use crate::call::{CallKind, CallRequest, CallUsage, HeaderField, RequestDigest};
    pub use crate::clock_time::ClockTime;
    pub use crate::customer::CustomerName;
    pub use crate::id::{CallId, FencingToken, ProcessIncarnation, ProgramId, SessionId, ShardKey};
    pub use crate::name::{
        CallerName, DomainName, HostName, IdempotencyKey, ModelName, ProgramName, ServiceName, TargetName,
        TurnName,
    };
    pub use crate::problem::{ProblemCode, ProblemReport};
    pub use crate::software_version::SoftwareVersion;
    pub use crate::verdict::RunVerdict;
}

pub use prelude::*;
