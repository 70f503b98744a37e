//! Messages about the configuration.

use std::time::Duration;

use actix::{Message, Recipient};
use ebony_config::{
    ChangeRecord, ConfigAudience, ConfigDocument, ConfigPatch, EditOutcome, OperatorName, RevertParts,
};
use ebony_types::ProblemReport;
use ebony_wire::{ConfigPush, ConfigStatus};
use tokio::sync::broadcast;

use crate::dispatch::ConfigPublished;

/// Another entry has sent a configuration or a change to it.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConfigOffered(pub ConfigPush);

/// Side processes that this entry is linked to have reported which version is in force in them.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct SideStatusReported(pub Vec<ConfigStatus>);

/// Another entry has reported which version is in force in it, and in some of its side processes.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerStatusReported(pub Vec<ConfigStatus>);

/// Every listed entry has reported its version or could not be reached. A process that starts waits for it before it
/// serves, so that a table service that answers with an old row is noticed.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeersReported;

/// Asks for what leads a process from the version that it knows to the one in force: the missing changes, or a whole
/// document. The reply is empty if there is nothing newer.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<ConfigPush>")]
pub struct ReadMissing {
    /// The version that is known; 0 if there is none.
    pub known: u64,
    /// Whether an entry or a side process asks.
    pub audience: ConfigAudience,
}

/// A side process asks for what it misses. Each part is sent to `reply`, the missing changes in their order.
#[derive(Clone)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct SideConfigWanted {
    /// The version that is known; 0 if there is none.
    pub known: u64,
    /// Receives the parts.
    pub reply: Recipient<ConfigPublished>,
}

/// Asks another entry for what this one misses.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct RequestConfig {
    /// The version that is known; 0 if there is none.
    pub known: u64,
}

/// Spreads which version is in force here, first, and in side processes that are linked.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct BroadcastStatus(pub Vec<ConfigStatus>);

/// Tells the actor who spreads configurations and their status.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectConfig {
    /// Receives each change for other entries.
    pub peers: Recipient<ConfigPublished>,
    /// Receives each change for side processes, without callers and operators.
    pub sides: Recipient<ConfigPublished>,
    /// Receives the status of this entry and its side processes.
    pub status: Recipient<BroadcastStatus>,
    /// Asks other entries for what is missing.
    pub request: Recipient<RequestConfig>,
}

/// Which version is in force in a process, as far as this entry knows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ProcessRow {
    /// The process.
    pub process: String,
    /// The version that it reported last; 0 while it starts.
    pub version: u64,
    /// Milliseconds since its last report.
    pub reported_ms_ago: u64,
    /// Milliseconds for which a newer version has existed; 0 if the process has the newest one.
    pub lag_ms: u64,
    /// Whether the process has not reported for ten seconds.
    pub is_silent: bool,
}

/// Which version is in force where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct FleetStatus {
    /// The newest version that this entry has heard of.
    pub newest: u64,
    /// The version in force in this entry.
    pub in_force: u64,
    /// All known processes by name.
    pub processes: Vec<ProcessRow>,
}

/// Asks which version is in force in which process.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "FleetStatus")]
pub struct ReadFleetStatus;

/// One change for a live view.
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
        /// Milliseconds from the moment this entry heard of the version.
        after_ms: u64,
    },
}

/// Subscribes to changes. A reader that falls behind loses the oldest ones.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "SubscribedWatch")]
pub struct WatchFleet;

/// A subscription.
pub struct SubscribedWatch(pub broadcast::Receiver<WatchEvent>);

/// What an operator changes.
#[derive(Clone, Debug)]
pub enum ConfigChange {
    /// Replaces the whole document.
    Replace(Box<ConfigDocument>),
    /// Changes parts of it.
    Patch(Box<ConfigPatch>),
    /// Brings back an older version.
    Revert {
        /// The older version.
        to: u64,
        /// Which parts come back.
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
    /// What the operator wrote about it.
    pub summary: String,
    /// The longest time that the change may take.
    pub limit: Duration,
}

/// How an edit ended.
pub type EditResult = Result<EditOutcome, ProblemReport>;

/// Asks for the newest stored records.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Result<Vec<ChangeRecord>, ProblemReport>")]
pub struct ReadHistory {
    /// The first version to return; the newest if `None`. Older ones follow.
    pub newest: Option<u64>,
    /// The most records.
    pub limit: u32,
}

/// Asks for the document of an older version.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Result<ConfigDocument, ProblemReport>")]
pub struct ReadVersion(pub u64);
