//! Even load over the targets of a service, although many entries choose by old reports.
//!
//! Entries that all choose the target with the least estimated delay choose the same one until its next report. An entry
//! therefore estimates a few random targets only, and takes the best of them: `docs/design/even-load.md` compares this
//! with other ways. Plain calls choose among the targets of a subset that differs between entries, as far as load
//! allows, so that entries open fewer connections and get newer reports.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use ebony_types::{ClockTime, ServiceName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use crate::board::{TargetBoard, TargetEntry, TargetKey};
use crate::expected_time::{ServiceView, expected_time, has_long_queue};
use crate::memory::{MemoryRoom, memory_room};
use crate::options::DispatchOptions;
use crate::placement::{Candidate, PlacementRequest, affinity_weight, has_history};

/// The random targets that are compared for a call. In the model, 2 turn fewest calls away; 3 and more fill the fastest
/// targets beyond their room again.
const CHOICES: usize = 2;

/// The least size of an entry's subset of targets for plain calls; it has a target for each running plain call of the
/// entry if these are more. In the model, subsets of 6 to 10 targets serve calls as well as all 59 do, with a quarter of
/// the new connections.
const MIN_SUBSET: usize = 8;

/// How long a target that failed is passed over by calls that run at most once, and the delay in milliseconds that they
/// accept for it. Such a call is lost if the target breaks off again, and targets that go down and up by turns break off
/// the first calls of each turn. Idempotent calls show whether the target is back.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);
const FAILURE_RISK_MS: f64 = 150.0;

/// Which services get even load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EvenLoad {
    /// Those whose targets report a slow-down.
    #[default]
    Automatic,
    /// All.
    Always,
    /// None.
    Never,
}

impl EvenLoad {
    /// Parses the name of a mode; `None` if it is unknown.
    ///
    /// ```
    /// use ebony_dispatch::EvenLoad;
    ///
    /// assert_eq!(EvenLoad::from_name("always"), Some(EvenLoad::Always));
    /// assert_eq!(EvenLoad::from_name("sometimes"), None);
    /// ```
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "automatic" => Some(Self::Automatic),
            "always" => Some(Self::Always),
            "never" => Some(Self::Never),
            _ => None,
        }
    }

    /// Returns the mode of a configuration: with customers, all services get even load unless the settings forbid it.
    ///
    /// ```
    /// use ebony_dispatch::EvenLoad;
    ///
    /// assert_eq!(EvenLoad::Automatic.with_customers(true), EvenLoad::Always);
    /// assert_eq!(EvenLoad::Never.with_customers(true), EvenLoad::Never);
    /// ```
    #[must_use]
    pub fn with_customers(self, has_customers: bool) -> Self {
        match self {
            Self::Automatic if has_customers => Self::Always,
            mode => mode,
        }
    }

    /// Returns whether calls to a service are placed for even load.
    pub(crate) fn applies(self, board: &TargetBoard, service: &ServiceName) -> bool {
        match self {
            Self::Automatic => board.reports_slowdown(service),
            Self::Always => true,
            Self::Never => false,
        }
    }
}

/// What a call needs of a target, and what the entry has open to targets. It matters for even load only.
#[derive(Clone, Copy)]
pub struct CallDemand<'a> {
    /// The most tokens of the answer.
    pub max_output: u64,
    /// The memory of a target of the service, in tokens, if known.
    pub memory_tokens: Option<u64>,
    /// Whether the call must not run again if a target breaks it off.
    pub runs_once: bool,
    /// Returns whether an idle connection to a target is open.
    pub has_idle: &'a dyn Fn(TargetKey) -> bool,
}

impl Default for CallDemand<'_> {
    fn default() -> Self {
        Self {
            max_output: 0,
            memory_tokens: None,
            runs_once: false,
            has_idle: &|_| true,
        }
    }
}

/// Chooses the target with the least expected time among a few ones: random ones, for turns also the home target and
/// those that have the program's history cached, and for calls about an object the home target.
pub(crate) fn least_time(
    board: &TargetBoard,
    candidates: &[Candidate<'_>],
    call: &PlacementRequest<'_>,
    demand: &CallDemand<'_>,
    options: &DispatchOptions,
    now: ClockTime,
) -> Option<TargetKey> {
    let view = ServiceView::of(board, call.service, options, now);
    let mut rng = StdRng::seed_from_u64(decision_seed(call, now));
    let has_home = !call.prompt.is_empty() || call.is_sticky;
    let home = has_home.then(|| home_target(candidates, call)).flatten();
    let compare = |best: &mut BestTarget, (key, target): &Candidate<'_>| {
        let is_home = Some(*key) == home;
        let time = expected_time(target, is_home, (demand.has_idle)(*key), call, &view);
        let is_risky = demand.runs_once && target.fault.has_failed_within(FAILURE_MEMORY, now);
        let risk = if is_risky { FAILURE_RISK_MS } else { 0.0 };
        best.compare(*key, time + risk, is_risky || has_long_queue(target, &view));
    };
    let mut best = BestTarget::default();
    if call.prompt.is_empty() {
        let home = candidates.iter().filter(|(key, _)| Some(*key) == home);
        home.for_each(|target| compare(&mut best, target));
        sample(near_targets(candidates), &mut rng, |target| {
            compare(&mut best, target)
        });
    } else {
        let is_cached = |(key, target): &&Candidate<'_>| Some(*key) == home || has_history(target, call);
        let cached = candidates.iter().filter(is_cached);
        cached.for_each(|target| compare(&mut best, target));
        sample(candidates.iter(), &mut rng, |target| compare(&mut best, target));
    }
    if best.has_long_queue() {
        sample(candidates.iter(), &mut rng, |target| compare(&mut best, target));
    }
    best.key
}

/// Returns whether the target has room for the call's tokens. Targets for which that is doubtful are left out if there
/// are others.
pub(crate) fn retain_with_memory(
    board: &TargetBoard,
    candidates: &mut Vec<Candidate<'_>>,
    call: &PlacementRequest<'_>,
    demand: &CallDemand<'_>,
    options: &DispatchOptions,
    now: ClockTime,
) {
    let Some(capacity) = demand.memory_tokens else {
        return;
    };
    if call.prompt.is_empty() {
        return;
    }
    let view = ServiceView::of(board, call.service, options, now);
    let room = |target: &TargetEntry| memory_room(target, call, demand.max_output, capacity, &view);
    candidates.retain(|(_, target)| room(target) != MemoryRoom::None);
    if candidates
        .iter()
        .any(|(_, target)| room(target) == MemoryRoom::Free)
    {
        candidates.retain(|(_, target)| room(target) == MemoryRoom::Free);
    }
}

/// The best of the targets that were compared.
#[derive(Debug, Default)]
struct BestTarget {
    key: Option<TargetKey>,
    time: f64,
    has_long_queue: bool,
}

impl BestTarget {
    fn compare(&mut self, key: TargetKey, time: f64, has_long_queue: bool) {
        if self.key.is_none() || time < self.time {
            *self = Self {
                key: Some(key),
                time,
                has_long_queue,
            };
        }
    }

    /// Returns whether the call would have to queue for long, or there is no target yet.
    fn has_long_queue(&self) -> bool {
        self.key.is_none() || self.has_long_queue
    }
}

fn home_target(candidates: &[Candidate<'_>], call: &PlacementRequest<'_>) -> Option<TargetKey> {
    let home = candidates
        .iter()
        .max_by_key(|(_, target)| affinity_weight(target, call))?;
    Some(home.0)
}

/// Calls a function with some random targets.
fn sample<'a>(
    targets: impl Iterator<Item = &'a Candidate<'a>>,
    rng: &mut StdRng,
    compare: impl FnMut(&'a Candidate<'a>),
) {
    let mut chosen = [None; CHOICES];
    let count = targets.map(Some).choose_multiple_fill(rng, &mut chosen);
    chosen[..count].iter().copied().flatten().for_each(compare);
}

/// Returns the targets of the entry's subset. It grows with the entry's running calls. A target is in the subset if its
/// rank at this entry is in the lowest part, which needs no sorting.
fn near_targets<'a>(candidates: &'a [Candidate<'a>]) -> impl Iterator<Item = &'a Candidate<'a>> {
    let own_calls: u32 = candidates.iter().map(|(_, target)| target.load.own_calls()).sum();
    let size = (own_calls as usize).max(MIN_SUBSET) as u128;
    let total = candidates.len() as u128;
    let is_near = move |rank: u64| (u128::from(rank) * total) >> 64 < size;
    candidates.iter().filter(move |(_, target)| is_near(target.rank))
}

/// Returns the seed of the random choice for a call. It differs between the attempts of a call.
fn decision_seed(call: &PlacementRequest<'_>, now: ClockTime) -> u64 {
    let mut hasher = DefaultHasher::new();
    call.affinity.hash(&mut hasher);
    now.as_micros().hash(&mut hasher);
    hasher.finish()
}
