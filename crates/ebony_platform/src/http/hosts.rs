//! The host list over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use rustls::ClientConfig;

use super::client::HttpClient;
use super::limits::RequestLimits;
use super::{bare_call, failure, from_json};
use crate::host_list::{HostEntry, HostList};
use crate::protocol::HOSTS_ROUTE;

use crate::error::Result;

/// The host list over HTTP.
pub struct HttpHosts {
    client: HttpClient,
}

impl HttpHosts {
    /// Creates an adapter; connections are established as requests need them.
    ///
    /// # Errors
    ///
    /// Returns [`crate::PlatformError::Refused`] if the base URL is malformed or needs TLS.
    pub fn open(base_url: &str, limits: RequestLimits) -> Result<Self> {
        Self::open_tls(base_url, limits, None)
    }

    /// Creates an adapter for a base URL with the scheme `https`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::PlatformError::Refused`] if the base URL is malformed or needs TLS and no configuration is
    /// given.
    pub fn open_tls(base_url: &str, limits: RequestLimits, tls: Option<Arc<ClientConfig>>) -> Result<Self> {
        let client = HttpClient::open(base_url, limits, tls)?;
        Ok(Self { client })
    }
}

#[async_trait(?Send)]
impl HostList for HttpHosts {
    async fn fetch(&self) -> Result<Vec<HostEntry>> {
        let reply = self.client.exchange(bare_call("GET", HOSTS_ROUTE)).await?;
        from_json(&failure::check_status(reply)?.body)
    }
}
