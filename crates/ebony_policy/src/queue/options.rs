//! Options of the queue.

use serde::{Deserialize, Serialize};

/// The order of waiting calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// By the attained service of the whole program.
    #[default]
    ProgramService,
    /// By the arrival of the call, whatever its program and caller. The baseline.
    FirstComeFirstServed,
}

/// Options of a [`CallQueue`](super::CallQueue).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueOptions {
    /// The order of calls.
    pub order: QueueOrder,
    /// The most waiting calls.
    pub capacity: usize,
    /// Whether callers get a weighted fair share of the target and of the queue's places.
    pub fair_share: bool,
    /// How far a caller may run ahead of its fair share in favour of better ranked calls, in tokens of service.
    pub fair_slack_tokens: u64,
    /// Whether waiting calls rise, so that none starves.
    pub ageing: bool,
    /// Whether a call that a parent program is blocked on ranks like that of a new program.
    pub parents_first: bool,
    /// Whether a call close to its deadline moves ahead.
    pub deadlines: bool,
    /// Whether a call that would miss its deadline behind the present backlog is refused at once.
    pub early_refusal: bool,
    /// Attained service up to which a program counts as new, in tokens.
    pub service_quantum_tokens: u64,
    /// The delay for each doubling of attained service above the quantum, in milliseconds.
    pub level_delay_ms: u32,
    /// The longest delay, in milliseconds. It bounds how much later a call may arrive and still overtake.
    pub max_delay_ms: u32,
    /// The time that a call gets before its deadline, in milliseconds.
    pub deadline_reserve_ms: u32,
    /// Calls that are passed over at a time because the target has no memory for them.
    pub bypass_calls: usize,
    /// Milliseconds of waiting after which a call is no longer passed over.
    pub bypass_ms: u32,
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self {
            order: QueueOrder::ProgramService,
            capacity: 512,
            fair_share: true,
            fair_slack_tokens: 50_000,
            ageing: true,
            parents_first: true,
            deadlines: true,
            early_refusal: true,
            service_quantum_tokens: 4_000,
            level_delay_ms: 2_000,
            max_delay_ms: 20_000,
            deadline_reserve_ms: 20_000,
            bypass_calls: 32,
            bypass_ms: 20_000,
        }
    }
}

impl QueueOptions {
    /// Returns the slack between callers in tokens; unlimited if fair share is off.
    pub(crate) fn slack(&self) -> u64 {
        if self.fair_share && self.order == QueueOrder::ProgramService {
            self.fair_slack_tokens
        } else {
            u64::MAX
        }
    }
}
