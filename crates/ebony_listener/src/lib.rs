//! Ports for callers: accepts, limits and gracefully closes HTTP connections.
//!
//! When the servers of `actix-web` stop, they drop connections that were accepted but not yet served. A [`ServingPort`]
//! accepts and serves all connections that have arrived before it closes.
//!
//! A [`PortGuard`] limits what callers that are not controlled make the process hold: connections, heads, requests sent
//! ahead, bodies and unread answers. Connections of such a port are served by a [`guarded_service`].

mod acceptor;
mod body_reader;
mod budget;
mod connection;
mod guard;
mod guarded_stream;
pub mod host_limits;
mod port;
mod service;
mod tracked;

/// Re-exports all types.
pub mod prelude {
    pub use crate::acceptor::{PortEvent, ServingPort};
    pub use crate::body_reader::{BodyError, BodyReader};
    pub use crate::budget::{BudgetCharge, MemoryBudget};
    pub use crate::connection::ConnectionState;
    pub use crate::guard::{CloseReason, ConnectionTimes, PortGuard};
    pub use crate::guarded_stream::GuardedStream;
    pub use crate::port::BoundPort;
    pub use crate::service::{HttpOptions, PortClosing, guarded_service, plain_service, tls_service};
}

pub use prelude::*;

/// The result of starting a port.
pub type Result<T, E = anyhow::Error> = std::result::Result<T, E>;
