//! The byte stream below a link: TCP, or TLS over TCP.

use tokio::io::{AsyncRead, AsyncWrite};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use ebony_types::limits::MAX_FRAME_BYTES;

/// A stream that a link can run over.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for T {}

/// The WebSocket connection of a link.
pub(crate) type LinkSocket = WebSocketStream<Box<dyn ByteStream>>;

/// Bytes that the socket layer buffers before it reports that the stream is blocked.
const MAX_WRITE_BUFFER_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Returns the limits of the WebSocket layer.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .write_buffer_size(0)
        .max_write_buffer_size(MAX_WRITE_BUFFER_BYTES)
        .read_buffer_size(16 * 1024)
}
