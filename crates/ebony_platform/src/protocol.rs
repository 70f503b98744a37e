//! Routes, header names and messages of the platform's HTTP protocols.
//!
//! The adapters in [`crate::http`] and the stand-ins of the external systems share these definitions. docs/standins.md
//! describes them.

use bytes::Bytes;
use ebony_types::{FencingToken, ModelName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::engine::EngineOrder;
use crate::error::PlatformError;
use crate::table::{RowKey, RowRecord, RowVersion, WriteNonce};

pub use crate::error::Result;

/// Header field with the identifier of a call.
pub const CALL_HEADER: &str = "ebony-call";

/// Header field with the program of a call.
pub const PROGRAM_HEADER: &str = "ebony-program";

/// Header field with the priority of a call; lower values run first.
pub const PRIORITY_HEADER: &str = "ebony-priority";

/// Header field with the incarnation of an engine or a service.
pub const INCARNATION_HEADER: &str = "ebony-incarnation";

/// Header field with the idempotency key of a call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Media type of the table service's messages.
pub const CBOR_MEDIA_TYPE: &str = "application/cbor";

/// Media type of all other messages.
pub const JSON_MEDIA_TYPE: &str = "application/json";

/// Routes of the table service. Each takes a POST of one CBOR message.
pub mod table_route {
    /// Takes a [`super::ReadRequest`], returns an optional [`super::RowReply`].
    pub const READ: &str = "/v1/table/read";
    /// Takes a [`super::CreateRequest`], returns a [`super::VersionReply`].
    pub const CREATE: &str = "/v1/table/create";
    /// Takes a [`super::ReplaceRequest`], returns a [`super::VersionReply`].
    pub const REPLACE: &str = "/v1/table/replace";
    /// Takes a [`super::DeleteRequest`], returns no body.
    pub const DELETE: &str = "/v1/table/delete";
    /// Takes a [`super::ListRequest`], returns a list of [`super::RowReply`].
    pub const LIST: &str = "/v1/table/list";
}

/// Route prefix of the object store; the percent-encoded key follows.
pub const OBJECT_ROUTE: &str = "/v1/objects/";

/// Route of the host list.
pub const HOSTS_ROUTE: &str = "/v1/hosts";

/// Route of the weight store.
pub const TRANSFERS_ROUTE: &str = "/v1/transfers";

/// Routes of a model engine.
pub mod engine_route {
    /// Takes a chat completion.
    pub const COMPLETE: &str = "/v1/chat/completions";
    /// Path prefix of a call; its identifier follows. GET with the query parameter `offset` resumes, DELETE cancels.
    pub const CALLS: &str = "/v1/calls/";
    /// Returns the load report.
    pub const LOAD: &str = "/v1/load";
    /// Returns cache notices with a sequence number above the query parameter `after`.
    pub const NOTICES: &str = "/v1/cache/notices";
    /// Returns the programs that the engine holds KV cache for.
    pub const PROGRAMS: &str = "/v1/cache/programs";
    /// Takes an [`super::OrderRequest`].
    pub const ORDERS: &str = "/v1/orders";
}

/// Asks the table service for a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReadRequest {
    /// The key of the row.
    pub key: RowKey,
}

/// Asks the table service to create a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CreateRequest {
    /// The key of the row.
    pub key: RowKey,
    /// Identifies the write, so that the writer can recognize it in a later read.
    pub nonce: WriteNonce,
    /// The value.
    pub value: Bytes,
}

/// Asks the table service to replace a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// The key of the row.
    pub key: RowKey,
    /// The version that the row must have.
    pub version: RowVersion,
    /// Identifies the write, so that the writer can recognize it in a later read.
    pub nonce: WriteNonce,
    /// The value.
    pub value: Bytes,
}

/// Asks the table service to delete a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DeleteRequest {
    /// The key of the row.
    pub key: RowKey,
    /// The version that the row must have.
    pub version: RowVersion,
}

/// Asks the table service for rows in key order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListRequest {
    /// The prefix of the keys.
    pub prefix: String,
    /// The list starts after this key.
    pub after: Option<RowKey>,
    /// Maximum number of rows.
    pub limit: u32,
}

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowReply {
    /// The key.
    pub key: RowKey,
    /// The version.
    pub version: RowVersion,
    /// The nonce of the last write.
    pub nonce: WriteNonce,
    /// The value.
    pub value: Bytes,
}

impl From<RowReply> for RowRecord {
    fn from(row: RowReply) -> Self {
        Self {
            key: row.key,
            version: row.version,
            nonce: row.nonce,
            value: row.value,
        }
    }
}

/// The version of a row after a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionReply {
    /// The version.
    pub version: RowVersion,
}

/// An order with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRequest {
    /// The order.
    pub order: EngineOrder,
    /// The token of the sender.
    pub token: FencingToken,
}

/// Body of a reply with status 409, which refuses an order because of its fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FencedReply {
    /// The highest token that the engine has received.
    pub highest: u64,
}

/// Asks the weight store to transfer a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TransferRequest {
    /// The model.
    pub model: ModelName,
}

/// Encodes a message as CBOR.
///
/// ```
/// use ebony_platform::protocol::{ReadRequest, from_cbor, to_cbor};
/// use ebony_platform::RowKey;
///
/// let request = ReadRequest { key: RowKey("shards/0007".into()) };
/// assert_eq!(from_cbor::<ReadRequest>(&to_cbor(&request)?)?, request);
/// # Ok::<(), ebony_platform::PlatformError>(())
/// ```
///
/// # Errors
///
/// Returns [`PlatformError::Refused`] if the message cannot be encoded, because nothing has been sent yet.
pub fn to_cbor(message: &impl Serialize) -> Result<Bytes> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|error| PlatformError::Refused(error.to_string()))?;
    Ok(Bytes::from(bytes))
}

/// Decodes a message from CBOR.
///
/// # Errors
///
/// Returns [`PlatformError::Malformed`] if the bytes are not a valid encoding of `T`.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    ciborium::from_reader(bytes).map_err(|error| PlatformError::Malformed(error.to_string()))
}
