//! One other entry.

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
    /// The last time at which a frame arrived over a link in either direction, or at which the host was first listed.
    pub(super) heard_at: ClockTime,
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
            heard_at: now,
            session: None,
            is_draining: false,
            shards: BTreeSet::new(),
            is_suspected: false,
        }
    }

    pub(super) fn may_succeed(&self) -> bool {
        self.session.is_some() && !self.is_suspected && !self.is_draining && !self.is_listed_leaving
    }

    /// Returns `true` if nothing is left to keep the record for. A suspected session stays until a takeover, after
    /// which the owner learns of it from the table; the record itself is no longer needed.
    pub(super) fn is_gone(&self) -> bool {
        let is_silent = self.session.is_none() || self.is_suspected;
        !self.is_listed && self.link.is_absent() && self.link.incarnation().is_none() && is_silent
    }
}
