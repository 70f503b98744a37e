//! Target status as shown to operators.

use ebony_membership::SidePhase;
use ebony_types::{DomainName, HostName, ProcessIncarnation, TargetName};
use ebony_wire::TargetKind;
use serde::{Deserialize, Serialize};

/// Whether a target receives work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// The target receives work.
    Serving,
    /// The target is leaving, or an operator ordered it to drain.
    Draining,
    /// The link to the target's side process is silent or lost.
    Suspected,
    /// The target's side process has not sent its description yet, or is no longer linked.
    Joining,
}

impl TargetPhase {
    /// Every phase.
    pub(super) const ALL: [Self; 4] = [Self::Serving, Self::Draining, Self::Suspected, Self::Joining];

    /// Returns the phase of a target on a host in the given phase.
    pub(super) fn of(side: SidePhase, is_drain_ordered: bool) -> Self {
        match side {
            SidePhase::Draining => Self::Draining,
            _ if is_drain_ordered => Self::Draining,
            SidePhase::Serving => Self::Serving,
            SidePhase::Suspected => Self::Suspected,
            SidePhase::Unknown | SidePhase::Joining | SidePhase::Gone => Self::Joining,
        }
    }

    /// Returns the stable name, used in metrics and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Suspected => "suspected",
            Self::Joining => "joining",
        }
    }
}

/// The status of a target as known to this entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub target: TargetName,
    /// The host of its side process.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The incarnation of the side process.
    pub incarnation: ProcessIncarnation,
    /// What the target serves.
    pub kind: TargetKind,
    /// The number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it receives work.
    pub phase: TargetPhase,
    /// Whether an operator ordered it to drain.
    pub is_drain_ordered: bool,
    /// Calls of this entry at the target that have not ended.
    pub own_calls: u32,
    /// The estimated number of running and waiting calls of all entries.
    pub calls: u32,
    /// The share of the KV cache in use, in 0..=1.
    pub kv_used_share: f64,
}
