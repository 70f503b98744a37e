//! What happens to side processes and targets, and what follows.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ebony_types::{DomainName, HostName, ProcessIncarnation, TargetName};
use ebony_wire::TargetReport;

use super::TargetKey;
use crate::host_hint::HostHint;

/// Something that a shell has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// The hosts of side processes in the host list. A failed fetch is no event.
    HostsListed(Vec<HostHint>),
    /// A link to a side process came up.
    LinkUp {
        /// The host.
        host: HostName,
        /// The life of the side process, from the handshake.
        incarnation: ProcessIncarnation,
    },
    /// A side process described itself, for the first time or anew.
    Welcomed {
        /// The host.
        host: HostName,
        /// Its failure domain.
        domain: DomainName,
        /// Its targets.
        targets: Vec<TargetReport>,
        /// Whether it is leaving.
        is_draining: bool,
    },
    /// A side process announced that it is leaving.
    DrainAnnounced {
        /// The host.
        host: HostName,
    },
    /// Another frame was received.
    Heard {
        /// The host.
        host: HostName,
    },
    /// The link was lost, or the host could not be dialed.
    LinkDown {
        /// The host.
        host: HostName,
    },
    /// This entry closed the link after [`TargetDecision::HangUpWhenIdle`]; no call is left to resume.
    LinkReleased {
        /// The host.
        host: HostName,
    },
    /// All targets that operators have ordered to drain. It replaces the set before.
    DrainsOrdered(BTreeSet<TargetName>),
    /// Time has passed. A shell sends it about every 250 ms.
    Tick,
}

/// Something that a shell has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetDecision {
    /// Dial the side process of a host.
    Dial {
        /// The host.
        host: HostName,
        /// Its address.
        address: SocketAddr,
    },
    /// Send a ping.
    Ping {
        /// The host.
        host: HostName,
    },
    /// Close the link now.
    HangUp {
        /// The host.
        host: HostName,
    },
    /// Close the link once no call uses it, if [`TargetRegistry::is_wanted`](super::TargetRegistry::is_wanted) still
    /// says that it is not wanted.
    HangUpWhenIdle {
        /// The host.
        host: HostName,
    },
    /// The target may receive work.
    OpenPlacement {
        /// The target.
        target: TargetKey,
    },
    /// The target receives no further work.
    StopPlacement {
        /// The target.
        target: TargetKey,
        /// Its name; the key may be gone by now.
        name: TargetName,
    },
    /// Calls on this life of the side process can't resume. Those that it accepted may have run.
    CallsLost {
        /// The host.
        host: HostName,
        /// The life that ended.
        incarnation: ProcessIncarnation,
    },
}

/// The life cycle of a side process, as one entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SidePhase {
    /// The host is listed, and there was no link lately.
    Unknown,
    /// A link is up; the side process has not described itself yet.
    Joining,
    /// Its targets may receive work.
    Serving,
    /// The link is silent, or was lost and may come back.
    Suspected,
    /// The host is leaving.
    Draining,
    /// The host is not listed and has no link.
    Gone,
}
