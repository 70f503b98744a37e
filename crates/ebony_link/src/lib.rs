//! Links between the system's processes.
//!
//! A link is a WebSocket connection, over TLS if configured, between two processes that have proved to each other that
//! they hold the cluster key. Each frame carries one CBOR value. [`dial()`] opens a link and [`LinkListener`] accepts
//! links. Both yield an [`OpenLink`], which splits into a [`LinkSender`] with a bounded queue and a [`LinkReceiver`].

pub mod dial;
pub mod error;
pub mod listener;
pub mod open_link;
pub mod options;
pub mod stream;
pub mod tls;

/// Re-exports the ends of a link and the means to open one.
pub mod prelude {
    pub use crate::dial::dial;
    pub use crate::error::LinkError;
    pub use crate::listener::LinkListener;
    pub use crate::open_link::{LinkReceiver, LinkSender, OpenLink};
    pub use crate::options::{LinkIdentity, LinkOptions};
}

pub use prelude::*;
