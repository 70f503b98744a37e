//! Options of links.

use std::sync::Arc;
use std::time::Duration;

use ebony_types::ProcessIncarnation;
use ebony_wire::{ClusterKey, LinkRole, PeerIdentity};

/// Who this process is on its links.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// The secret that all processes share.
    pub key: ClusterKey,
    /// The process's name from its settings.
    pub process: String,
    /// The process's role.
    pub role: LinkRole,
    /// The process's incarnation.
    pub incarnation: ProcessIncarnation,
}

impl LinkIdentity {
    /// Returns what the other end learns.
    pub fn to_peer(&self) -> PeerIdentity {
        PeerIdentity {
            process: self.process.clone(),
            role: self.role,
            incarnation: self.incarnation,
        }
    }
}

/// Limits and encryption of links.
#[derive(Clone)]
pub struct LinkOptions {
    /// The longest time from the first packet to the end of the handshake.
    pub open_timeout: Duration,
    /// A link on which nothing arrives for this long is closed.
    pub silence_limit: Duration,
    /// Frames that wait to be sent.
    pub queue_frames: usize,
    /// Links that a listener holds at once.
    pub max_links: usize,
    /// TLS for dialed links.
    pub client_tls: Option<Arc<rustls::ClientConfig>>,
    /// TLS for accepted links.
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
