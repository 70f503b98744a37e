//! The port for callers: HTTP connections that are accepted, counted and closed as planned.
//!
//! The servers of `actix-web` drop connections that were accepted and not yet served when they stop. A [`BoundPort`] takes
//! what has arrived before it closes, and answers it.

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
