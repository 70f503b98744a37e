//! The expected time of a call at a target.

use ebony_types::{ClockTime, ServiceName};

use crate::board::{TargetBoard, TargetEntry};
use crate::options::DispatchOptions;
use crate::placement::{PlacementRequest, has_history, permit_delay, prefill_tokens, prompt_tokens};

/// The cost of a new connection, in milliseconds: a round trip, and processing at both ends, which is slow on the
/// smallest hosts.
const NEW_CONNECTION_MS: f64 = 5.0;

/// The share of the usual time in which a target runs calls about an object that it served recently.
const OBJECT_RUN_SHARE: f64 = 0.5;

/// What an entry knows of a service as a whole.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceView<'a> {
    /// The mean of the calls of other entries at a target, per slot.
    pub(crate) others_per_slot: f64,
    /// The mean of the tokens that a call of the entry needs.
    pub(crate) call_tokens: f64,
    slot_time_ms: f64,
    options: &'a DispatchOptions,
    now: ClockTime,
}

impl<'a> ServiceView<'a> {
    pub(crate) fn of(
        board: &TargetBoard,
        service: &ServiceName,
        options: &'a DispatchOptions,
        now: ClockTime,
    ) -> Self {
        let pace = board.paces.get(service).copied().unwrap_or_default();
        Self {
            others_per_slot: pace.others_per_slot(),
            call_tokens: pace.call_tokens(),
            slot_time_ms: pace.slot_time_ms(options.slot_time_ms),
            options,
            now,
        }
    }

    /// Returns the estimated calls of other entries at a target. As its report ages, the estimate goes to the mean of
    /// the service: a target that was not heard of is not idle.
    pub(crate) fn other_calls(&self, target: &TargetEntry) -> f64 {
        let weight = target.load.report_weight(self.options, self.now);
        let usual = self.others_per_slot * slots(target);
        weight * f64::from(target.load.other_calls()) + (1.0 - weight) * usual
    }

    /// Returns the estimated calls of all entries at a target.
    pub(crate) fn calls(&self, target: &TargetEntry) -> f64 {
        f64::from(target.load.own_calls()) + self.other_calls(target)
    }
}

/// Returns whether a further call would have to queue at the target for longer than calls usually run.
pub(crate) fn has_long_queue(target: &TargetEntry, view: &ServiceView<'_>) -> bool {
    queue_rounds(target, view) > 1.0
}

/// Returns how many calls have to end in each slot before a further call can run.
fn queue_rounds(target: &TargetEntry, view: &ServiceView<'_>) -> f64 {
    let slots = slots(target);
    (view.calls(target) + 1.0 - slots).max(0.0) / slots
}

/// Returns the expected time of the call at the target plus the delay that it causes to calls there and to the
/// program's next turn, in milliseconds.
pub(crate) fn expected_time(
    target: &TargetEntry,
    is_home: bool,
    has_idle: bool,
    call: &PlacementRequest<'_>,
    view: &ServiceView<'_>,
) -> f64 {
    let options = view.options;
    let calls = view.calls(target);
    let slots = slots(target);
    let time_factor = target.time_factor(view.now);
    let serves_object = call.is_sticky && is_home && call.prompt.is_empty();
    let run_share = if serves_object { OBJECT_RUN_SHARE } else { 1.0 };
    let slot_time = view.slot_time_ms * (run_share + queue_rounds(target, view)) * time_factor;
    let permit_delay = permit_delay(target, view.now).as_secs_f64() * 1_000.0;
    let is_remote = target.record.domain != *call.domain;
    let domain_delay = if is_remote { options.domain_delay_ms } else { 0.0 };
    let connection_delay = if has_idle { 0.0 } else { NEW_CONNECTION_MS };
    let fixed = slot_time + permit_delay + domain_delay + connection_delay;
    if call.prompt.is_empty() {
        // Spreads calls over equal targets before their slots fill up.
        let spread_delay = calls / slots * options.domain_delay_ms * 2.0;
        // The share of a short run time alone is less than the cost of a new connection to the home target.
        let is_away = call.is_sticky && !is_home;
        let object_delay = if is_away { options.object_delay_ms } else { 0.0 };
        return fixed + spread_delay + object_delay;
    }
    let running = calls.min(slots);
    let prefill_delay = prefill_tokens(target, is_home, call) as f64 / options.prefill_tokens_per_ms;
    let backlog_delay = target.load.own_prefill() as f64 / options.prefill_tokens_per_ms;
    let batch_delay = backlog_delay + prefill_delay * (1.0 + running) + running;
    fixed + batch_delay * time_factor + next_turn_delay(target, is_home, call, view)
}

/// Returns the estimated delay that the program's next turn has and causes if this call moves the program.
fn next_turn_delay(
    target: &TargetEntry,
    is_home: bool,
    call: &PlacementRequest<'_>,
    view: &ServiceView<'_>,
) -> f64 {
    if is_home || has_history(target, call) {
        return 0.0;
    }
    let usual_running = (view.others_per_slot * slots(target)).min(slots(target));
    prompt_tokens(call) as f64 / view.options.prefill_tokens_per_ms * (1.0 + usual_running)
}

/// Returns the number of calls that the target runs at once.
pub(crate) fn slots(target: &TargetEntry) -> f64 {
    f64::from(target.record.slots.max(1))
}
