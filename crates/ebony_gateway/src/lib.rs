//! The gateway forwards calls from callers directly to targets, without side processes.
//!
//! One process runs on each entry host. [`GatewayProcess`] binds its ports, follows the configuration and the list of
//! targets in the platform's store, and serves until it is drained. [`intake`] reads a call, [`ebony_dispatch`] chooses
//! its target, [`target_client`] sends it and [`answer`] forwards the answer. [`ebony_dialect`] defines the protocol.

pub mod accounts;
mod admission;
pub mod answer;
pub mod attempts;
pub mod call;
pub mod call_log;
mod conversations;
mod crashes;
mod customers;
pub mod decision_log;
mod event_timer;
pub mod events;
pub mod fleet;
pub mod gateway;
mod identity;
pub mod intake;
mod leaving;
mod limits;
pub mod links;
pub mod listener;
pub mod metrics;
pub mod open_turn;
mod own_row;
pub mod process;
mod quotas;
pub mod refusal;
pub mod routed_call;
mod streams;
pub mod sweeper;
pub mod target_client;
pub mod target_run;
mod target_spread;
pub mod watch;

/// The process and the types that a program needs to run it.
pub mod prelude {
    pub use crate::gateway::{GatewayDialect, GatewayStore};
    pub use crate::process::{GatewayAddresses, GatewayProcess, ServingGateway};
}

pub use prelude::*;
