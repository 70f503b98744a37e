//! Changes of the gateways that one gateway hears from, after which another one may issue tokens for a while.

use std::collections::HashMap;
use std::time::Duration;

use ebony_types::ClockTime;

use super::role::{HEARD_WITHIN, QuotaPeer, UNHEARD_AFTER};

/// How long after a link was opened tokens of another issuer may be used: the time in which a gateway that starts is dialed
/// by all others, and the lifetime of the last blocks.
const LINKING_TIME: Duration = Duration::from_millis(900);

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

/// What has changed since the last update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// Nothing.
    None,
    /// Others are heard from than before, so that roles have to be reviewed.
    Contacts,
    /// This gateway did not run for so long that others may have issued tokens in its place. It has to drop its buckets.
    Paused,
}

/// Records which gateways are heard from. It has to be updated several times in [`HEARD_WITHIN`].
///
/// ```
/// use std::time::Duration;
/// use ebony_limit::PeerState;
/// use ebony_limit::quota::reach::ReachChange;
/// use ebony_limit::quota::{QuotaPeer, ReachLog};
/// use ebony_types::ClockTime;
///
/// let at = ClockTime::from_millis;
/// let peer = |state, is_absent| QuotaPeer { name: "b", state, unheard_for: Duration::ZERO, is_absent };
/// let mut log = ReachLog::default();
/// assert_eq!(log.update(&[peer(PeerState::Linked, false)], at(10_000)), ReachChange::Contacts);
/// assert_eq!(log.doubt_until(), at(10_900));
/// // The gateway may be cut off and still issue tokens.
/// assert_eq!(log.update(&[peer(PeerState::Lost, false)], at(11_000)), ReachChange::Contacts);
/// assert_eq!(log.doubt_until(), at(12_400));
/// // Its process has ended.
/// assert_eq!(log.update(&[peer(PeerState::Lost, true)], at(11_001)), ReachChange::Contacts);
/// assert_eq!(log.doubt_until(), at(0));
/// assert_eq!(log.update(&[peer(PeerState::Lost, true)], at(13_500)), ReachChange::Paused);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReachLog {
    contacts: HashMap<String, (PeerContact, ClockTime)>,
    updated_at: ClockTime,
}

impl ReachLog {
    /// Records what is known of the other gateways.
    pub fn update(&mut self, peers: &[QuotaPeer<'_>], now: ClockTime) -> ReachChange {
        let has_paused = !self.contacts.is_empty() && now.since(self.updated_at) >= HEARD_WITHIN;
        self.updated_at = now;
        if has_paused {
            let contacts = self.contacts.values_mut();
            for (contact, _) in contacts.filter(|(contact, _)| *contact == PeerContact::Heard) {
                *contact = PeerContact::Silent;
            }
        }
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
        match has_changed {
            _ if has_paused => ReachChange::Paused,
            true => ReachChange::Contacts,
            false => ReachChange::None,
        }
    }

    /// Returns until when another gateway may issue the tokens that this one began to issue before.
    pub fn doubt_until(&self) -> ClockTime {
        let doubts = self.contacts.values().map(|(_, until)| *until);
        doubts.max().unwrap_or_default()
    }
}
