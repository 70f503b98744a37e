//! Trace header: the first line of a trace.

use std::time::Duration;

use ebony_types::{DomainName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::format::outcome::OutcomeBound;

/// The version of the format that this crate reads and writes.
pub const FORMAT_VERSION: u32 = 1;

/// Ratio of replay time to trace time.
///
/// ```
/// use std::time::Duration;
/// use ebony_trace::TimeScale;
///
/// let scale = TimeScale { wall_ms_per_second: 100 };
/// assert_eq!(scale.to_wall(Duration::from_secs(3)), Duration::from_millis(300));
/// assert_eq!(scale.to_trace(Duration::from_millis(300)), Duration::from_secs(3));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeScale {
    /// Milliseconds of the replay for one second of the trace, 1 to 10,000; 1,000 replays at the original speed.
    pub wall_ms_per_second: u32,
}

impl TimeScale {
    /// Converts a duration of the trace to one of the replay.
    pub fn to_wall(self, trace: Duration) -> Duration {
        trace.saturating_mul(self.wall_ms_per_second) / 1_000
    }

    /// Converts a duration of the replay to one of the trace.
    pub fn to_trace(self, wall: Duration) -> Duration {
        wall.saturating_mul(1_000) / self.wall_ms_per_second.max(1)
    }
}

/// The engines that the load of a trace is dimensioned for. Times are in trace time; the test harness configures its
/// engines accordingly, scaled like all other times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineProfile {
    /// The number of engines.
    pub engines: u32,
    /// Calls that an engine runs concurrently.
    pub batch_slots: u32,
    /// Prompt tokens that an engine processes per second.
    pub prefill_tokens_per_second: u32,
    /// Time between two tokens of an answer on an unloaded engine, in microseconds.
    pub token_interval_us: u32,
    /// Tokens that an engine's prefix cache holds.
    pub cache_tokens: u32,
}

impl EngineProfile {
    /// Returns how long an unloaded engine takes for a call whose history is in its cache.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ebony_trace::EngineProfile;
    ///
    /// let profile = EngineProfile {
    ///     engines: 10,
    ///     batch_slots: 4,
    ///     prefill_tokens_per_second: 8_000,
    ///     token_interval_us: 30_000,
    ///     cache_tokens: 64_000,
    /// };
    /// assert_eq!(profile.call_time(4_000, 10), Duration::from_millis(800));
    /// ```
    pub fn call_time(&self, new_tokens: u32, output_tokens: u32) -> Duration {
        let rate = u64::from(self.prefill_tokens_per_second.max(1));
        let prefill_us = u64::from(new_tokens) * 1_000_000 / rate;
        let decode_us = u64::from(output_tokens) * u64::from(self.token_interval_us);
        Duration::from_micros(prefill_us + decode_us)
    }
}

/// The number of engines that have a model loaded when the replay starts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelShare {
    /// The model.
    pub model: ModelName,
    /// The number of engines.
    pub engines: u32,
}

/// Metadata of a trace, and the outcomes that its replay should reach.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// [`FORMAT_VERSION`].
    pub version: u32,
    /// The name of the trace.
    pub name: String,
    /// The deployment that the trace is meant for.
    pub deployment: String,
    /// The seed of the generator.
    pub seed: u64,
    /// A human-readable description of what the trace shows.
    pub description: String,
    /// The ratio of replay time to trace time.
    pub time_scale: TimeScale,
    /// The engines that the load is dimensioned for.
    pub engine: EngineProfile,
    /// The models, with the number of engines that have each loaded at the start.
    pub models: Vec<ModelShare>,
    /// The plain services that tool calls use.
    pub services: Vec<ServiceName>,
    /// The failure domains of the deployment.
    pub domains: Vec<DomainName>,
    /// Bounds that the measurements of a replay should stay within.
    pub outcomes: Vec<OutcomeBound>,
    /// The number of markers that follow.
    pub markers: u32,
    /// The number of programs that follow.
    pub programs: u32,
}
