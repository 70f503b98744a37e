//! State of one side process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ebony_types::{ClockTime, DomainName, HostName, ProcessIncarnation, TargetName};
use ebony_wire::{TargetKind, TargetReport};

use super::{SidePhase, TargetKey};
use crate::dialed_link::{DialedLink, LinkPhase};
use crate::host_hint::HostHint;
use crate::subset::OfferName;

slotmap::new_key_type! {
    /// Identifies a side process within a registry.
    pub(super) struct MemberKey;
}

/// Time for which a host without a link counts as serving what it last reported. Probing 12,000 hosts within it takes
/// one dial every two seconds.
pub(super) const OFFER_LIFETIME: Duration = Duration::from_secs(6 * 3_600);

/// Number of consecutive failures to dial after which other hosts are linked in place of this one. So many failures
/// take 2 to 5 seconds.
const UNREACHABLE_FAILURES: u32 = 5;

/// A target behind one incarnation of a side process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The host of the side process.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The incarnation of the side process.
    pub incarnation: ProcessIncarnation,
    /// The side process's report on the target.
    pub report: TargetReport,
}

impl TargetRecord {
    /// Returns the target's name.
    pub fn name(&self) -> &TargetName {
        &self.report.target
    }
}

#[derive(Clone, Debug)]
pub(super) struct SideMember {
    pub(super) host: HostName,
    pub(super) address: SocketAddr,
    pub(super) domain: DomainName,
    pub(super) is_listed: bool,
    /// The host list says that the host is leaving.
    pub(super) is_listed_leaving: bool,
    /// The current incarnation of the process has announced that it is leaving.
    pub(super) has_announced_drain: bool,
    pub(super) link: DialedLink,
    pub(super) is_wanted: bool,
    pub(super) weight: u64,
    pub(super) targets: BTreeSet<TargetKey>,
    pub(super) offers: Option<BTreeSet<OfferName>>,
    pub(super) described_at: ClockTime,
}

impl SideMember {
    pub(super) fn new(hint: HostHint, weight: u64, now: ClockTime) -> Self {
        Self {
            host: hint.host,
            address: hint.address,
            domain: hint.domain,
            is_listed: true,
            is_listed_leaving: hint.is_leaving,
            has_announced_drain: false,
            link: DialedLink::new(now),
            is_wanted: false,
            weight,
            targets: BTreeSet::new(),
            offers: None,
            described_at: now,
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.is_listed_leaving || self.has_announced_drain
    }

    /// Returns `true` if the host may be linked to for new work. A host that is missing from the list remains a
    /// candidate while its link is up, because the list lags.
    pub(super) fn is_candidate(&self) -> bool {
        !self.is_draining() && (self.is_listed || !self.link.is_absent())
    }

    pub(super) fn is_reachable(&self) -> bool {
        !self.link.is_absent() || self.link.failures() < UNREACHABLE_FAILURES
    }

    /// Returns the state that the selection of linked hosts depends on, besides the offers.
    pub(super) fn planning_state(&self) -> (bool, bool) {
        (self.is_candidate(), self.is_reachable())
    }

    /// Returns `true` if the host should be dialed: for work, or to resume calls.
    pub(super) fn may_dial(&self) -> bool {
        let is_resuming = self.link.incarnation().is_some();
        is_resuming || (self.is_wanted && self.is_candidate())
    }

    /// Returns `true` if the member can be removed.
    pub(super) fn is_removable(&self) -> bool {
        !self.is_listed && self.link.is_absent() && self.link.incarnation().is_none()
    }

    pub(super) fn phase(&self, now: ClockTime) -> SidePhase {
        match self.link.phase() {
            _ if self.is_draining() => SidePhase::Draining,
            LinkPhase::Absent(_) if self.link.incarnation().is_none() => SidePhase::Unknown,
            LinkPhase::Absent(_) => SidePhase::Suspected,
            LinkPhase::Joining(_) => SidePhase::Joining,
            LinkPhase::Open(_) if self.link.is_live(now) => SidePhase::Serving,
            LinkPhase::Open(_) => SidePhase::Suspected,
        }
    }

    /// Returns `true` if the member's targets may receive work.
    pub(super) fn may_serve(&self, now: ClockTime) -> bool {
        self.is_wanted && self.phase(now) == SidePhase::Serving
    }
}

/// Returns what a side process offers with its targets.
pub(super) fn offers_of(targets: &[TargetReport]) -> BTreeSet<OfferName> {
    let mut offers = BTreeSet::new();
    for report in targets {
        match &report.kind {
            TargetKind::Engine { models } if models.is_empty() => {
                offers.insert(OfferName::IdleEngine);
            }
            TargetKind::Engine { models } => offers.extend(models.iter().cloned().map(OfferName::Model)),
            TargetKind::Service { service } => {
                offers.insert(OfferName::Service(service.clone()));
            }
        }
    }
    offers
}
