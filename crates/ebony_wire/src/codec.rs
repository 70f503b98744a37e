//! CBOR encoding with bounds on size and depth.

use ebony_types::limits::MAX_FRAME_BYTES;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The deepest nesting that is decoded. Messages need fewer than 12 levels.
const MAX_DEPTH: usize = 32;

/// An error of encoding or decoding a frame.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum WireError {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is larger than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The bytes are not the expected message.
    #[error("malformed frame: {0}")]
    Malformed(String),
}

/// The result of encoding or decoding a frame.
pub type Result<T, E = WireError> = std::result::Result<T, E>;

/// Encodes a message as one CBOR value.
///
/// ```
/// use ebony_wire::{EntryFrame, decode, encode};
///
/// let bytes = encode(&EntryFrame::Ping { nonce: 7 })?;
/// assert!(matches!(decode(&bytes)?, EntryFrame::Ping { nonce: 7 }));
/// # Ok::<(), ebony_wire::WireError>(())
/// ```
///
/// # Errors
///
/// Returns [`WireError::TooLarge`] if the message exceeds the frame limit.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|error| WireError::Malformed(error.to_string()))?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message from one CBOR value. Trailing bytes are an error.
///
/// # Errors
///
/// Returns [`WireError`] if the bytes exceed the frame limit, nest too deeply, or are not the expected message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let message = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|error| WireError::Malformed(error.to_string()))?;
    if !rest.is_empty() {
        return Err(WireError::Malformed(format!("{} trailing bytes", rest.len())));
    }
    Ok(message)
}
