//! Options and settings of an engine.

use ebony_types::ModelName;
use serde::{Deserialize, Serialize};

use crate::server::PortOptions;
use crate::server::faults::FaultSettings;

/// Options of an engine at its start.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// The ports.
    pub ports: PortOptions,
    /// Models that are loaded at the start and after a crash.
    pub models: Vec<ModelName>,
    /// The settings.
    pub settings: EngineSettings,
    /// The faults.
    pub faults: FaultSettings,
}

/// Settings of an engine. The defaults take no time, for tests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Calls that run at once.
    pub slots: u32,
    /// Calls that wait at most; more are refused as not run.
    pub max_waiting: u32,
    /// Prompt tokens per second that are computed for one call; 0 takes no time.
    pub prefill_tokens_per_second: u64,
    /// Microseconds for each token of an answer.
    pub decode_us_per_token: u64,
    /// Microseconds that each running call adds to each token of an answer.
    pub decode_us_per_running: u64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Bytes of KV cache for each token, as load reports and held programs tell.
    pub kv_bytes_per_token: u64,
    /// Microseconds for each token of an export or import.
    pub kv_transfer_us_per_token: u64,
    /// Milliseconds after its end that an answer can be resumed.
    pub keep_ms: u64,
    /// Ended answers that are kept at most.
    pub max_kept: u32,
    /// Milliseconds until a cache notice can be read.
    pub notice_delay_ms: u64,
    /// Every notice with a number divisible by this is lost; 0 loses none.
    pub notice_gap_every: u64,
    /// Milliseconds by which load reports lag.
    pub load_lag_ms: u64,
    /// Whether orders with an old fencing token are refused. Otherwise they run.
    pub checks_fencing: bool,
    /// Milliseconds to load a model.
    pub model_load_ms: u64,
    /// Models that fit.
    pub max_models: u32,
    /// A call whose messages contain this text crashes the engine when it starts to run; an empty text never does.
    pub crash_marker: String,
    /// Milliseconds that the engine is down after such a crash.
    pub crash_down_ms: u64,
    /// Whether running calls make no progress. They continue when it is unset.
    pub is_hung: bool,
    /// How many of the next answers are cut: the connection is closed in their middle, and the calls run on.
    pub cut_answers: u32,
    /// Bytes of a body behind which an answer is cut.
    pub cut_after_bytes: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            max_waiting: 1_024,
            prefill_tokens_per_second: 0,
            decode_us_per_token: 0,
            decode_us_per_running: 0,
            cache_tokens: 1_000_000,
            kv_bytes_per_token: 1_024,
            kv_transfer_us_per_token: 0,
            keep_ms: 60_000,
            max_kept: 1_024,
            notice_delay_ms: 0,
            notice_gap_every: 0,
            load_lag_ms: 0,
            checks_fencing: true,
            model_load_ms: 0,
            max_models: 8,
            crash_marker: "[[crash-engine]]".to_owned(),
            crash_down_ms: 200,
            is_hung: false,
            cut_answers: 0,
            cut_after_bytes: 256,
        }
    }
}
