//! One service.

use ebony_types::ServiceName;

/// The model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineRule {
    /// Calls that an engine runs in one batch.
    pub slots: u32,
    /// Tokens that fit into an engine's memory, running calls and cached prefixes together.
    pub memory_tokens: u64,
    /// Tokens that one event of a stream stands for.
    pub event_tokens: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// The name, unique in the table.
    pub name: ServiceName,
    /// Connections that a target accepts from all callers together.
    pub target_connections: u32,
    /// The engines, if the service consists of model engines.
    pub engine: Option<EngineRule>,
}
