//! Changes of the gateways that one gateway hears from, after which another one may issue tokens for a while.

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::ClockTime;

use super::role::{QuotaPeer, UNHEARD_AFTER};

/// How long after a link was opened another gateway may not know of it: the time in which a gateway that starts is
/// dialed by all others, and each of them has sent its first ping.
const LINKING_TIME: Duration = Duration::from_millis(700);

/// Whether a gateway was heard from when it was last looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerContact {
    Heard,
    /// There is a link, but it is silent.
    Silent,
    /// There is no link.
    Unlinked,
    /// The gateway takes no part.
    Absent,
}

impl PeerContact {
    fn of(peer: &QuotaPeer<'_>) -> Self {
        match peer {
            _ if peer.is_absent => Self::Absent,
            _ if !peer.is_linked() => Self::Unlinked,
            _ if peer.unheard_for >= UNHEARD_AFTER => Self::Silent,
            _ => Self::Heard,
        }
    }
}

/// Records which gateways are heard from.
///
/// ```
/// use std::time::Duration;
/// use ebony_limit::PeerState;
/// use ebony_limit::quota::{QuotaPeer, ReachLog};
/// use ebony_types::ClockTime;
///
/// let at = ClockTime::from_millis;
/// let peer = |state, is_absent| QuotaPeer { name: "b", state, unheard_for: Duration::ZERO, is_absent };
/// let mut log = ReachLog::default();
/// assert!(log.update(&[peer(PeerState::Linked, false)], at(10_000)));
/// assert_eq!(log.doubt_until(), at(10_700));
/// // The gateway may be cut off and still issue tokens.
/// assert!(log.update(&[peer(PeerState::Lost, false)], at(20_000)));
/// assert_eq!(log.doubt_until(), at(21_400));
/// // Its process has ended.
/// assert!(log.update(&[peer(PeerState::Lost, true)], at(20_001)));
/// assert_eq!(log.doubt_until(), at(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReachLog {
    contacts: HashMap<String, (PeerContact, ClockTime)>,
}

impl ReachLog {
    /// Records what is known of the other gateways. Returns whether others are heard from than before.
    pub fn update(&mut self, peers: &[QuotaPeer<'_>], now: ClockTime) -> bool {
        let mut has_changed = false;
        for peer in peers {
            let contact = PeerContact::of(peer);
            let before = self.contacts.get(peer.name).copied();
            let before = before.map_or(PeerContact::Unlinked, |(before, _)| before);
            let is_known = self.contacts.contains_key(peer.name);
            if is_known && before == contact {
                continue;
            }
            has_changed = true;
            let doubt = match (before, contact) {
                (_, PeerContact::Absent) => Duration::ZERO,
                (PeerContact::Silent, PeerContact::Heard) => UNHEARD_AFTER,
                (_, PeerContact::Heard) => LINKING_TIME,
                _ if !is_known => Duration::ZERO,
                _ => UNHEARD_AFTER.saturating_sub(peer.unheard_for),
            };
            let doubt_until = if doubt.is_zero() {
                ClockTime::default()
            } else {
                now + doubt
            };
            self.contacts.insert(peer.name.to_owned(), (contact, doubt_until));
        }
        if self.contacts.len() > peers.len() {
            self.contacts
                .retain(|name, _| peers.iter().any(|peer| peer.name == name));
        }
        has_changed
    }

    /// Returns until when another gateway may issue the tokens that this one began to issue before.
    pub fn doubt_until(&self) -> ClockTime {
        let doubts = self.contacts.values().map(|(_, until)| *until);
        doubts.max().unwrap_or_default()
    }
}
