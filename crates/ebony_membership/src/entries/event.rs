//! What happens to the other entries, and what follows.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ebony_types::{HostName, ProcessIncarnation, SessionId, ShardKey};

use crate::host_hint::HostHint;

/// Something that a shell has seen.
///
/// Every entry dials every other one. Link events are about the links that this entry dialed; frames count from links in
/// both directions. Once a newer link to or from a peer is up, the shell drops the frames of older ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryEvent {
    /// The hosts of entries in the host list. The own host is ignored. A failed fetch is no event.
    HostsListed(Vec<HostHint>),
    /// A link to a peer came up.
    LinkUp {
        /// The peer's host.
        peer: HostName,
        /// The life of the peer, from the handshake.
        incarnation: ProcessIncarnation,
    },
    /// A peer described itself.
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
    /// Another frame was received.
    Heard {
        /// The peer's host.
        peer: HostName,
    },
    /// The link was lost, or the peer could not be dialed.
    LinkDown {
        /// The peer's host.
        peer: HostName,
    },
    /// Time has passed. A shell sends it about every 250 ms.
    Tick,
}

/// Something that a shell has to do.
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
    HangUp {
        /// The peer's host.
        peer: HostName,
    },
    /// The session has ended: its process has another session, or another life.
    SessionEnded {
        /// The session.
        session: SessionId,
    },
    /// The session's peer was silent for longer than its lease. A takeover may start.
    SessionSuspected {
        /// The session.
        session: SessionId,
    },
    /// The session's peer was heard of again.
    SessionRecovered {
        /// The session.
        session: SessionId,
    },
}

/// What is known of a session of another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionStanding {
    /// Its peer was heard of within the lease.
    Live,
    /// Its peer has been silent for longer than the lease, or no peer has ever claimed the session.
    Suspected,
    /// Its process has another session, or another life.
    Ended,
    /// No peer has claimed the session, but this process has not run for long.
    Unheard,
}
