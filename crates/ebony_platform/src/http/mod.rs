//! Adapters over HTTP.
//!
//! Each adapter belongs to one thread, keeps a bounded number of connections and applies timeouts to every request
//! ([`RequestLimits`]). A request that got no connection has not run ([`crate::PlatformError::Refused`]). Once a
//! connection was established, a failure leaves the outcome unknown ([`crate::PlatformError::Unknown`]).

mod body;
mod client;
mod connector;
mod engine;
mod failure;
mod hosts;
mod limits;
mod objects;
mod service;
mod table;
mod weights;

pub use engine::HttpEngine;
pub use hosts::HttpHosts;
pub use limits::RequestLimits;
pub use objects::HttpObjects;
pub use service::HttpService;
pub use table::HttpTable;
pub use weights::HttpWeights;

pub use crate::error::Result;

use bytes::Bytes;
use ebony_types::HeaderField;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::PlatformError;
use crate::service::ServiceCall;

/// Creates a request without header fields or body.
fn bare_call(method: &str, path: impl Into<String>) -> ServiceCall {
    ServiceCall {
        method: method.to_owned(),
        path: path.into(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

/// Creates a POST request with a body of the given media type.
fn post_call(path: impl Into<String>, media_type: &str, body: Bytes) -> ServiceCall {
    ServiceCall {
        headers: vec![header_field("content-type", media_type)],
        body,
        ..bare_call("POST", path)
    }
}

fn header_field(name: &str, value: impl ToString) -> HeaderField {
    HeaderField {
        name: name.to_owned(),
        value: value.to_string(),
    }
}

fn to_json(message: &impl Serialize) -> Result<Bytes> {
    let bytes = serde_json::to_vec(message).map_err(|error| PlatformError::Refused(error.to_string()))?;
    Ok(Bytes::from(bytes))
}

fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| PlatformError::Malformed(error.to_string()))
}
