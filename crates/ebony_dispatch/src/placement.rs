//! Placement of calls on targets.
//!
//! Placement takes prompt caches into account, because prefilling the same prompts again on other targets can overload
//! them: a program whose turns stay on one target finds its prompt cached there, and a busier target that has cached
//! more of the prompt may still answer earlier.

use std::time::Duration;

use ebony_types::rendezvous::rendezvous_weight;
use ebony_types::{ClockTime, DomainName, ServiceName, SoftwareVersion};

use crate::board::{TargetBoard, TargetEntry, TargetKey, TargetPhase};
use crate::even_load::{CallDemand, least_time, retain_with_memory};
use crate::options::{DispatchOptions, PlacementRule};
use crate::prompt::PromptPart;

/// Leading parts of a prompt that many programs share. Finding them cached does not show that the program ran there.
const SHARED_PREFIX_PARTS: usize = 1;

/// The properties of a call that placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service that the call is for.
    pub service: &'a ServiceName,
    /// The failure domain of the entry.
    pub domain: &'a DomainName,
    /// Calls with the same affinity prefer the same target: the program, the object, or the call itself.
    pub affinity: &'a str,
    /// Whether the call is about an object, so that it runs faster at the target that serves the object. All entries
    /// take the home target of the affinity for that one. Ignored for calls with a prompt.
    pub is_sticky: bool,
    /// The prompt; empty for a plain service.
    pub prompt: &'a [PromptPart],
    /// Targets to exclude because the call was already sent to them.
    pub tried: &'a [TargetKey],
    /// This entry's share of the connections that a target accepts. Beyond its limit a target resets connections, and
    /// calls on them may have run.
    pub max_connections: u32,
    /// How long the call may wait for the permit of a target that limits its rate; `None` if it must not use one.
    pub max_permit_wait: Option<Duration>,
    /// The software versions of the targets that may get the call.
    pub versions: VersionRule<'a>,
}

/// The software versions of the targets that may get a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionRule<'a> {
    /// All.
    #[default]
    Any,
    /// One, which began the stream that the call resumes.
    Only(&'a SoftwareVersion),
    /// All but these.
    Except(&'a [SoftwareVersion]),
}

impl VersionRule<'_> {
    /// Returns whether targets of a version may get the call.
    ///
    /// ```
    /// use ebony_dispatch::VersionRule;
    /// use ebony_types::SoftwareVersion;
    ///
    /// let (old, new) = (SoftwareVersion::parse("v1")?, SoftwareVersion::parse("v2")?);
    /// assert!(VersionRule::Only(&old).allows(&old));
    /// assert!(!VersionRule::Only(&old).allows(&new));
    /// # Ok::<(), ebony_types::software_version::SoftwareVersionError>(())
    /// ```
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => *only == version,
            Self::Except(excluded) => !excluded.contains(version),
        }
    }
}

/// Chooses a target. Returns `None` if no target of the service takes calls or all of them were tried.
///
/// Targets that limit their rate are chosen only if the call may wait until their next permit is due.
/// Targets that rejected a call as full or have no connection left for this entry are chosen only if no better one is
/// available, and targets in back-off after failures only if none of those is either.
pub fn place(
    board: &TargetBoard,
    call: &PlacementRequest<'_>,
    options: &DispatchOptions,
    now: ClockTime,
) -> Option<TargetKey> {
    place_with(board, call, &CallDemand::default(), options, now)
}

/// Chooses a target like [`place`], given also what the call needs of a target. For services with even load, the
/// estimated delay is compared for a few targets only, see [`crate::even_load`].
pub fn place_with(
    board: &TargetBoard,
    call: &PlacementRequest<'_>,
    demand: &CallDemand<'_>,
    options: &DispatchOptions,
    now: ClockTime,
) -> Option<TargetKey> {
    let is_even =
        options.rule == PlacementRule::EstimatedDelay && options.even_load.applies(board, call.service);
    if is_even {
        let mut candidates = eligible_targets(board, call, now);
        retain_with_memory(board, &mut candidates, call, demand, options, now);
        retain_best_tier(&mut candidates, call, now);
        return least_time(board, &candidates, call, demand, options, now);
    }
    let mut candidates = eligible_targets(board, call, now);
    retain_best_tier(&mut candidates, call, now);
    match options.rule {
        PlacementRule::LeastOwnLoad => least_own_load(&candidates, call),
        PlacementRule::HomeTarget => home_target(&candidates, call, options),
        PlacementRule::EstimatedDelay => least_delay(&candidates, call, options, now),
    }
}

pub(crate) type Candidate<'a> = (TargetKey, &'a TargetEntry);

/// Returns the targets that may get the call.
fn eligible_targets<'a>(
    board: &'a TargetBoard,
    call: &PlacementRequest<'_>,
    now: ClockTime,
) -> Vec<Candidate<'a>> {
    let is_eligible = |(key, target): &Candidate<'_>| {
        target.record.service == *call.service
            && target.record.phase == TargetPhase::Ready
            && !call.tried.contains(key)
            && call.versions.allows(&target.record.version)
            && may_wait_for_permit(target, call, now)
    };
    board.targets().filter(is_eligible).collect()
}

/// Keeps the targets of the best availability tier that is not empty.
fn retain_best_tier(candidates: &mut Vec<Candidate<'_>>, call: &PlacementRequest<'_>, now: ClockTime) {
    let tier = |target: &TargetEntry| match () {
        () if target.fault.is_avoided(now) => 2,
        () if target.fault.is_full(now) => 1,
        () if target.load.own_calls() >= call.max_connections => 1,
        () => 0,
    };
    let best = candidates.iter().map(|(_, target)| tier(target)).min();
    candidates.retain(|(_, target)| Some(tier(target)) == best);
}

/// Returns the time until the target's next permit is due, as far as known; zero if it does not limit its rate.
pub(crate) fn permit_delay(target: &TargetEntry, now: ClockTime) -> Duration {
    match target.limit {
        Some(_) => target.next_permit.since(now),
        None => Duration::ZERO,
    }
}

/// Returns whether the call may wait for a permit of the target.
fn may_wait_for_permit(target: &TargetEntry, call: &PlacementRequest<'_>, now: ClockTime) -> bool {
    match (target.limit, call.max_permit_wait) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(_), Some(max_wait)) => permit_delay(target, now) <= max_wait,
    }
}

pub(crate) fn affinity_weight(target: &TargetEntry, call: &PlacementRequest<'_>) -> u64 {
    rendezvous_weight(call.affinity, target.record.name.as_str())
}

fn least_own_load(candidates: &[Candidate<'_>], call: &PlacementRequest<'_>) -> Option<TargetKey> {
    let rank = |target: &TargetEntry| (target.load.own_calls(), affinity_weight(target, call));
    let chosen = candidates.iter().min_by_key(|(_, target)| rank(target))?;
    Some(chosen.0)
}

fn home_target(
    candidates: &[Candidate<'_>],
    call: &PlacementRequest<'_>,
    options: &DispatchOptions,
) -> Option<TargetKey> {
    let home = candidates
        .iter()
        .max_by_key(|(_, target)| affinity_weight(target, call))?;
    let least = candidates
        .iter()
        .map(|(_, target)| target.load.own_calls())
        .min()?;
    if call.prompt.is_empty() || home.1.load.own_calls() > least + options.home_extra_calls {
        return least_own_load(candidates, call);
    }
    Some(home.0)
}

fn least_delay(
    candidates: &[Candidate<'_>],
    call: &PlacementRequest<'_>,
    options: &DispatchOptions,
    now: ClockTime,
) -> Option<TargetKey> {
    let home = candidates
        .iter()
        .max_by_key(|(_, target)| affinity_weight(target, call))
        .map(|(key, _)| *key);
    let running = candidates
        .iter()
        .map(|(_, target)| running_calls(target, options, now));
    let mean_running = running.sum::<f64>() / candidates.len().max(1) as f64;
    let cost = |(key, target): &Candidate<'_>| {
        let is_home = Some(*key) == home;
        let delay = estimated_delay(target, is_home, call, options, now);
        delay + next_turn_delay(target, is_home, call, mean_running, options)
    };
    candidates
        .iter()
        .map(|candidate| (cost(candidate), candidate.0))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, key)| key)
}

/// Returns the estimated delay of the call at the target plus the delay that it causes to the calls there, in
/// milliseconds.
fn estimated_delay(
    target: &TargetEntry,
    is_home: bool,
    call: &PlacementRequest<'_>,
    options: &DispatchOptions,
    now: ClockTime,
) -> f64 {
    let slots = f64::from(target.record.slots.max(1));
    let calls = target.load.calls(options, now);
    let queued = (calls + 1.0 - slots).max(0.0);
    let permit_delay = permit_delay(target, now).as_secs_f64() * 1_000.0;
    let queue_delay = queued / slots * options.slot_time_ms + permit_delay;
    let is_remote = target.record.domain != *call.domain;
    let domain_delay = if is_remote { options.domain_delay_ms } else { 0.0 };
    if call.prompt.is_empty() {
        // Spreads calls over equal targets before their slots fill up.
        let spread_delay = calls / slots * options.domain_delay_ms * 2.0;
        let is_away = call.is_sticky && !is_home;
        let object_delay = if is_away { options.object_delay_ms } else { 0.0 };
        return queue_delay + domain_delay + spread_delay + object_delay;
    }
    let prefill_delay = prefill_tokens(target, is_home, call) as f64 / options.prefill_tokens_per_ms;
    let backlog_delay = target.load.own_prefill() as f64 / options.prefill_tokens_per_ms;
    // The engine prefills a prompt in chunks between the decoding steps of its batch, which delays every running call.
    let running = running_calls(target, options, now);
    queue_delay + domain_delay + backlog_delay + prefill_delay * (1.0 + running) + running
}

/// Returns the estimated calls in the target's batch.
fn running_calls(target: &TargetEntry, options: &DispatchOptions, now: ClockTime) -> f64 {
    target
        .load
        .calls(options, now)
        .min(f64::from(target.record.slots.max(1)))
}

/// Returns the estimated delay that the program's next turn has and causes, in milliseconds, if this call moves the
/// program to the target. It is 0 for the home target and for targets that have cached the program's earlier turns;
/// from any other target, the next turn is expected to move again and to prefill this prompt elsewhere.
fn next_turn_delay(
    target: &TargetEntry,
    is_home: bool,
    call: &PlacementRequest<'_>,
    mean_running: f64,
    options: &DispatchOptions,
) -> f64 {
    if call.prompt.is_empty() || is_home || has_history(target, call) {
        return 0.0;
    }
    prompt_tokens(call) as f64 / options.prefill_tokens_per_ms * (1.0 + mean_running)
}

/// Returns whether the target is expected to have cached the program's earlier turns.
pub(crate) fn has_history(target: &TargetEntry, call: &PlacementRequest<'_>) -> bool {
    let earlier_parts = call.prompt.len().saturating_sub(1);
    earlier_parts > SHARED_PREFIX_PARTS && target.cache.cached_parts(call.prompt) >= earlier_parts
}

/// Returns the prompt tokens that the target has to prefill. The home target is assumed to have cached the program's
/// earlier turns, because other entries send them there.
pub(crate) fn prefill_tokens(target: &TargetEntry, is_home: bool, call: &PlacementRequest<'_>) -> u64 {
    let uncached = prompt_tokens(call) - target.cache.cached_tokens(call.prompt);
    let last = call.prompt.last().map_or(0, |part| u64::from(part.tokens));
    if is_home { uncached.min(last) } else { uncached }
}

pub(crate) fn prompt_tokens(call: &PlacementRequest<'_>) -> u64 {
    call.prompt.iter().map(|part| u64::from(part.tokens)).sum()
}
