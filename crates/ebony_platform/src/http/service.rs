//! A plain service over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use rustls::ClientConfig;

use super::client::HttpClient;
use super::limits::RequestLimits;
use crate::service::{ServiceAnswer, ServiceCall, ServiceTarget};

use crate::error::Result;

/// A plain service over HTTP. Answers are passed through regardless of their status; redirects are not followed.
///
/// Header fields that concern a single connection are dropped in both directions, among them `Content-Length` and
/// `Transfer-Encoding`.
pub struct HttpService {
    client: HttpClient,
}

impl HttpService {
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
impl ServiceTarget for HttpService {
    async fn send(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        let reply = self.client.stream(call).await?;
        Ok(reply.into())
    }
}
