//! The byte-counting relays of a fleet.

use std::net::SocketAddr;

use anyhow::Context;

use crate::relay::{ByteCount, ByteRelay, Result};
use crate::settings::PlatformUrls;

/// The prefix of all stand-in URLs.
const SCHEME: &str = "http://";

/// Payload bytes in both directions, without TCP and IP headers. Links to side processes that were replaced after the
/// start of the fleet bypass the relays and are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetBytes {
    /// Between all processes and the platform's services.
    pub platform: u64,
    /// Between entries and side processes.
    pub links: u64,
    /// Between side processes and targets.
    pub targets: u64,
}

/// The relays to stand-ins and side processes. Without counting, there are none and addresses are passed through.
pub(crate) struct RelaySet {
    is_counting: bool,
    relays: Vec<ByteRelay>,
    platform: ByteCount,
    links: ByteCount,
    targets: ByteCount,
}

impl RelaySet {
    pub(crate) fn new(is_counting: bool) -> Self {
        Self {
            is_counting,
            relays: Vec::new(),
            platform: ByteCount::default(),
            links: ByteCount::default(),
            targets: ByteCount::default(),
        }
    }

    fn relay(&mut self, server: SocketAddr, count: ByteCount) -> Result<SocketAddr> {
        if !self.is_counting {
            return Ok(server);
        }
        let relay = ByteRelay::spawn(server, count)?;
        let address = relay.address();
        self.relays.push(relay);
        Ok(address)
    }

    fn relay_url(&mut self, url: &str) -> Result<String> {
        let server = url
            .strip_prefix(SCHEME)
            .context("the URL does not start with http://")?;
        let address = self.relay(server.trim_end_matches('/').parse()?, self.platform.clone())?;
        Ok(format!("{SCHEME}{address}"))
    }

    pub(crate) fn relay_platform(&mut self, urls: PlatformUrls) -> Result<PlatformUrls> {
        Ok(PlatformUrls {
            table: self.relay_url(&urls.table)?,
            objects: self.relay_url(&urls.objects)?,
            hosts: self.relay_url(&urls.hosts)?,
            weights: self.relay_url(&urls.weights)?,
        })
    }

    pub(crate) fn relay_link(&mut self, side: SocketAddr) -> Result<SocketAddr> {
        self.relay(side, self.links.clone())
    }

    pub(crate) fn relay_target(&mut self, target: SocketAddr) -> Result<SocketAddr> {
        self.relay(target, self.targets.clone())
    }

    pub(crate) fn bytes(&self) -> FleetBytes {
        FleetBytes {
            platform: self.platform.bytes(),
            links: self.links.bytes(),
            targets: self.targets.bytes(),
        }
    }
}
