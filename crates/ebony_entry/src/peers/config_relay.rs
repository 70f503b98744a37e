//! Relays the configuration and its status over the links to other entries.

use std::collections::{HashMap, HashSet};

use actix::Recipient;
use ebony_config::ConfigAudience;
use ebony_link::LinkSender;
use ebony_wire::{ConfigStatus, PeerFrame};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::messages::IncomingKey;
use super::router::PeerKey;
use crate::config::{ConfigOffered, PeerStatusReported, PeersReported, ReadMissing};

/// The number of entries that a change is forwarded to. Each of them forwards it to as many again, so that no entry
/// sends to all others. This gossip misses a share of about e^-8 (0.03%) of the entries, which read the change from the
/// table within a second.
pub(super) const RELAY_FANOUT: usize = 8;

/// The maximum bytes of status sent in one round to all links together: about half of the 23 KB/s that a node may use
/// for control traffic over the two seconds of a round. What does not fit is sent in later rounds.
const STATUS_ROUND_BYTES: usize = 20 * 1024;

/// The encoded size of one status in bytes, for names of 30 characters.
const STATUS_BYTES: usize = 50;

/// Recipients of messages about the configuration.
pub struct ConfigRecipients {
    /// Receives configurations from other entries.
    pub offered: Recipient<ConfigOffered>,
    /// Receives which configuration is in force elsewhere.
    pub status: Recipient<PeerStatusReported>,
    /// Returns the configuration updates that another entry is missing.
    pub missing: Recipient<ReadMissing>,
    /// Notified once all other entries have reported or could not be reached.
    pub reported: Recipient<PeersReported>,
}

/// The relay state: the local statuses, and the configuration versions of other entries.
pub(super) struct ConfigRelay {
    recipients: ConfigRecipients,
    /// The status of this entry, followed by those of its side processes.
    pub(super) status: Vec<ConfigStatus>,
    /// Index of the first side process whose status is sent in the next round.
    next_side: usize,
    /// The version last reported on each accepted link. Removed with the link.
    pub(super) versions: HashMap<IncomingKey, u64>,
    /// Listed entries that have neither reported nor failed yet. `None` before the first list and after the last
    /// report.
    pending: Option<HashSet<PeerKey>>,
    is_complete: bool,
    pub(super) rng: StdRng,
}

impl ConfigRelay {
    pub(super) fn new(recipients: ConfigRecipients) -> Self {
        Self {
            recipients,
            status: Vec::new(),
            next_side: 0,
            versions: HashMap::new(),
            pending: None,
            is_complete: false,
            rng: StdRng::from_os_rng(),
        }
    }

    /// Returns a frame with the status of this entry only.
    pub(super) fn own_status_frame(&self) -> PeerFrame {
        PeerFrame::ConfigInForce(self.status.first().cloned().into_iter().collect())
    }

    /// Starts to wait for the entries of the first list. Later lists are ignored.
    pub(super) fn list(&mut self, peers: impl Iterator<Item = PeerKey>) {
        if !self.is_complete && self.pending.is_none() {
            self.pending = Some(peers.collect());
            self.check_complete();
        }
    }

    /// Records that an entry has reported or can't be reached.
    pub(super) fn record_report(&mut self, peer: PeerKey) {
        if let Some(pending) = &mut self.pending {
            pending.remove(&peer);
            self.check_complete();
        }
    }

    fn check_complete(&mut self) {
        if self.pending.as_ref().is_some_and(HashSet::is_empty) {
            self.pending = None;
            self.is_complete = true;
            self.recipients.reported.do_send(PeersReported);
        }
    }

    /// Removes an accepted link.
    pub(super) fn forget(&mut self, key: IncomingKey) {
        self.versions.remove(&key);
    }

    /// Processes statuses from an accepted link. The first is the sender's own.
    pub(super) fn accept_incoming(&mut self, key: IncomingKey, statuses: Vec<ConfigStatus>) {
        if let Some(status) = statuses.first() {
            self.versions.insert(key, status.version);
        }
        self.recipients.status.do_send(PeerStatusReported(statuses));
    }

    /// Processes statuses from a dialed link.
    pub(super) fn accept_outgoing(&mut self, peer: PeerKey, statuses: Vec<ConfigStatus>) {
        self.recipients.status.do_send(PeerStatusReported(statuses));
        self.record_report(peer);
    }

    /// Passes a configuration received from another entry to the configuration actor.
    pub(super) fn offer(&self, push: ebony_wire::ConfigPush) {
        self.recipients.offered.do_send(ConfigOffered(push));
    }

    /// Sends another entry the updates that it is missing above version `known`.
    pub(super) fn send_missing(&self, known: u64, sender: LinkSender<PeerFrame>) {
        let missing = self.recipients.missing.clone();
        let audience = ConfigAudience::Entry;
        actix::spawn(async move {
            let pushes = missing.send(ReadMissing { known, audience }).await;
            for push in pushes.unwrap_or_default() {
                // If the link is lost, the entry repeats its request.
                let _ = sender.send(&PeerFrame::Config(push));
            }
        });
    }

    /// Returns the statuses to send to `links` entries in the next round, cycling through the side processes.
    pub(super) fn next_round(&mut self, links: usize) -> Vec<ConfigStatus> {
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
