//! What gateways tell and ask each other about the limits of targets.

use std::rc::Rc;
use std::time::Duration;

use ebony_limit::{PeerState, division_role};
use ebony_types::TargetName;
use ebony_wire::PeerIdentity;

use super::{PeerLinks, PeerReply, PeerRequest};
use crate::limits::permits::RoleOf;
use crate::limits::report::{LimitReport, PermitReply};

impl PeerLinks {
    /// Sends reports on the limits of targets to a gateway. One that misses them learns the limits from the targets'
    /// answers.
    pub(crate) fn send_limits(&self, peer: &str, reports: &[LimitReport]) {
        if let Some(link) = self.links.borrow().get(peer) {
            let request = PeerRequest::TellLimits {
                reports: reports.to_vec(),
            };
            link.sender.send(&request).ok();
        }
    }

    /// Sends a report on the limit of a target to all linked gateways.
    pub(crate) fn broadcast_limit(&self, report: LimitReport) {
        self.broadcast(&PeerRequest::TellLimits {
            reports: vec![report],
        });
    }

    /// Returns this gateway's role in the division of a target's limit.
    pub(crate) fn division_role(&self, target: &TargetName) -> RoleOf {
        self.division_role_without(target, &[])
    }

    /// Returns the role that this gateway would have without the links to some gateways.
    ///
    /// Only gateways that are linked in both directions count as linked. Both ends know of both links, so that they agree
    /// on who can ask whom, also if one of them has an outdated address of the other.
    pub(crate) fn division_role_without(&self, target: &TargetName, unlinked: &[String]) -> RoleOf {
        let peers = self.fleet.peers();
        let links = self.links.borrow();
        let accepted = self.accepted.borrow();
        let linked = links
            .keys()
            .chain(accepted.keys().filter(|name| !links.contains_key(*name)));
        let unregistered = linked.filter(|name| !self.fleet.is_registered(name));
        let names = peers.iter().map(|(name, _)| name).chain(unregistered);
        let state = |name: &String| match (links.get(name), accepted.get(name)) {
            _ if unlinked.contains(name) => PeerState::Gone,
            (Some(link), Some(processes)) if processes.contains(&link.incarnation) => {
                if link.is_silent.get() {
                    PeerState::Silent
                } else {
                    PeerState::Linked
                }
            }
            (None, None) if self.is_presumed_gone(name) => PeerState::Gone,
            _ => PeerState::Lost,
        };
        let states = names.map(|name| (name.as_str(), state(name)));
        RoleOf::from(division_role(target.as_str(), self.fleet.process(), states))
    }

    /// Records a link that another gateway dialed, until the guard is dropped.
    pub(crate) fn record_accepted(self: &Rc<Self>, peer: &PeerIdentity) -> AcceptedLinkGuard {
        let mut accepted = self.accepted.borrow_mut();
        let processes = accepted.entry(peer.process.clone()).or_default();
        processes.push(peer.incarnation);
        AcceptedLinkGuard {
            links: Rc::clone(self),
            peer: peer.clone(),
        }
    }

    /// Returns the number of gateways that are registered.
    pub(crate) fn gateways(&self) -> usize {
        self.fleet.peers().len() + 1
    }

    /// Asks a gateway for a permit. Returns `None` if it does not answer.
    pub(crate) async fn take_permit(
        &self,
        peer: &str,
        limit: LimitReport,
        max_wait: Duration,
        is_relayed: bool,
    ) -> Option<PermitReply> {
        let max_wait_us = u64::try_from(max_wait.as_micros()).unwrap_or(u64::MAX);
        let request = |number| PeerRequest::TakePermit {
            number,
            limit,
            max_wait_us,
            is_relayed,
        };
        match self.exchange(peer, request).await {
            Some(PeerReply::Permit { permit, .. }) => Some(permit),
            _ => {
                if let Some(link) = self.links.borrow().get(peer) {
                    link.is_silent.set(true);
                }
                None
            }
        }
    }

    /// Returns a permit whose call was not sent. One that does not arrive is lost.
    pub(crate) fn return_permit(&self, peer: &str, target: &TargetName, born: u64) {
        if let Some(link) = self.links.borrow().get(peer) {
            let request = PeerRequest::ReturnPermit {
                target: target.clone(),
                born,
            };
            link.sender.send(&request).ok();
        }
    }
}

/// Records a link that another gateway dialed.
pub(crate) struct AcceptedLinkGuard {
    links: Rc<PeerLinks>,
    peer: PeerIdentity,
}

impl Drop for AcceptedLinkGuard {
    fn drop(&mut self) {
        let mut accepted = self.links.accepted.borrow_mut();
        let Some(processes) = accepted.get_mut(&self.peer.process) else {
            return;
        };
        // A process may have dialed again before its earlier link ended.
        if let Some(at) = processes
            .iter()
            .position(|process| *process == self.peer.incarnation)
        {
            processes.swap_remove(at);
        }
        if processes.is_empty() {
            accepted.remove(&self.peer.process);
        }
    }
}
