//! CBOR encoding of all values that the owner stores, with a format version and limits of size and nesting.
//!
//! A stored value is two CBOR items, the format version and the value, so that a reader refuses a newer format before
//! it interprets the value.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of all stored formats.
pub const FORMAT_VERSION: u16 = 1;

/// The deepest nesting of a stored value that is decoded. Checkpoints need fewer than 12 levels.
const MAX_DEPTH: usize = 24;

/// An error of encoding or decoding a stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CodecError {
    /// The value is larger than its limit.
    #[error("stored value of {bytes} bytes is larger than {limit}")]
    TooLarge {
        /// Size of the value in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The value has a newer or unknown format version.
    #[error("stored value has the unknown format version {0}")]
    UnknownVersion(u16),
    /// The bytes are not a valid value, or the value cannot be encoded.
    #[error("malformed stored value: {0}")]
    Malformed(String),
}

/// The result of encoding or decoding a stored value.
pub type Result<T, E = CodecError> = std::result::Result<T, E>;

/// Appends the CBOR encoding of a value to `bytes`.
pub(crate) fn append_item<T: Serialize>(value: &T, bytes: &mut Vec<u8>) -> Result<()> {
    ciborium::into_writer(value, bytes).map_err(|error| CodecError::Malformed(error.to_string()))
}

/// Decodes one CBOR item and advances `rest` past it.
pub(crate) fn take_item<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<T> {
    ciborium::de::from_reader_with_recursion_limit(rest, MAX_DEPTH)
        .map_err(|error| CodecError::Malformed(error.to_string()))
}

/// Decodes and checks the format version, and advances `rest` past it.
pub(crate) fn take_version(rest: &mut &[u8]) -> Result<()> {
    let version = take_item(rest)?;
    if version == FORMAT_VERSION {
        Ok(())
    } else {
        Err(CodecError::UnknownVersion(version))
    }
}

/// Returns an error if bytes follow a complete value.
pub(crate) fn expect_end(rest: &[u8]) -> Result<()> {
    if rest.is_empty() {
        Ok(())
    } else {
        Err(CodecError::Malformed(format!("{} trailing bytes", rest.len())))
    }
}

/// Returns an error if a value is larger than its limit.
pub(crate) fn expect_size(bytes: usize, limit: usize) -> Result<()> {
    if bytes <= limit {
        Ok(())
    } else {
        Err(CodecError::TooLarge { bytes, limit })
    }
}

/// Encodes the format version and a value.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] above `limit` bytes.
pub(crate) fn encode<T: Serialize>(value: &T, limit: usize) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    append_item(&FORMAT_VERSION, &mut bytes)?;
    append_item(value, &mut bytes)?;
    expect_size(bytes.len(), limit)?;
    Ok(bytes)
}

/// Decodes a value that follows the format version.
///
/// # Errors
///
/// Returns [`CodecError`] if the bytes exceed `limit`, have an unknown format version, or are not exactly one value.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T> {
    expect_size(bytes.len(), limit)?;
    let mut rest = bytes;
    take_version(&mut rest)?;
    let value = take_item(&mut rest)?;
    expect_end(rest)?;
    Ok(value)
}
