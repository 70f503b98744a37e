//! Reports of side processes about their targets.

use ebony_types::{ModelName, ProgramId, ServiceName, TargetName};
use serde::{Deserialize, Serialize};

/// What a target serves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TargetKind {
    /// A model engine with the models that it has loaded.
    Engine {
        /// Loaded models.
        models: Vec<ModelName>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// A target behind a side process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetName,
    /// What it serves.
    pub kind: TargetKind,
    /// The most calls that it runs at once.
    pub slots: u32,
    /// Whether the target itself refuses orders with an old fencing token.
    pub checks_fencing: bool,
}

/// The load of one target. A report is up to one second old.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The target.
    pub target: TargetName,
    /// Running calls.
    pub running: u32,
    /// Calls in the side process's queue.
    pub queued: u32,
    /// Prompt tokens of the queued and the running calls.
    pub pending_tokens: u64,
    /// Bytes of KV cache in use.
    pub kv_bytes_held: u64,
    /// The capacity of the KV cache in bytes.
    pub kv_bytes_total: u64,
}

/// A change of an engine's prefix cache. Events arrive late, and some are lost.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// The engine.
    pub target: TargetName,
    /// The engine's event number; a gap means lost events.
    pub sequence: u64,
    /// The program whose prefix changed.
    pub program: ProgramId,
    /// Tokens of the prefix that the cache now holds.
    pub held_tokens: u64,
}
