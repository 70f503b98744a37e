//! Spreads the configuration and its status over the links to other entries.

use std::collections::{HashMap, HashSet};

use actix::Recipient;
use ebony_config::ConfigAudience;
use ebony_link::LinkSender;
use ebony_wire::{ConfigStatus, PeerFrame};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::messages::IncomingKey;
use super::router::PeerKey;
use crate::config::{ConfigOffered, PeerStatusHeard, PeersSettled, ReadMissing};

/// The entries that a change is sent to. Each of them passes it on to as many, so that no entry sends to all others: a
/// change reaches all but a share of about e^-8 (0.03%) of them, and those few find it in the table within a second.
pub(super) const RELAY_FANOUT: usize = 8;

/// Bytes of status that one round may send in all, about half of the 23 KB/s that a node may use for control traffic
/// over the two seconds of a round. What does not fit goes with later rounds.
const STATUS_ROUND_BYTES: usize = 20 * 1024;

/// The size of one status on a link, with names of 30 characters.
const STATUS_BYTES: usize = 50;

/// Where news about the configuration goes.
pub struct ConfigRecipients {
    /// Receives configurations from other entries.
    pub offered: Recipient<ConfigOffered>,
    /// Receives which configuration is in force elsewhere.
    pub status: Recipient<PeerStatusHeard>,
    /// Returns what another entry misses.
    pub missing: Recipient<ReadMissing>,
    /// Receives that all other entries have reported.
    pub settled: Recipient<PeersSettled>,
}

/// What is known of the configuration at the other entries.
pub(super) struct ConfigNews {
    recipients: ConfigRecipients,
    /// The status of this entry, first, and of side processes.
    pub(super) status: Vec<ConfigStatus>,
    /// The first side process of the next round.
    next_side: usize,
    /// The version that the entry on an accepted link reported last. An item ends with its link.
    pub(super) versions: HashMap<IncomingKey, u64>,
    /// Listed entries that have not reported or failed yet; `None` before the first list and after the last report.
    unheard: Option<HashSet<PeerKey>>,
    is_settled: bool,
    pub(super) source: StdRng,
}

impl ConfigNews {
    pub(super) fn new(recipients: ConfigRecipients) -> Self {
        Self {
            recipients,
            status: Vec::new(),
            next_side: 0,
            versions: HashMap::new(),
            unheard: None,
            is_settled: false,
            source: StdRng::from_os_rng(),
        }
    }

    /// Returns the frame with the status of this entry alone.
    pub(super) fn greeting(&self) -> PeerFrame {
        PeerFrame::ConfigInForce(self.status.first().cloned().into_iter().collect())
    }

    /// Notes the entries of the first list.
    pub(super) fn list(&mut self, peers: impl Iterator<Item = PeerKey>) {
        if !self.is_settled && self.unheard.is_none() {
            self.unheard = Some(peers.collect());
            self.settle();
        }
    }

    /// Notes that an entry has reported or can't be reached.
    pub(super) fn note_heard(&mut self, peer: PeerKey) {
        if let Some(unheard) = &mut self.unheard {
            unheard.remove(&peer);
            self.settle();
        }
    }

    fn settle(&mut self) {
        if self.unheard.as_ref().is_some_and(HashSet::is_empty) {
            self.unheard = None;
            self.is_settled = true;
            self.recipients.settled.do_send(PeersSettled);
        }
    }

    /// Forgets an accepted link.
    pub(super) fn forget(&mut self, key: IncomingKey) {
        self.versions.remove(&key);
    }

    /// Takes a status from an accepted link. The sender's own is the first.
    pub(super) fn accept_incoming(&mut self, key: IncomingKey, statuses: Vec<ConfigStatus>) {
        if let Some(status) = statuses.first() {
            self.versions.insert(key, status.version);
        }
        self.recipients.status.do_send(PeerStatusHeard(statuses));
    }

    /// Takes a status from a dialed link.
    pub(super) fn accept_outgoing(&mut self, peer: PeerKey, statuses: Vec<ConfigStatus>) {
        self.recipients.status.do_send(PeerStatusHeard(statuses));
        self.note_heard(peer);
    }

    /// Takes a configuration.
    pub(super) fn offer(&self, push: ebony_wire::ConfigPush) {
        self.recipients.offered.do_send(ConfigOffered(push));
    }

    /// Sends another entry what it misses.
    pub(super) fn answer(&self, known: u64, sender: LinkSender<PeerFrame>) {
        let missing = self.recipients.missing.clone();
        let audience = ConfigAudience::Entry;
        actix::spawn(async move {
            let pushes = missing.send(ReadMissing { known, audience }).await;
            for push in pushes.unwrap_or_default() {
                // An entry whose link is lost asks again.
                let _ = sender.send(&PeerFrame::Config(push));
            }
        });
    }

    /// Returns the statuses of a round that `links` entries receive.
    pub(super) fn round(&mut self, links: usize) -> Vec<ConfigStatus> {
        let Some((own, sides)) = self.status.split_first() else {
            return Vec::new();
        };
        let room = STATUS_ROUND_BYTES / STATUS_BYTES / links.max(1);
        let count = room.saturating_sub(1).min(sides.len());
        let start = self.next_side.checked_rem(sides.len()).unwrap_or(0);
        let chosen = sides.iter().cycle().skip(start).take(count);
        let statuses = std::iter::once(own).chain(chosen).cloned().collect();
        self.next_side = start + count;
        statuses
    }
}
