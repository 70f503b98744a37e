//! The choice of a target for a call.
//!
//! Answers overloads in which prompts are read again: a program whose turns go to one target finds its prompt there,
//! and a target that holds more of a prompt than another may be busier and still answer earlier.

use ebony_types::rendezvous::rendezvous_weight;
use ebony_types::{ClockTime, DomainName, ServiceName};

use crate::board::{TargetBoard, TargetEntry, TargetKey, TargetPhase};
use crate::options::{DispatchOptions, PlacementRule};
use crate::prompt::PromptPart;

/// Parts at the start of a prompt that many programs share, and that say nothing of where a program ran.
const SHARED_PARTS: usize = 1;

/// What placement needs to know of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallShape<'a> {
    /// The service that serves the call.
    pub service: &'a ServiceName,
    /// The failure domain of the entry.
    pub domain: &'a DomainName,
    /// Calls with the same affinity prefer the same target: the program, or the call itself.
    pub affinity: &'a str,
    /// The prompt; empty for a plain service.
    pub prompt: &'a [PromptPart],
    /// Targets that the call must not go to again.
    pub tried: &'a [TargetKey],
    /// Connections of this entry that a target takes, as its share of what the target takes from all. Answers loads at
    /// which a target resets connections beyond its limit, with calls that may have run.
    pub most_connections: u32,
}

/// Chooses a target. `None` if no target of the service takes calls or all of them were tried.
///
/// Targets with recent failures, and after them those that turned calls away or have their share of connections open, are
/// chosen only if no other is left.
pub fn place(
    board: &TargetBoard,
    call: &CallShape<'_>,
    options: &DispatchOptions,
    now: ClockTime,
) -> Option<TargetKey> {
    let candidates = candidates(board, call, now);
    match options.rule {
        PlacementRule::LeastOwnLoad => least_own_load(&candidates, call),
        PlacementRule::HomeTarget => home_target(&candidates, call, options),
        PlacementRule::EstimatedDelay => least_delay(&candidates, call, options, now),
    }
}

type Candidate<'a> = (TargetKey, &'a TargetEntry);

/// Returns the targets of the best standing that has any.
fn candidates<'a>(board: &'a TargetBoard, call: &CallShape<'_>, now: ClockTime) -> Vec<Candidate<'a>> {
    let standing = |target: &TargetEntry| match () {
        () if target.fault.is_avoided(now) => 2,
        () if target.fault.is_full(now) => 1,
        () if target.load.own_calls() >= call.most_connections => 1,
        () => 0,
    };
    let is_candidate = |(key, target): &Candidate<'_>| {
        target.record.service == *call.service
            && target.record.phase == TargetPhase::Ready
            && !call.tried.contains(key)
    };
    let all: Vec<Candidate<'a>> = board.targets().filter(is_candidate).collect();
    let best = all.iter().map(|(_, target)| standing(target)).min();
    all.into_iter()
        .filter(|(_, target)| Some(standing(target)) == best)
        .collect()
}

fn affinity_weight(target: &TargetEntry, call: &CallShape<'_>) -> u64 {
    rendezvous_weight(call.affinity, target.record.name.as_str())
}

fn least_own_load(candidates: &[Candidate<'_>], call: &CallShape<'_>) -> Option<TargetKey> {
    let rank = |target: &TargetEntry| (target.load.own_calls(), affinity_weight(target, call));
    let chosen = candidates.iter().min_by_key(|(_, target)| rank(target))?;
    Some(chosen.0)
}

fn home_target(
    candidates: &[Candidate<'_>],
    call: &CallShape<'_>,
    options: &DispatchOptions,
) -> Option<TargetKey> {
    let home = candidates
        .iter()
        .max_by_key(|(_, target)| affinity_weight(target, call))?;
    let least = candidates
        .iter()
        .map(|(_, target)| target.load.own_calls())
        .min()?;
    if call.prompt.is_empty() || home.1.load.own_calls() > least + options.home_allowance {
        return least_own_load(candidates, call);
    }
    Some(home.0)
}

fn least_delay(
    candidates: &[Candidate<'_>],
    call: &CallShape<'_>,
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
        delay + later_delay(target, is_home, call, mean_running, options)
    };
    candidates
        .iter()
        .map(|candidate| (cost(candidate), candidate.0))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, key)| key)
}

/// Returns the estimated delay in milliseconds that the call has at the target, and that it causes to the calls there.
fn estimated_delay(
    target: &TargetEntry,
    is_home: bool,
    call: &CallShape<'_>,
    options: &DispatchOptions,
    now: ClockTime,
) -> f64 {
    let slots = f64::from(target.record.slots.max(1));
    let calls = target.load.calls(options, now);
    let queued = (calls + 1.0 - slots).max(0.0);
    let queue_delay = queued / slots * options.slot_time_ms;
    let is_remote = target.record.domain != *call.domain;
    let domain_delay = if is_remote { options.domain_delay_ms } else { 0.0 };
    if call.prompt.is_empty() {
        // Spreads calls over equal targets before their slots fill up.
        return queue_delay + domain_delay + calls / slots * options.domain_delay_ms * 2.0;
    }
    let reading_delay = unread_tokens(target, is_home, call) as f64 / options.prefill_tokens_per_ms;
    let backlog_delay = target.load.own_prefill() as f64 / options.prefill_tokens_per_ms;
    // Chunks of the prompt are read between the steps of the calls that run, and hold up each of them.
    let running = running_calls(target, options, now);
    queue_delay + domain_delay + backlog_delay + reading_delay * (1.0 + running) + running
}

/// Returns the estimated calls in the target's batch.
fn running_calls(target: &TargetEntry, options: &DispatchOptions, now: ClockTime) -> f64 {
    target
        .load
        .calls(options, now)
        .min(f64::from(target.record.slots.max(1)))
}

/// Returns the delay in milliseconds that the program's next turn has and causes if it finds its prompt elsewhere. A
/// target that holds the program's earlier turns goes on, and so does the home target; another one starts a detour.
fn later_delay(
    target: &TargetEntry,
    is_home: bool,
    call: &CallShape<'_>,
    mean_running: f64,
    options: &DispatchOptions,
) -> f64 {
    let earlier_parts = call.prompt.len().saturating_sub(1);
    let holds_earlier = earlier_parts > SHARED_PARTS && target.cache.held_parts(call.prompt) >= earlier_parts;
    if call.prompt.is_empty() || is_home || holds_earlier {
        return 0.0;
    }
    prompt_tokens(call) as f64 / options.prefill_tokens_per_ms * (1.0 + mean_running)
}

/// Returns the prompt tokens that the target has to read. The home target is taken to hold a program's earlier turns,
/// because other entries send them there.
fn unread_tokens(target: &TargetEntry, is_home: bool, call: &CallShape<'_>) -> u64 {
    let unread = prompt_tokens(call) - target.cache.held_tokens(call.prompt);
    let last = call.prompt.last().map_or(0, |part| u64::from(part.tokens));
    if is_home { unread.min(last) } else { unread }
}

fn prompt_tokens(call: &CallShape<'_>) -> u64 {
    call.prompt.iter().map(|part| u64::from(part.tokens)).sum()
}
