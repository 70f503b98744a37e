//! Tracks the side processes and the targets behind them, as seen by one entry.

mod apply;
mod event;
mod member;
mod planning;

use std::collections::{BTreeMap, BTreeSet};

use ebony_types::{ClockTime, HostName, TargetName};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slotmap::SlotMap;

pub use self::event::{SidePhase, TargetDecision, TargetEvent};
pub use self::member::TargetRecord;
use self::member::{MemberKey, SideMember};
use crate::subset::SubsetPlanner;

slotmap::new_key_type! {
    /// Identifies a target in one incarnation of its side process. Under a new incarnation it gets a new key.
    pub struct TargetKey;
}

/// Maximum number of targets that are taken from one side process.
const MAX_TARGETS_PER_HOST: usize = 64;

/// Tracks the liveness of side processes and decides which of their targets may receive work.
///
/// The host list adds at most [`MAX_LISTED_HOSTS`](crate::host_hint::MAX_LISTED_HOSTS) members. A member is removed
/// when it is not listed, has no link, and its calls cannot resume. Its targets are removed when its incarnation ends.
///
/// ```
/// use ebony_membership::{HostHint, TargetDecision, TargetEvent, TargetRegistry};
/// use ebony_types::{ClockTime, DomainName, HostName};
///
/// let mut registry = TargetRegistry::open(HostName::parse("entry-1")?, 7);
/// let hint = HostHint {
///     host: HostName::parse("side-1")?,
///     address: ([127, 0, 0, 1], 9000).into(),
///     domain: DomainName::parse("domain-1")?,
///     is_leaving: false,
/// };
/// let decisions = registry.apply(TargetEvent::HostsListed(vec![hint]), ClockTime::default());
/// assert!(matches!(decisions[..], [TargetDecision::Dial { .. }]));
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct TargetRegistry {
    planner: SubsetPlanner,
    rng: ChaCha8Rng,
    members: SlotMap<MemberKey, SideMember>,
    members_by_host: BTreeMap<HostName, MemberKey>,
    targets: SlotMap<TargetKey, TargetRecord>,
    /// The most recently described target of each name.
    targets_by_name: BTreeMap<TargetName, TargetKey>,
    /// Targets for which the last decision was [`TargetDecision::OpenPlacement`].
    open_targets: BTreeSet<TargetKey>,
    ordered_drains: BTreeSet<TargetName>,
    needs_planning: bool,
}

impl TargetRegistry {
    /// Creates the registry of an entry. `seed` initializes the random jitter of attempts to dial.
    pub fn open(entry: HostName, seed: u64) -> Self {
        Self {
            planner: SubsetPlanner::open(entry),
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: SlotMap::with_key(),
            members_by_host: BTreeMap::new(),
            targets: SlotMap::with_key(),
            targets_by_name: BTreeMap::new(),
            open_targets: BTreeSet::new(),
            ordered_drains: BTreeSet::new(),
            needs_planning: false,
        }
    }

    /// Applies an event and returns the resulting decisions, in order.
    pub fn apply(&mut self, event: TargetEvent, now: ClockTime) -> Vec<TargetDecision> {
        let mut decisions = Vec::new();
        if let TargetEvent::FrameReceived { host } = &event {
            // Frames are frequent. One from a member that was already live changes nothing else.
            if self.record_frame(host, now) {
                self.update_placement(now, &mut decisions);
            }
            return decisions;
        }
        self.apply_event(event, now, &mut decisions);
        if std::mem::take(&mut self.needs_planning) {
            self.plan_links(now, &mut decisions);
        }
        self.update_placement(now, &mut decisions);
        decisions
    }

    /// Returns `true` if the target may receive work at `now`. The result does not depend on ticks: the time since the
    /// last frame is checked here.
    pub fn may_place(&self, target: TargetKey, now: ClockTime) -> bool {
        let Some(record) = self.targets.get(target) else {
            return false;
        };
        let Some(member) = self.member(&record.host) else {
            return false;
        };
        !self.ordered_drains.contains(record.name()) && member.may_serve(now)
    }

    /// Returns the targets that may receive work at `now`.
    pub fn placeable(&self, now: ClockTime) -> impl Iterator<Item = (TargetKey, &TargetRecord)> {
        let open = self
            .open_targets
            .iter()
            .copied()
            .filter(move |target| self.may_place(*target, now));
        open.filter_map(|target| Some((target, self.targets.get(target)?)))
    }

    /// Returns all known targets, whether or not they may receive work.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &TargetRecord)> {
        self.targets.iter()
    }

    /// Returns the target with this key, or `None` if its incarnation has ended or it was removed.
    pub fn target(&self, target: TargetKey) -> Option<&TargetRecord> {
        self.targets.get(target)
    }

    /// Returns the most recently described target with this name.
    pub fn find(&self, name: &TargetName) -> Option<TargetKey> {
        self.targets_by_name.get(name).copied()
    }

    /// Returns the phase of a host's side process.
    pub fn phase(&self, host: &HostName, now: ClockTime) -> SidePhase {
        self.member(host)
            .map_or(SidePhase::Gone, |member| member.phase(now))
    }

    /// Returns `true` if the host is among those that this entry selected to link to.
    pub fn is_wanted(&self, host: &HostName) -> bool {
        self.member(host).is_some_and(|member| member.is_wanted)
    }

    fn member(&self, host: &HostName) -> Option<&SideMember> {
        self.members.get(*self.members_by_host.get(host)?)
    }

    fn member_mut(&mut self, host: &HostName) -> Option<&mut SideMember> {
        self.members.get_mut(*self.members_by_host.get(host)?)
    }
}
