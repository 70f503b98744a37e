//! The gateway: forwards calls of callers to direct targets, and keeps what was promised to both.
//!
//! One process runs on each entry host and has no side processes. [`GatewayProcess`] binds its ports, follows the
//! configuration and the list of targets in the platform's store, and serves until it is drained. A call passes through
//! [`intake`], is placed by [`ebony_dispatch`], sent by [`channel`] and handed on by [`answer`]. The protocol is behind
//! [`ebony_dialect`].

pub mod accounts;
pub mod answer;
pub mod attempts;
pub mod call;
pub mod channel;
mod conversations;
mod crashes;
pub mod decision_log;
pub mod events;
pub mod fleet;
pub mod gateway;
pub mod intake;
mod leaving;
pub mod links;
pub mod listener;
pub mod metrics;
pub mod open_turn;
pub mod process;
pub mod refusal;
pub mod routed_call;
pub mod story;
pub mod sweeper;
pub mod target_run;
pub mod watch;

/// Re-exports the process and what it needs.
pub mod prelude {
    pub use crate::gateway::{GatewayDialect, GatewayStore};
    pub use crate::process::{GatewayAddresses, GatewayProcess, ServingGateway};
}

pub use prelude::*;
