//! Ports for callers: accepts, limits and gracefully closes HTTP connections.
//!
//! When the servers of `actix-web` stop, they drop connections that were accepted but not yet served. A [`ServingPort`]
//! accepts and serves all connections that have arrived before it closes.

mod acceptor;
mod port;
mod service;

/// Re-exports all types.
pub mod prelude {
    pub use crate::acceptor::{PortEvent, ServingPort};
    pub use crate::port::BoundPort;
    pub use crate::service::{HttpOptions, PortClosing, plain_service, tls_service};
}

pub use prelude::*;

/// The result of starting a port.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;
