//! Messages of the configuration actor.

use std::time::Duration;

use actix::{Message, Recipient};
use ebony_config::{
    ChangeRecord, ConfigAudience, ConfigDocument, ConfigPatch, EditOutcome, OperatorName, RevertParts,
};
use ebony_types::ProblemReport;
use ebony_wire::{ConfigPush, ConfigStatus};
use tokio::sync::broadcast;

use crate::dispatch::ConfigPublished;

/// Another entry sent a full configuration or a delta.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConfigOffered(pub ConfigPush);

/// Linked side processes reported the version in force in them.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct SideStatusReported(pub Vec<ConfigStatus>);

/// Another entry reported the version in force in it and in some of its side processes.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerStatusReported(pub Vec<ConfigStatus>);

/// Every listed entry has reported its version or could not be reached. A starting process waits for this before it
/// serves, to detect a table service that returns a stale row.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeersReported;

/// Asks for the updates that bring a process from a known version to the version in force: the missing deltas or a full
/// document. The reply is empty if there is nothing newer.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<ConfigPush>")]
pub struct ReadMissing {
    /// The known version, or 0 if there is none.
    pub known: u64,
    /// Whether the updates are for an entry or a side process.
    pub audience: ConfigAudience,
}

/// Requests the updates that a side process is missing. They are sent to `reply` one by one, in order.
#[derive(Clone)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct SideConfigWanted {
    /// The known version, or 0 if there is none.
    pub known: u64,
    /// Receives the updates.
    pub reply: Recipient<ConfigPublished>,
}

/// Requests missing updates from another entry.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct RequestConfig {
    /// The known version, or 0 if there is none.
    pub known: u64,
}

/// Broadcasts the version in force in this entry, followed by those of linked side processes, to other entries.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct BroadcastStatus(pub Vec<ConfigStatus>);

/// Sets the recipients that distribute configurations and their status.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectConfig {
    /// Receives each update for other entries.
    pub peers: Recipient<ConfigPublished>,
    /// Receives each update for side processes, without callers and operators.
    pub sides: Recipient<ConfigPublished>,
    /// Receives the status of this entry and its side processes.
    pub status: Recipient<BroadcastStatus>,
    /// Requests missing updates from other entries.
    pub request: Recipient<RequestConfig>,
}

/// The version in force in a process, as last reported to this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ProcessRow {
    /// The process.
    pub process: String,
    /// The last reported version, or 0 while the process starts.
    pub version: u64,
    /// Milliseconds since its last report.
    pub reported_ms_ago: u64,
    /// Milliseconds for which a newer version has existed; 0 if the process has the newest one.
    pub lag_ms: u64,
    /// Whether the process has not reported for ten seconds.
    pub is_silent: bool,
}

/// The versions in force in all known processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct FleetStatus {
    /// The newest version known to this entry.
    pub newest: u64,
    /// The version in force in this entry.
    pub in_force: u64,
    /// All known processes, sorted by name.
    pub processes: Vec<ProcessRow>,
}

/// Asks which version is in force in which process.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "FleetStatus")]
pub struct ReadFleetStatus;

/// An event of the live view.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum WatchEvent {
    /// A version has come into force in this entry.
    Version {
        /// The version.
        version: u64,
    },
    /// The version in force in a process has changed.
    Status {
        /// The process.
        process: String,
        /// The version before; 0 if the process is new or was starting.
        from: u64,
        /// The version now.
        to: u64,
        /// Milliseconds since this entry first learned of the version.
        after_ms: u64,
    },
}

/// Subscribes to events. A subscriber that falls behind loses the oldest ones.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "SubscribedWatch")]
pub struct WatchFleet;

/// A subscription.
pub struct SubscribedWatch(pub broadcast::Receiver<WatchEvent>);

/// A change to the configuration.
#[derive(Clone, Debug)]
pub enum ConfigChange {
    /// Replaces the entire document.
    Replace(Box<ConfigDocument>),
    /// Patches parts of the document.
    Patch(Box<ConfigPatch>),
    /// Restores an older version.
    Revert {
        /// The older version.
        to: u64,
        /// Which parts are restored.
        parts: RevertParts,
    },
}

/// An operator's change.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "EditResult")]
pub struct EditConfig {
    /// The version that the operator read; 0 for the first configuration.
    pub expected: u64,
    /// The change.
    pub change: ConfigChange,
    /// The operator.
    pub author: OperatorName,
    /// The operator's description of the change.
    pub summary: String,
    /// The maximum time that the change may take.
    pub limit: Duration,
}

/// The result of an edit.
pub type EditResult = Result<EditOutcome, ProblemReport>;

/// Asks for a page of stored change records, the newest first.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Result<Vec<ChangeRecord>, ProblemReport>")]
pub struct ReadHistory {
    /// The version to start from, or the newest one if `None`. Older ones follow.
    pub newest: Option<u64>,
    /// The maximum number of records.
    pub limit: u32,
}

/// Asks for the document of an older version.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Result<ConfigDocument, ProblemReport>")]
pub struct ReadVersion(pub u64);
