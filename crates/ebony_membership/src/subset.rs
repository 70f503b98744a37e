//! Selects the side processes that an entry keeps links to.
//!
//! An entry links to a bounded number of hosts for each model or service in each failure domain, so that the number of
//! links does not grow with entries times targets.

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{DomainName, HostName, ModelName, ServiceName};

use crate::rendezvous::rendezvous_weight;

/// Maximum number of hosts that are linked for each offer in each failure domain.
pub const LINKS_PER_GROUP: usize = 8;

/// Something that a host serves. Links are limited per offer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OfferName {
    /// An engine has the model loaded.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
    /// An engine without a loaded model. It is linked so that it can receive orders to load one.
    IdleEngine,
}

/// A host that a link may be opened to.
#[derive(Clone, Copy, Debug)]
pub struct SubsetCandidate<'a> {
    /// The host.
    pub host: &'a HostName,
    /// Its failure domain.
    pub domain: &'a DomainName,
    /// What it serves; `None` if the host has not reported it yet, or reported it too long ago.
    pub offers: Option<&'a BTreeSet<OfferName>>,
    /// The host's weight for the entry, from [`SubsetPlanner::weight`].
    pub weight: u64,
}

/// Selects the hosts that one entry links to.
///
/// A host's weight does not depend on the offer. A host that serves several models therefore tends to be selected for
/// all of them or for none, which needs fewer links.
#[derive(Clone, Debug)]
pub struct SubsetPlanner {
    entry: HostName,
    links_per_group: usize,
}

type GroupKey<'a> = (&'a DomainName, Option<&'a OfferName>);

impl SubsetPlanner {
    /// Creates the planner of an entry.
    pub fn open(entry: HostName) -> Self {
        Self {
            entry,
            links_per_group: LINKS_PER_GROUP,
        }
    }

    /// Returns the weight of a host for the entry.
    pub fn weight(&self, host: &HostName) -> u64 {
        rendezvous_weight(self.entry.as_str(), host.as_str())
    }

    /// Returns the hosts to link to. Hosts whose offers are unknown form a separate group in each failure domain, which
    /// is linked to a few hosts at a time until all have reported their offers.
    pub fn plan(&self, candidates: &[SubsetCandidate<'_>]) -> BTreeSet<HostName> {
        let mut groups: BTreeMap<GroupKey<'_>, Vec<&SubsetCandidate<'_>>> = BTreeMap::new();
        for candidate in candidates {
            match candidate.offers {
                None => groups
                    .entry((candidate.domain, None))
                    .or_default()
                    .push(candidate),
                Some(offers) => {
                    for offer in offers {
                        groups
                            .entry((candidate.domain, Some(offer)))
                            .or_default()
                            .push(candidate);
                    }
                }
            }
        }
        let selected = groups.into_values().flat_map(|group| self.select(group));
        selected.cloned().collect()
    }

    fn select<'a>(&self, mut group: Vec<&SubsetCandidate<'a>>) -> Vec<&'a HostName> {
        group.sort_unstable_by(|left, right| (right.weight, right.host).cmp(&(left.weight, left.host)));
        group.truncate(self.links_per_group);
        group.into_iter().map(|candidate| candidate.host).collect()
    }
}
