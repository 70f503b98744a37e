//! Options and settings of an engine.

use ebony_types::ModelName;
use serde::{Deserialize, Serialize};

use crate::server::PortOptions;
use crate::server::faults::FaultSettings;

/// Startup options of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// The ports.
    pub ports: PortOptions,
    /// Models that are loaded at startup and after a crash.
    pub models: Vec<ModelName>,
    /// The settings.
    pub settings: EngineSettings,
    /// The faults.
    pub faults: FaultSettings,
}

/// Settings of an engine. With the defaults, calls take no simulated time, so that tests are fast.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Maximum number of calls that run concurrently.
    pub slots: u32,
    /// Maximum number of waiting calls; further ones are refused as not run.
    pub max_waiting: u32,
    /// Prefill rate of one call in prompt tokens per second; 0 means that prefill takes no time.
    pub prefill_tokens_per_second: u64,
    /// Microseconds per token of an answer.
    pub decode_us_per_token: u64,
    /// Additional microseconds per token of an answer for each running call.
    pub decode_us_per_running: u64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Bytes of KV cache per token, used in load reports and in the list of held programs.
    pub kv_bytes_per_token: u64,
    /// Microseconds per token of an export or import.
    pub kv_transfer_us_per_token: u64,
    /// Milliseconds during which a call can be resumed after its end.
    pub keep_ms: u64,
    /// Maximum number of ended calls that are kept for resumption.
    pub max_kept: u32,
    /// Delay in milliseconds before a cache notice can be read.
    pub notice_delay_ms: u64,
    /// Every cache notice whose sequence number is divisible by this is lost; 0 loses none.
    pub notice_gap_every: u64,
    /// Age in milliseconds of the state that load reports show.
    pub load_lag_ms: u64,
    /// Whether orders with an old fencing token are refused. If not, they run.
    pub checks_fencing: bool,
    /// Milliseconds to load a model.
    pub model_load_ms: u64,
    /// Maximum number of models, both loaded and loading.
    pub max_models: u32,
    /// A call whose messages contain this text crashes the engine when it starts to run; an empty text never does.
    pub crash_marker: String,
    /// Milliseconds until the engine restarts after a crash caused by the marker.
    pub crash_down_ms: u64,
    /// Whether running calls are stalled. They continue once this is unset.
    pub is_hung: bool,
    /// Number of upcoming streamed answers to cut off: the connection is closed early, and the call continues to run.
    pub cut_answers: u32,
    /// Bytes of the body after which an answer is cut off.
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
