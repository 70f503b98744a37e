//! Services and their model engines.

use ebony_types::ServiceName;

/// The properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineRule {
    /// Calls that an engine runs in one batch.
    pub slots: u32,
    /// The capacity of an engine's memory in tokens, for running calls and cached prefixes together.
    pub memory_tokens: u64,
    /// The number of tokens that one event of a stream represents.
    pub event_tokens: u32,
}

/// A service that routes can refer to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// The name, unique in the table.
    pub name: ServiceName,
    /// Connections that a target accepts from all callers together.
    pub target_connections: u32,
    /// The rule for engines, if the targets of the service are model engines.
    pub engine: Option<EngineRule>,
}
