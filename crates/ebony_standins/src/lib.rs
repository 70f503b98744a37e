//! Stand-ins for the platform, a fault-injecting proxy and a load generator, for tests and examples.
//!
//! Each stand-in is started by a `spawn` function in the running actix system and listens on the loopback address. It
//! records what it receives. Its control port returns these records and injects faults, also from another process.
//! docs/standins.md describes the protocols.

mod control_client;
mod counters;
pub mod engine;
pub mod hosts;
mod lagged;
pub mod load;
pub mod objects;
pub mod proxy;
mod rate_limit;
mod server;
pub mod service;
mod settings_cell;
mod standin_set;
pub mod table;
pub mod weights;

pub use control_client::StandinControl;
pub use server::control::{HttpKind, StandinKind};
pub use server::faults::{FaultSettings, FaultsStats, OutageMode};
pub use server::{PortOptions, StandinAddress, StandinHandle};
pub use standin_set::{StandinOptions, StandinSet};
