//! Requests for tokens of customers, and what is known of the gateways that may issue them.

use std::io;

use ebony_limit::PeerState;
use ebony_limit::quota::{QuotaAsk, QuotaPeer, QuotaReply};
use ebony_link::LinkError;
use ebony_types::ClockTime;

use super::{PeerLinks, PeerReply, PeerRequest};

/// What is known of another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerReach {
    pub(crate) name: String,
    pub(crate) state: PeerState,
    pub(crate) heard_at: ClockTime,
    pub(crate) is_absent: bool,
}

impl PeerReach {
    pub(crate) fn as_peer(&self, now: ClockTime) -> QuotaPeer<'_> {
        QuotaPeer {
            name: &self.name,
            state: self.state,
            unheard_for: now.since(self.heard_at),
            is_absent: self.is_absent,
        }
    }
}

impl PeerLinks {
    /// Returns what is known of all other gateways that are registered or linked.
    pub(crate) fn reach(&self) -> Vec<PeerReach> {
        let links = self.links.borrow();
        let accepted = self.accepted.borrow();
        let linked = links
            .keys()
            .chain(accepted.keys().filter(|name| !links.contains_key(*name)));
        let unregistered = linked.filter(|name| !self.fleet.is_registered(name)).cloned();
        let registered = self.fleet.peers().into_iter().map(|(name, _)| name);
        let names = registered.chain(unregistered);
        names.map(|name| self.reach_of(name)).collect()
    }

    fn reach_of(&self, name: String) -> PeerReach {
        let links = self.links.borrow();
        let accepted = self.accepted.borrow();
        let knowledge = links.get(&name).and_then(|link| link.knows_quotas.get());
        let state = match (links.get(&name), accepted.get(&name)) {
            (Some(link), Some(processes)) if processes.contains(&link.incarnation) => match knowledge {
                Some(true) if link.is_silent.get() => PeerState::Silent,
                Some(true) => PeerState::Linked,
                _ => PeerState::Lost,
            },
            (None, None) if self.is_presumed_gone(&name) => PeerState::Gone,
            _ => PeerState::Lost,
        };
        let has_ended = self.ended.borrow().contains(&name) && !accepted.contains_key(&name);
        let heard_at = self.heard.borrow().get(&name).copied();
        PeerReach {
            state,
            heard_at: heard_at.unwrap_or_default(),
            is_absent: has_ended || knowledge == Some(false),
            name,
        }
    }

    /// Asks a gateway for tokens of customers. Returns `None` if it does not answer.
    pub(crate) async fn take_quota(&self, peer: &str, asks: Vec<QuotaAsk>) -> Option<Vec<QuotaReply>> {
        let count = asks.len();
        let request = |number| PeerRequest::TakeQuota { number, asks };
        match self.exchange(peer, request).await {
            Some(PeerReply::Quota { replies, .. }) if replies.len() == count => Some(replies),
            _ => {
                if let Some(link) = self.links.borrow().get(peer) {
                    link.is_silent.set(true);
                }
                None
            }
        }
    }

    /// Records that something was received from a gateway.
    pub(crate) fn record_heard(&self, name: &str) {
        let now = self.clock.now();
        let mut heard = self.heard.borrow_mut();
        match heard.get_mut(name) {
            Some(at) => *at = now,
            None => {
                heard.insert(name.to_owned(), now);
            }
        }
    }

    /// Forgets gateways that are neither registered nor linked.
    pub(crate) fn expire_heard(&self) {
        let links = self.links.borrow();
        let accepted = self.accepted.borrow();
        let is_kept = |name: &String| {
            self.fleet.is_registered(name) || links.contains_key(name) || accepted.contains_key(name)
        };
        self.heard.borrow_mut().retain(|name, _| is_kept(name));
    }

    /// Records why a gateway could not be dialed. Only the host of a process that has ended refuses the connection; one
    /// that is frozen accepts it, and one that is cut off does not answer.
    pub(super) fn record_dial_error(&self, name: &str, error: &LinkError) {
        let is_refused =
            matches!(error, LinkError::Connection(error) if error.kind() == io::ErrorKind::ConnectionRefused);
        if is_refused {
            self.ended.borrow_mut().insert(name.to_owned());
        } else {
            self.ended.borrow_mut().remove(name);
        }
    }
}
