//! Which gateway issues the permits of a limited target.
//!
//! All gateways rank each other by rendezvous hashing for each target, and the first one that is reachable coordinates
//! it. A gateway that reaches less than half of the others cannot tell whether they coordinate the target without it,
//! and keeps to an even share of the limit. A gateway that acts for a coordinator which may still issue permits issues
//! half as many, so that both together stay below the rate that targets tolerate.

use ebony_types::rendezvous::rendezvous_weight;

use crate::rate::RequestRate;

/// The fraction of the limit that a deputy issues, as a divisor.
const DEPUTY_SHARERS: usize = 2;

/// Whether a gateway reaches another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// There is a link.
    Linked,
    /// There is a link, but the last request on it was not answered in time.
    Silent,
    /// The link was lost a moment ago.
    Lost,
    /// There has been no link for so long that the gateway is presumed to be gone.
    Gone,
}

/// The part of a target's limit that a gateway issues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPart {
    /// All of it, for all gateways.
    Whole,
    /// Half of it, for all gateways, in place of a coordinator that may still issue permits.
    Half,
    /// An even share among this number of gateways, for itself only.
    Share(usize),
}

impl LimitPart {
    /// Returns this part of a limit. All parts together have at least the rate at which the end of a limit is noticed.
    ///
    /// ```
    /// use ebony_limit::{LimitPart, RequestRate};
    ///
    /// let limit = RequestRate::per_second(0.8)?;
    /// assert_eq!(LimitPart::Share(8).of(limit), RequestRate::per_second(0.1)?);
    /// # Ok::<(), ebony_limit::rate::RateError>(())
    /// ```
    #[must_use]
    pub fn of(self, limit: RequestRate) -> RequestRate {
        let rate = limit.at_least_trials();
        match self {
            Self::Whole => rate,
            Self::Half => rate.share_of(DEPUTY_SHARERS),
            Self::Share(gateways) => rate.share_of(gateways),
        }
    }

    /// Returns a name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Half => "half",
            Self::Share(_) => "share",
        }
    }
}

/// The role of a gateway in the division of one target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DivisionRole<'a> {
    /// It issues permits itself.
    Issues(LimitPart),
    /// It asks this gateway for permits.
    Asks(&'a str),
}

/// Returns the role of the gateway `own` for a target. `peers` are all other gateways that are registered or linked.
///
/// ```
/// use ebony_limit::{DivisionRole, LimitPart, PeerState, division_role};
///
/// let role = |peers: &[(&'static str, PeerState)]| division_role("t-1", "a", peers.iter().copied());
/// assert_eq!(role(&[]), DivisionRole::Issues(LimitPart::Whole));
/// assert_eq!(role(&[("b", PeerState::Linked), ("c", PeerState::Gone)]), DivisionRole::Asks("b"));
/// assert_eq!(role(&[("b", PeerState::Gone), ("c", PeerState::Gone)]), DivisionRole::Issues(LimitPart::Share(3)));
/// ```
pub fn division_role<'a>(
    target: &str,
    own: &str,
    peers: impl Iterator<Item = (&'a str, PeerState)>,
) -> DivisionRole<'a> {
    let own_rank = (rendezvous_weight(target, own), own);
    let (mut gateways, mut reached) = (1, 1);
    let mut first: Option<(u64, &'a str)> = None;
    let mut is_deputy = false;
    for (peer, state) in peers {
        gateways += 1;
        reached += usize::from(matches!(state, PeerState::Linked | PeerState::Silent));
        let rank = (rendezvous_weight(target, peer), peer);
        if rank < own_rank {
            continue;
        }
        match state {
            PeerState::Linked => first = first.max(Some(rank)),
            PeerState::Silent | PeerState::Lost => is_deputy = true,
            PeerState::Gone => {}
        }
    }
    if reached * 2 <= gateways && gateways > 1 {
        return DivisionRole::Issues(LimitPart::Share(gateways));
    }
    match first {
        Some((_, peer)) => DivisionRole::Asks(peer),
        None if is_deputy => DivisionRole::Issues(LimitPart::Half),
        None => DivisionRole::Issues(LimitPart::Whole),
    }
}
