//! Statistics of an engine. They survive simulated crashes.

use std::collections::{BTreeMap, VecDeque};

use ebony_platform::EngineOrder;
use ebony_types::{CallId, FencingToken, ProcessIncarnation, ProgramId};
use serde::{Deserialize, Serialize};

use super::cache::CacheCounters;
use crate::counters::CountTable;

/// Maximum number of recent runs, and of recent orders, that are kept; the oldest are dropped.
const MAX_RECENT: usize = 1_000;

/// Statistics of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineStats {
    /// The current incarnation.
    pub incarnation: ProcessIncarnation,
    /// Counts of calls and orders.
    pub counts: EngineCounts,
    /// Calls that are running.
    pub running: u32,
    /// Calls that are waiting.
    pub waiting: u32,
    /// Maximum number of calls that ran concurrently.
    pub peak_running: u32,
    /// Tokens in the prefix cache.
    pub held_tokens: u64,
    /// Pinned programs.
    pub pinned: Vec<ProgramId>,
    /// The highest fencing token that this incarnation has accepted.
    pub highest_token: u64,
    /// Tokens that went through the prefix cache.
    pub cache: CacheCounters,
}

/// Counts of calls and orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineCounts {
    /// Calls that were received.
    pub received: u64,
    /// Calls that were refused as not run.
    pub refused: u64,
    /// Calls that began to run.
    pub runs: u64,
    /// Calls that completed.
    pub ended: u64,
    /// Calls that were cancelled while waiting or running.
    pub cancelled: u64,
    /// Answers that were resumed.
    pub resumed: u64,
    /// Streams that were cut off by [`super::EngineSettings::cut_answers`].
    pub cut: u64,
    /// Crashes.
    pub crashes: u64,
    /// Orders that passed the fencing check, including those with an old fencing token.
    pub orders: u64,
    /// Orders that were refused because of their fencing token.
    pub fenced_orders: u64,
    /// Orders with an old fencing token that passed, because the engine did not check it.
    pub stale_orders: u64,
    /// Exports of KV cache.
    pub exports: u64,
    /// Imports of KV cache.
    pub imports: u64,
}

/// Number of runs by call, request and messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunCounts {
    /// Runs by call identifier.
    pub calls: BTreeMap<String, u32>,
    /// Runs by [`ebony_types::RequestDigest`] of model and body.
    pub requests: BTreeMap<String, u32>,
    /// Runs by digest of the messages, as contained in the answers.
    pub messages: BTreeMap<String, u32>,
}

/// A call that began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SeenRun {
    /// The call.
    pub call: CallId,
    /// The program.
    pub program: Option<ProgramId>,
    /// The priority.
    pub priority: u32,
    /// The digest of model and body.
    pub request: String,
    /// The digest of the messages.
    pub messages: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
}

/// An order and its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SeenOrder {
    /// The order.
    pub order: EngineOrder,
    /// Its fencing token.
    pub token: FencingToken,
    /// Whether it ran.
    pub has_run: bool,
}

/// Records the statistics of an engine.
#[derive(Default)]
pub(crate) struct EngineLog {
    pub(crate) counts: EngineCounts,
    calls: CountTable,
    requests: CountTable,
    messages: CountTable,
    runs: VecDeque<SeenRun>,
    orders: VecDeque<SeenOrder>,
}

impl EngineLog {
    pub(crate) fn note_run(&mut self, run: SeenRun) {
        self.counts.runs += 1;
        self.calls.add(&run.call.to_string());
        self.requests.add(&run.request);
        self.messages.add(&run.messages);
        push_recent(&mut self.runs, run);
    }

    pub(crate) fn note_order(&mut self, order: SeenOrder) {
        push_recent(&mut self.orders, order);
    }

    pub(crate) fn runs(&self) -> Vec<SeenRun> {
        self.runs.iter().cloned().collect()
    }

    pub(crate) fn orders(&self) -> Vec<SeenOrder> {
        self.orders.iter().cloned().collect()
    }

    pub(crate) fn run_counts(&self, min: u32) -> RunCounts {
        RunCounts {
            calls: self.calls.at_least(min),
            requests: self.requests.at_least(min),
            messages: self.messages.at_least(min),
        }
    }
}

fn push_recent<T>(recent: &mut VecDeque<T>, item: T) {
    recent.push_back(item);
    if recent.len() > MAX_RECENT {
        recent.pop_front();
    }
}
