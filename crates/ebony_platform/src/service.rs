//! Access to plain services.

use async_trait::async_trait;
use bytes::Bytes;
use ebony_types::HeaderField;
use futures_util::stream::LocalBoxStream;

pub use crate::error::Result;

/// A request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query, with a leading slash.
    pub path: String,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
}

/// The answer of a plain service or an engine: status, header fields and a streamed body.
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// Body. An error in the stream means that the body is incomplete.
    pub body: LocalBoxStream<'static, Result<Bytes>>,
}

/// A plain service.
#[async_trait(?Send)]
pub trait ServiceTarget {
    /// Sends a request. Dropping the answer's body cancels the request.
    async fn send(&self, call: ServiceCall) -> Result<ServiceAnswer>;
}
