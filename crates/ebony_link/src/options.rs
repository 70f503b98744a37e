//! Identity and options of links.

use std::sync::Arc;
use std::time::Duration;

use ebony_types::ProcessIncarnation;
use ebony_wire::{ClusterKey, LinkRole, PeerIdentity};

/// The identity of this process on its links.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// The secret key that all processes of the cluster share.
    pub key: ClusterKey,
    /// The process name from the settings.
    pub process: String,
    /// The process's role.
    pub role: LinkRole,
    /// The process's incarnation.
    pub incarnation: ProcessIncarnation,
}

impl LinkIdentity {
    /// Returns the part of the identity that is sent to the peer.
    pub fn to_peer(&self) -> PeerIdentity {
        PeerIdentity {
            process: self.process.clone(),
            role: self.role,
            incarnation: self.incarnation,
        }
    }
}

/// Limits and TLS configuration of links.
#[derive(Clone)]
pub struct LinkOptions {
    /// The longest time for opening a link, from connecting or accepting to the end of the handshake.
    pub open_timeout: Duration,
    /// The longest time without any frame from the peer before the link counts as failed.
    pub silence_limit: Duration,
    /// The capacity of the send queue in frames.
    pub queue_frames: usize,
    /// The most accepted links of a listener that may be open at once.
    pub max_links: usize,
    /// The TLS configuration of dialed links; `None` for plain TCP.
    pub client_tls: Option<Arc<rustls::ClientConfig>>,
    /// The TLS configuration of accepted links; `None` for plain TCP.
    pub server_tls: Option<Arc<rustls::ServerConfig>>,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            open_timeout: Duration::from_secs(2),
            silence_limit: Duration::from_secs(3),
            queue_frames: 4_096,
            max_links: 1_024,
            client_tls: None,
            server_tls: None,
        }
    }
}
