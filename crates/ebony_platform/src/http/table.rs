//! The table service over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use rustls::ClientConfig;
use serde::Serialize;

use super::client::{HttpClient, HttpReply};
use super::limits::RequestLimits;
use super::{failure, post_call};
use crate::error::PlatformError;
use crate::protocol::{
    CBOR_MEDIA_TYPE, CreateRequest, DeleteRequest, ListRequest, ReadRequest, ReplaceRequest, RowReply,
    VersionReply, from_cbor, table_route, to_cbor,
};
use crate::table::{RowKey, RowRecord, RowVersion, TableService, WriteNonce};

use crate::error::Result;

/// Status of the reply to a conditional write whose condition did not hold.
const CONFLICT_STATUS: u16 = 409;

/// The table service over HTTP.
pub struct HttpTable {
    client: HttpClient,
}

impl HttpTable {
    /// Creates an adapter; connections are established as requests need them.
    ///
    /// ```
    /// use ebony_platform::{HttpTable, RequestLimits};
    ///
    /// assert!(HttpTable::open("http://127.0.0.1:7100", RequestLimits::for_platform()).is_ok());
    /// assert!(HttpTable::open("127.0.0.1:7100", RequestLimits::for_platform()).is_err());
    /// ```
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

    async fn post(&self, route: &str, request: &impl Serialize) -> Result<HttpReply> {
        let call = post_call(route, CBOR_MEDIA_TYPE, to_cbor(request)?);
        let reply = self.client.exchange(call).await?;
        if reply.status == CONFLICT_STATUS {
            return Err(PlatformError::Conflict);
        }
        failure::check_status(reply)
    }
}

#[async_trait(?Send)]
impl TableService for HttpTable {
    async fn read(&self, key: &RowKey) -> Result<Option<RowRecord>> {
        let request = ReadRequest { key: key.clone() };
        let reply = self.post(table_route::READ, &request).await?;
        let row: Option<RowReply> = from_cbor(&reply.body)?;
        Ok(row.map(RowRecord::from))
    }

    async fn create(&self, key: &RowKey, value: Bytes, nonce: WriteNonce) -> Result<RowVersion> {
        let request = CreateRequest {
            key: key.clone(),
            nonce,
            value,
        };
        let reply = self.post(table_route::CREATE, &request).await?;
        let reply: VersionReply = from_cbor(&reply.body)?;
        Ok(reply.version)
    }

    async fn replace(
        &self,
        key: &RowKey,
        version: RowVersion,
        value: Bytes,
        nonce: WriteNonce,
    ) -> Result<RowVersion> {
        let request = ReplaceRequest {
            key: key.clone(),
            version,
            nonce,
            value,
        };
        let reply = self.post(table_route::REPLACE, &request).await?;
        let reply: VersionReply = from_cbor(&reply.body)?;
        Ok(reply.version)
    }

    async fn delete(&self, key: &RowKey, version: RowVersion) -> Result<()> {
        let request = DeleteRequest {
            key: key.clone(),
            version,
        };
        self.post(table_route::DELETE, &request).await?;
        Ok(())
    }

    async fn list(&self, prefix: &str, after: Option<&RowKey>, limit: u32) -> Result<Vec<RowRecord>> {
        let request = ListRequest {
            prefix: prefix.to_owned(),
            after: after.cloned(),
            limit,
        };
        let reply = self.post(table_route::LIST, &request).await?;
        let rows: Vec<RowReply> = from_cbor(&reply.body)?;
        Ok(rows.into_iter().map(RowRecord::from).collect())
    }
}
