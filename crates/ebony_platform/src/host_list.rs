//! The platform's list of hosts. It lags behind the actual state of the hosts.

use std::net::SocketAddr;

use async_trait::async_trait;
use ebony_types::{DomainName, HostName};
use serde::{Deserialize, Serialize};

pub use crate::error::Result;

/// The kind of process that runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry process.
    Entry,
    /// A side process beside a target.
    Side,
}

/// Whether a host is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// The host.
    pub host: HostName,
    /// The kind of process that runs on it.
    pub role: HostRole,
    /// The address at which its process accepts links.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is leaving.
    pub state: HostState,
}

/// The host list.
#[async_trait(?Send)]
pub trait HostList {
    /// Returns all hosts.
    async fn fetch(&self) -> Result<Vec<HostEntry>>;
}
