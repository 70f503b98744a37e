//! Events and decisions of [`EntryRegistry`](super::EntryRegistry).

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ebony_types::{HostName, ProcessIncarnation, SessionId, ShardKey};

use crate::host_hint::HostHint;

/// An input of the registry.
///
/// Every entry dials every other one. Link events concern only the links that this entry dialed; received frames count
/// from links in both directions. Once a newer link to or from a peer is up, the caller must drop frames of older ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryEvent {
    /// The hosts of entries in the host list; the own host is ignored. Not sent if the list could not be fetched.
    HostsListed(Vec<HostHint>),
    /// A link to a peer came up.
    LinkUp {
        /// The peer's host.
        peer: HostName,
        /// The incarnation of the peer, from the handshake.
        incarnation: ProcessIncarnation,
    },
    /// A peer sent its description.
    Presence {
        /// The peer's host.
        peer: HostName,
        /// The peer's session, if it has one.
        session: Option<SessionId>,
        /// Whether the peer is leaving.
        is_draining: bool,
        /// The shards that the peer owns and serves.
        shards: BTreeSet<ShardKey>,
    },
    /// A frame other than [`EntryEvent::Presence`] was received.
    FrameReceived {
        /// The peer's host.
        peer: HostName,
    },
    /// The link was lost, or the peer could not be dialed.
    LinkDown {
        /// The peer's host.
        peer: HostName,
    },
    /// Periodic timer, about every 250 ms.
    Tick,
}

/// An output of the registry: an action for the caller, or a change of a session's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryDecision {
    /// Dial the peer.
    Dial {
        /// The peer's host.
        peer: HostName,
        /// Its address.
        address: SocketAddr,
    },
    /// Send a ping.
    Ping {
        /// The peer's host.
        peer: HostName,
    },
    /// Close the link.
    CloseLink {
        /// The peer's host.
        peer: HostName,
    },
    /// The session has ended: its process has another session or another incarnation.
    SessionEnded {
        /// The session.
        session: SessionId,
    },
    /// No frame from the session's peer arrived for the length of the lease. A takeover may start.
    SessionSuspected {
        /// The session.
        session: SessionId,
    },
    /// A frame from the peer of a suspected session arrived.
    SessionRecovered {
        /// The session.
        session: SessionId,
    },
}

/// The status of another entry's session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionStatus {
    /// Its peer is not suspected.
    Live,
    /// No frame from its peer arrived for the length of the lease, or no peer has claimed the session.
    Suspected,
    /// Its process has another session or another incarnation.
    Ended,
    /// No peer has claimed the session, but this process may have started too recently to have learned of it.
    Unknown,
}
