//! Entries of the host list.

use std::net::SocketAddr;

use ebony_types::{DomainName, HostName};

/// Maximum number of hosts that a registry takes from the host list, in the order of their names; the rest is ignored.
/// The design scale is 12,000 engines.
pub const MAX_LISTED_HOSTS: usize = 16_384;

/// A host from the host list, which lags. Callers pass only hosts of the role that the registry tracks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostHint {
    /// The host.
    pub host: HostName,
    /// The address at which its process accepts links.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether the host is about to be removed.
    pub is_leaving: bool,
}
