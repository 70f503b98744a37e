//! The routing configuration for direct targets: routes, services and limits, as set by operators.
//!
//! A [`RoutingTable`] is one version of that configuration. It is immutable: a newer version replaces it as a whole.
//! The crate does no I/O and defines no encoding.

pub mod customer;
pub mod directory;
pub mod route;
pub mod service;
pub mod table;

/// Re-exports the table, its rules and limits.
pub mod prelude {
    pub use crate::customer::{CallerIdentity, CustomerFault, CustomerRule, FaultKind, KeyDigest};
    pub use crate::directory::{CustomerDirectory, KeyError};
    pub use crate::route::{CallSemantics, ProgramRule, RouteRule, ServiceShare};
    pub use crate::service::{EngineRule, ServiceRule};
    pub use crate::table::{CallerLimits, RoutingTable, RoutingVersion};
}

pub use prelude::*;
