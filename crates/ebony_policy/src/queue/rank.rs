//! Ranks waiting calls.

use ebony_types::ClockTime;

use super::{QueueOptions, QueueOrder, QueuedCall};

/// Rank of a call: the lowest runs first. Ties go to the call that arrived first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallRank {
    due_micros: u64,
    sequence: u64,
}

impl CallRank {
    /// Ranks a call that arrives at `now`.
    ///
    /// The rank is the arrival time plus a delay that grows with the logarithm of the program's attained service. It
    /// does not change while the call waits: all waiting calls age at the same rate, and only calls that arrive within
    /// [`QueueOptions::max_delay_ms`] can overtake it.
    pub(crate) fn of_call(options: &QueueOptions, call: &QueuedCall, now: ClockTime, sequence: u64) -> Self {
        let due_micros = match options.order {
            QueueOrder::FirstComeFirstServed => now.as_micros(),
            QueueOrder::ProgramService => program_due_micros(options, call, now),
        };
        Self { due_micros, sequence }
    }
}

fn program_due_micros(options: &QueueOptions, call: &QueuedCall, now: ClockTime) -> u64 {
    let mut delay = service_delay_micros(options, call.rank.attained_tokens);
    if options.parents_first && call.rank.blocks_parent {
        delay = 0;
    }
    if !options.ageing {
        return delay;
    }
    let due = now.as_micros().saturating_add(delay);
    if options.deadlines {
        due.min(latest_start_micros(options, call).max(now.as_micros()))
    } else {
        due
    }
}

/// Returns the delay for the given attained service: one level for each doubling.
fn service_delay_micros(options: &QueueOptions, attained_tokens: u64) -> u64 {
    let quanta = attained_tokens / options.service_quantum_tokens.max(1);
    let doublings = u64::from(quanta.saturating_add(1).ilog2());
    let delay_ms = doublings * u64::from(options.level_delay_ms);
    delay_ms.min(u64::from(options.max_delay_ms)) * 1_000
}

/// Returns the latest time at which the call should start in order to end before its deadline.
fn latest_start_micros(options: &QueueOptions, call: &QueuedCall) -> u64 {
    let reserve = u64::from(options.deadline_reserve_ms) * 1_000;
    call.deadline.as_micros().saturating_sub(reserve)
}
