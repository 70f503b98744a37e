//! What the host list says of a host.

use std::net::SocketAddr;

use ebony_types::{DomainName, HostName};

/// The most hosts that a registry takes from the host list. Further ones, in the order of their names, are ignored.
/// The design scale is 12,000 engines.
pub const MAX_LISTED_HOSTS: usize = 16_384;

/// One host of the host list, of the role that the registry is for. The list lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostHint {
    /// The host.
    pub host: HostName,
    /// The address of its process for links.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is about to be taken away.
    pub is_leaving: bool,
}
