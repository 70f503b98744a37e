//! The settings that only entry processes have.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

/// The settings of an entry process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The callers' HTTP interface.
    pub callers: CallerSettings,
    /// Link addresses of the other entries.
    pub peers: Vec<SocketAddr>,
    /// Ownership of programs.
    pub ownership: OwnershipSettings,
}

/// The callers' HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// The address for callers.
    pub listen: SocketAddr,
    /// TLS towards callers; plain HTTP if absent.
    pub tls: Option<CallerTls>,
}

/// Files for TLS towards callers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTls {
    /// The certificate chain in PEM.
    pub certificate: PathBuf,
    /// The private key in PEM.
    pub key: PathBuf,
    /// If set, callers need a certificate that chains to one of these certificates in PEM.
    pub authority: Option<PathBuf>,
}

/// Ownership of programs.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnershipSettings {
    /// Journal rows that all entries of the deployment together may write per second.
    pub writes_per_second: f64,
    /// The number of shards that programs are divided into.
    pub shards: u16,
    /// The time between two renewals of the session's lease.
    pub heartbeat: Duration,
    /// A session that is not renewed for this long may be taken over.
    pub lease: Duration,
}
