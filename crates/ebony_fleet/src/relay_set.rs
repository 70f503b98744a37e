//! The relays of a fleet.

use std::net::SocketAddr;

use anyhow::Context;

use crate::relay::{ByteCount, ByteRelay, Result};
use crate::settings::PlatformUrls;

/// The prefix of URLs of stand-ins.
const SCHEME: &str = "http://";

/// Bytes in both directions, without those of TCP and IP headers. Processes that were replaced after the start of the
/// fleet are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetBytes {
    /// Between all processes and the platform's services.
    pub platform: u64,
    /// Between entries and side processes.
    pub links: u64,
    /// Between side processes and targets.
    pub targets: u64,
}

/// Relays in front of stand-ins and side processes, or nothing.
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
        let server = url.strip_prefix(SCHEME).context("the URL is not of HTTP")?;
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
