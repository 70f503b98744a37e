//! Which gateway issues the tokens of a customer.
//!
//! The rank is that of [`crate::division_role`]: the first gateway by rendezvous hashing that is reachable issues. Here
//! a gateway also has to be heard from, because a link that is cut looks open for some seconds.

use std::time::Duration;

use super::rank::RankCache;
use crate::division::PeerState;

/// An issuer counts on the share of a gateway for this long after it last heard from it: a ping interval and the delay
/// of a busy host.
pub const HEARD_WITHIN: Duration = Duration::from_millis(1_200);

/// A gateway presumes that an issuer no longer counts on its share this long after it last heard from it. It is longer
/// than [`HEARD_WITHIN`], so that the two do not use the same share at the same time.
pub const UNHEARD_AFTER: Duration = Duration::from_millis(1_400);

/// What a gateway knows of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaPeer<'a> {
    /// The name.
    pub name: &'a str,
    /// Whether it is linked.
    pub state: PeerState,
    /// The time since anything was received from it on a link.
    pub unheard_for: Duration,
    /// Whether it takes no part in quotas: its host reports that no process listens at its address, or its build does not
    /// know quotas.
    pub is_absent: bool,
}

impl QuotaPeer<'_> {
    pub(super) fn is_linked(&self) -> bool {
        matches!(self.state, PeerState::Linked | PeerState::Silent)
    }
}

/// The role of a gateway for one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaRole<'a> {
    /// It issues the customer's tokens.
    Issues {
        /// The number of gateways whose shares it issues, with itself.
        linked: usize,
        /// The number of gateways among which the quota is divided.
        gateways: usize,
    },
    /// It asks this gateway for tokens.
    Asks {
        /// The issuer.
        issuer: &'a str,
        /// The number of gateways among which the quota is divided.
        gateways: usize,
    },
    /// It has no issuer, and uses its own share only.
    Alone {
        /// The number of gateways among which the quota is divided.
        gateways: usize,
        /// Whether another gateway may be issuing this share. If not, the gateway reaches at most half of the others.
        in_doubt: bool,
    },
}

/// Returns the role of the gateway `own` for a customer. `peers` are all other gateways that are registered or linked.
///
/// ```
/// use std::time::Duration;
/// use ebony_limit::PeerState;
/// use ebony_limit::quota::{QuotaPeer, QuotaRole, RankCache, quota_role};
///
/// let peer = |name, state, millis| QuotaPeer {
///     name,
///     state,
///     unheard_for: Duration::from_millis(millis),
///     is_absent: false,
/// };
/// let mut ranks = RankCache::default();
/// let cut = [peer("b", PeerState::Gone, 9_000), peer("d", PeerState::Linked, 2_000)];
/// assert_eq!(quota_role("c", "a", &cut, &mut ranks), QuotaRole::Alone { gateways: 3, in_doubt: false });
/// let role = QuotaRole::Issues { linked: 1, gateways: 1 };
/// assert_eq!(quota_role("c", "a", &[], &mut ranks), role);
/// ```
pub fn quota_role<'a>(
    customer: &str,
    own: &str,
    peers: &[QuotaPeer<'a>],
    ranks: &mut RankCache,
) -> QuotaRole<'a> {
    let own_rank = (ranks.weight(customer, own), own);
    let (mut gateways, mut reached, mut linked) = (1, 1, 1);
    let mut first: Option<(u64, &'a str)> = None;
    let mut in_doubt = false;
    for peer in peers.iter().filter(|peer| !peer.is_absent) {
        let is_reached = peer.is_linked() && peer.unheard_for < UNHEARD_AFTER;
        gateways += 1;
        reached += usize::from(is_reached);
        linked += usize::from(peer.is_linked() && peer.unheard_for < HEARD_WITHIN);
        let rank = (ranks.weight(customer, peer.name), peer.name);
        if rank < own_rank {
            continue;
        }
        if is_reached && peer.state == PeerState::Linked {
            first = first.max(Some(rank));
        } else {
            in_doubt |= peer.unheard_for < UNHEARD_AFTER;
        }
    }
    if reached * 2 <= gateways && gateways > 1 {
        return QuotaRole::Alone {
            gateways,
            in_doubt: false,
        };
    }
    match first {
        Some((_, issuer)) => QuotaRole::Asks { issuer, gateways },
        None if in_doubt => QuotaRole::Alone { gateways, in_doubt },
        None => QuotaRole::Issues { linked, gateways },
    }
}
