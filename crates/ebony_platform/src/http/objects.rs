//! The object store over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use rustls::ClientConfig;

use super::client::HttpClient;
use super::limits::RequestLimits;
use super::{bare_call, failure};
use crate::error::PlatformError;
use crate::object_store::ObjectStore;
use crate::protocol::OBJECT_ROUTE;
use crate::service::ServiceCall;

use crate::error::Result;

/// Status of the reply to a read or deletion of an object that does not exist.
const NOT_FOUND_STATUS: u16 = 404;

/// Characters of a key that are percent-encoded: all except the slash and those that RFC 3986 leaves unreserved.
const KEY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// The object store over HTTP.
pub struct HttpObjects {
    client: HttpClient,
}

impl HttpObjects {
    /// Creates an adapter; connections are established as requests need them.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] if the base URL is malformed or needs TLS.
    pub fn open(base_url: &str, limits: RequestLimits) -> Result<Self> {
        Self::open_tls(base_url, limits, None)
    }

    /// Creates an adapter for a base URL with the scheme `https`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] if the base URL is malformed or needs TLS and no configuration is given.
    pub fn open_tls(base_url: &str, limits: RequestLimits, tls: Option<Arc<ClientConfig>>) -> Result<Self> {
        let client = HttpClient::open(base_url, limits, tls)?;
        Ok(Self { client })
    }
}

fn object_call(method: &str, key: &str) -> Result<ServiceCall> {
    let is_valid = key.split('/').all(|segment| !matches!(segment, "" | "." | ".."));
    if !is_valid {
        return Err(PlatformError::Refused(format!("malformed object key {key:?}")));
    }
    let key = utf8_percent_encode(key, KEY_ESCAPES);
    Ok(bare_call(method, format!("{OBJECT_ROUTE}{key}")))
}

#[async_trait(?Send)]
impl ObjectStore for HttpObjects {
    async fn put(&self, key: &str, bytes: Bytes) -> Result<()> {
        let call = ServiceCall {
            body: bytes,
            ..object_call("PUT", key)?
        };
        failure::check_status(self.client.exchange(call).await?)?;
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>> {
        let reply = self.client.exchange(object_call("GET", key)?).await?;
        if reply.status == NOT_FOUND_STATUS {
            return Ok(None);
        }
        let reply = failure::check_status(reply)?;
        Ok(Some(reply.body))
    }

    async fn delete(&self, key: &str) -> Result<()> {
        let reply = self.client.exchange(object_call("DELETE", key)?).await?;
        if reply.status != NOT_FOUND_STATUS {
            failure::check_status(reply)?;
        }
        Ok(())
    }
}
