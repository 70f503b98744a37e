//! Side processes and the targets behind them, as one entry sees them.

mod apply;
mod event;
mod member;
mod review;

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
    /// Names a target in one life of its side process. A target on a new incarnation has a new key.
    pub struct TargetKey;
}

/// The most targets that are taken from one side process.
const MAX_TARGETS_PER_HOST: usize = 64;

/// The membership of side processes and targets.
///
/// Members are bounded by [`MAX_LISTED_HOSTS`](crate::host_hint::MAX_LISTED_HOSTS); a member leaves when it is not
/// listed, has no link, and its calls can't resume. Its targets leave with its process's life.
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
    source: ChaCha8Rng,
    members: SlotMap<MemberKey, SideMember>,
    hosts: BTreeMap<HostName, MemberKey>,
    targets: SlotMap<TargetKey, TargetRecord>,
    /// The newest target of each name.
    names: BTreeMap<TargetName, TargetKey>,
    /// Targets that were announced as open for placement.
    open: BTreeSet<TargetKey>,
    ordered_drains: BTreeSet<TargetName>,
    needs_plan: bool,
}

impl TargetRegistry {
    /// Creates the registry of an entry. The seed spreads attempts to dial.
    pub fn open(entry: HostName, seed: u64) -> Self {
        Self {
            planner: SubsetPlanner::open(entry),
            source: ChaCha8Rng::seed_from_u64(seed),
            members: SlotMap::with_key(),
            hosts: BTreeMap::new(),
            targets: SlotMap::with_key(),
            names: BTreeMap::new(),
            open: BTreeSet::new(),
            ordered_drains: BTreeSet::new(),
            needs_plan: false,
        }
    }

    /// Takes an event and returns what has to be done, in order.
    pub fn apply(&mut self, event: TargetEvent, now: ClockTime) -> Vec<TargetDecision> {
        let mut decisions = Vec::new();
        if let TargetEvent::Heard { host } = &event {
            // Frames arrive often; they change nothing while the member is live.
            if self.hear(host, now) {
                self.review_placement(now, &mut decisions);
            }
            return decisions;
        }
        self.apply_event(event, now, &mut decisions);
        if std::mem::take(&mut self.needs_plan) {
            self.plan_links(now, &mut decisions);
        }
        self.review_placement(now, &mut decisions);
        decisions
    }

    /// Returns `true` if the target may receive work at `now`. It needs no tick: silence counts by itself.
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
            .open
            .iter()
            .copied()
            .filter(move |target| self.may_place(*target, now));
        open.filter_map(|target| Some((target, self.targets.get(target)?)))
    }

    /// Returns all known targets, whether or not they may receive work.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &TargetRecord)> {
        self.targets.iter()
    }

    /// Returns a target.
    pub fn target(&self, target: TargetKey) -> Option<&TargetRecord> {
        self.targets.get(target)
    }

    /// Returns the newest target with a name.
    pub fn find(&self, name: &TargetName) -> Option<TargetKey> {
        self.names.get(name).copied()
    }

    /// Returns the phase of a host's side process.
    pub fn phase(&self, host: &HostName, now: ClockTime) -> SidePhase {
        self.member(host)
            .map_or(SidePhase::Gone, |member| member.phase(now))
    }

    /// Returns `true` if the entry keeps a link to the host.
    pub fn is_wanted(&self, host: &HostName) -> bool {
        self.member(host).is_some_and(|member| member.is_wanted)
    }

    fn member(&self, host: &HostName) -> Option<&SideMember> {
        self.members.get(*self.hosts.get(host)?)
    }

    fn member_mut(&mut self, host: &HostName) -> Option<&mut SideMember> {
        self.members.get_mut(*self.hosts.get(host)?)
    }
}
