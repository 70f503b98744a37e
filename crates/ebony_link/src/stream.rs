//! The transport of links: WebSocket over TCP or TLS.

use tokio::io::{AsyncRead, AsyncWrite};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use ebony_types::limits::MAX_FRAME_BYTES;

/// A byte stream that can carry a link.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for T {}

/// The WebSocket connection of a link.
pub(crate) type LinkSocket = WebSocketStream<Box<dyn ByteStream>>;

/// The most bytes that the WebSocket layer buffers before it reports that the stream is blocked.
const MAX_WRITE_BUFFER_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Returns the configuration of the WebSocket layer.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .write_buffer_size(0)
        .max_write_buffer_size(MAX_WRITE_BUFFER_BYTES)
        .read_buffer_size(16 * 1024)
}
