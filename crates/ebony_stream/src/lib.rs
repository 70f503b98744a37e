//! Which software version began a stream.
//!
//! Targets of several versions may serve one service, and a stream that broke off can only be resumed at the version that
//! began it. The caller names the attempt that brought its first event, and may come to any gateway. A [`StreamBook`]
//! holds what a gateway knows:
//!
//! - the versions of each service that may have begun streams. The store has a row for each of them, which is written
//!   before the first stream begins at the version.
//! - the version of each stream that the gateway began, and of streams that other gateways recorded.
//!
//! While a service has one version, its streams need no record: [`StreamBook::verdict`] follows from the rows of versions
//! alone. Streams that run when a second version comes, and all that begin later, are recorded in a row of the gateway.
//! A stream whose version does not follow from either is not resumed.
//!
//! The crate does no I/O; gateways read and write the rows.

pub mod book;
pub mod digest;
pub mod row;

/// Re-exports the book and its rows.
pub mod prelude {
    pub use crate::book::{PeerFindings, StreamBook, StreamVerdict, VersionSource};
    pub use crate::digest::StreamDigest;
    pub use crate::row::{ReleaseStreams, ServiceRelease, StreamRow};
}

pub use prelude::*;
