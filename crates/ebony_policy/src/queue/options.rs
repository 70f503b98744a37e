//! Options of the queue.

use serde::{Deserialize, Serialize};

/// The order of waiting calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// Least attained service of the whole program first.
    #[default]
    ProgramService,
    /// Arrival order of calls, regardless of program and caller. The baseline.
    FirstComeFirstServed,
}

/// Options of a [`CallQueue`](super::CallQueue).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueOptions {
    /// Order of waiting calls.
    pub order: QueueOrder,
    /// Maximum number of waiting calls.
    pub capacity: usize,
    /// Whether callers get a weighted fair share of the target and a fair share of the queue's places.
    pub fair_share: bool,
    /// Service in tokens by which a caller may exceed its fair share if its calls rank better.
    pub fair_slack_tokens: u64,
    /// Whether waiting calls age: ranks include the arrival time, so that no call starves.
    pub ageing: bool,
    /// Whether a call that blocks a parent program ranks like a call of a new program.
    pub parents_first: bool,
    /// Whether a call close to its deadline ranks higher.
    pub deadlines: bool,
    /// Whether a call that would miss its deadline behind the current backlog is refused at once.
    pub early_refusal: bool,
    /// Attained service up to which a program counts as new, in tokens. Each doubling above it adds a level.
    pub service_quantum_tokens: u64,
    /// Delay for each level, in milliseconds.
    pub level_delay_ms: u32,
    /// Maximum delay, in milliseconds. A call cannot overtake one that arrived earlier by more than this.
    pub max_delay_ms: u32,
    /// Time reserved for running a call before its deadline, in milliseconds.
    pub deadline_reserve_ms: u32,
    /// Maximum calls bypassed at a time because the target has no memory for them.
    pub bypass_calls: usize,
    /// Wait after which a call is no longer bypassed, in milliseconds.
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
    /// Returns the slack between callers in tokens; unlimited without fair sharing.
    pub(crate) fn slack(&self) -> u64 {
        if self.fair_share && self.order == QueueOrder::ProgramService {
            self.fair_slack_tokens
        } else {
            u64::MAX
        }
    }
}
