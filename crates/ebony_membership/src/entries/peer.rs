//! State of one other entry.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ebony_types::{ClockTime, HostName, SessionId, ShardKey};

use crate::dialed_link::DialedLink;
use crate::host_hint::HostHint;

#[derive(Clone, Debug)]
pub(super) struct PeerRecord {
    pub(super) host: HostName,
    pub(super) address: SocketAddr,
    pub(super) is_listed: bool,
    pub(super) is_listed_leaving: bool,
    pub(super) link: DialedLink,
    /// When the last frame arrived over a link in either direction; initially when the host was first listed.
    pub(super) last_frame_at: ClockTime,
    pub(super) session: Option<SessionId>,
    pub(super) is_draining: bool,
    pub(super) shards: BTreeSet<ShardKey>,
    pub(super) is_suspected: bool,
}

impl PeerRecord {
    pub(super) fn new(hint: HostHint, now: ClockTime) -> Self {
        Self {
            host: hint.host,
            address: hint.address,
            is_listed: true,
            is_listed_leaving: hint.is_leaving,
            link: DialedLink::new(now),
            last_frame_at: now,
            session: None,
            is_draining: false,
            shards: BTreeSet::new(),
            is_suspected: false,
        }
    }

    /// Returns `true` if the peer may take over the shards of another entry.
    pub(super) fn may_take_over(&self) -> bool {
        self.session.is_some() && !self.is_suspected && !self.is_draining && !self.is_listed_leaving
    }

    /// Returns `true` if the record can be removed. A suspected session does not need it: the owner learns from the
    /// table that the session was taken over.
    pub(super) fn is_removable(&self) -> bool {
        let has_no_live_session = self.session.is_none() || self.is_suspected;
        !self.is_listed && self.link.is_absent() && self.link.incarnation().is_none() && has_no_live_session
    }
}
