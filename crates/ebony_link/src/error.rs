//! Errors of links.

use std::io;

use ebony_types::RunVerdict;
use ebony_wire::WireError;
use ebony_wire::handshake::HandshakeError;
use tokio_tungstenite::tungstenite;

/// Says why a link could not be opened or used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The WebSocket layer failed.
    #[error("web socket failed: {0}")]
    Socket(#[from] Box<tungstenite::Error>),
    /// The other end does not hold the cluster key, or spoke out of turn.
    #[error("handshake failed: {0}")]
    Handshake(#[from] HandshakeError),
    /// A frame could not be encoded or decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Nothing arrived for longer than the silence limit.
    #[error("the peer was silent for too long")]
    Silent,
    /// The link is closed.
    #[error("the link is closed")]
    Closed,
    /// The send queue is full.
    #[error("the link's send queue is full")]
    QueueFull,
}

impl LinkError {
    /// Returns the verdict on a message that could not be sent because of this error.
    ///
    /// A message that never entered the queue has not been sent; any other may have been.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::QueueFull | Self::Closed | Self::Wire(WireError::TooLarge(_)) => RunVerdict::NotRun,
            _ => RunVerdict::MayHaveRun,
        }
    }
}

/// The result of an operation on a link.
pub type Result<T, E = LinkError> = std::result::Result<T, E>;
