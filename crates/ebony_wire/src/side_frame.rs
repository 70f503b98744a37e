//! Messages from a side process to an entry.

use ebony_types::{DomainName, FencingToken, ShardKey};
use serde::{Deserialize, Serialize};

use crate::answer::AnswerFrame;
use crate::config_push::ConfigStatus;
use crate::crash_report::CrashReport;
use crate::report::{CacheEvent, LoadReport, TargetReport};

/// A message from a side process to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SideFrame {
    /// Describes the side process. This is the first message on a link, sent again when the targets change.
    Welcome {
        /// The failure domain of the host.
        domain: DomainName,
        /// The targets.
        targets: Vec<TargetReport>,
        /// Whether the process is leaving.
        is_draining: bool,
    },
    /// A part of an answer.
    Answer(AnswerFrame),
    /// An order was refused because its token is too low. A call's answer ends with a failure as well.
    Fenced {
        /// The shard of the order's program.
        shard: ShardKey,
        /// The highest token seen.
        highest: FencingToken,
    },
    /// Load of the targets.
    Load(Vec<LoadReport>),
    /// Changes of prefix caches.
    Cache(Vec<CacheEvent>),
    /// The process is leaving: it accepts no new calls and completes those in progress.
    Draining,
    /// The configuration in force.
    ConfigInForce(ConfigStatus),
    /// Requests the deltas after a version, or the full document.
    ConfigWanted {
        /// The version that is known; 0 if there is none.
        known: u64,
    },
    /// Shares crashes of targets, grouped by request.
    Crashes(Vec<CrashReport>),
    /// Answers a ping.
    Pong {
        /// The ping's nonce.
        nonce: u64,
    },
}
