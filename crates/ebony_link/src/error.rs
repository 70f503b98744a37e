//! Errors of links.

use std::io;

use ebony_types::RunVerdict;
use ebony_wire::WireError;
use ebony_wire::handshake::HandshakeError;
use tokio_tungstenite::tungstenite;

/// The reason why a link could not be opened or used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The WebSocket layer failed.
    #[error("WebSocket failed: {0}")]
    Socket(#[from] Box<tungstenite::Error>),
    /// The peer does not hold the cluster key, or sent an unexpected handshake message.
    #[error("handshake failed: {0}")]
    Handshake(#[from] HandshakeError),
    /// A frame could not be encoded or decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The link did not open within the open timeout, or nothing arrived within the silence limit.
    #[error("the peer did not respond within the time limit")]
    TimedOut,
    /// The link is closed.
    #[error("the link is closed")]
    Closed,
    /// The send queue is full.
    #[error("the link's send queue is full")]
    QueueFull,
}

impl LinkError {
    /// Returns whether a message that failed with this error may have taken effect.
    ///
    /// A message that was not queued has not been sent, so it has not run. Any other may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::QueueFull | Self::Closed | Self::Wire(WireError::TooLarge(_)) => RunVerdict::NotRun,
            _ => RunVerdict::MayHaveRun,
        }
    }
}

/// The result of an operation on a link.
pub type Result<T, E = LinkError> = std::result::Result<T, E>;
