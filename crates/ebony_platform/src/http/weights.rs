//! The weight store over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use ebony_types::ModelName;
use rustls::ClientConfig;

use super::client::HttpClient;
use super::limits::RequestLimits;
use super::{failure, post_call, to_json};
use crate::protocol::{JSON_MEDIA_TYPE, TRANSFERS_ROUTE, TransferRequest};
use crate::weight_store::WeightStore;

use crate::error::Result;

/// The weight store over HTTP.
pub struct HttpWeights {
    client: HttpClient,
}

impl HttpWeights {
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
impl WeightStore for HttpWeights {
    async fn begin_transfer(&self, model: &ModelName) -> Result<()> {
        let request = TransferRequest { model: model.clone() };
        let call = post_call(TRANSFERS_ROUTE, JSON_MEDIA_TYPE, to_json(&request)?);
        failure::check_status(self.client.exchange(call).await?)?;
        Ok(())
    }
}
