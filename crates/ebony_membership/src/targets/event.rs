//! Events and decisions of [`TargetRegistry`](super::TargetRegistry).

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ebony_types::{DomainName, HostName, ProcessIncarnation, TargetName};
use ebony_wire::TargetReport;

use super::TargetKey;
use crate::host_hint::HostHint;

/// An input of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// The hosts of side processes in the host list. Not sent if the list could not be fetched.
    HostsListed(Vec<HostHint>),
    /// A link to a side process came up.
    LinkUp {
        /// The host.
        host: HostName,
        /// The incarnation of the side process, from the handshake.
        incarnation: ProcessIncarnation,
    },
    /// A side process sent its description, for the first time or as an update.
    Described {
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
    /// A frame without further meaning for the registry was received.
    FrameReceived {
        /// The host.
        host: HostName,
    },
    /// The link was lost, or the host could not be dialed.
    LinkDown {
        /// The host.
        host: HostName,
    },
    /// This entry closed the link after [`TargetDecision::CloseLinkWhenIdle`]; no call is left to resume.
    LinkReleased {
        /// The host.
        host: HostName,
    },
    /// All targets that operators have ordered to drain. Replaces the previous set.
    DrainsOrdered(BTreeSet<TargetName>),
    /// Periodic timer, about every 250 ms.
    Tick,
}

/// An output of the registry: an action for the caller, or a change of where work may be placed.
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
    CloseLink {
        /// The host.
        host: HostName,
    },
    /// Close the link once no call uses it, if [`TargetRegistry::is_wanted`](super::TargetRegistry::is_wanted) still
    /// returns `false` then.
    CloseLinkWhenIdle {
        /// The host.
        host: HostName,
    },
    /// The target may receive work from now on.
    OpenPlacement {
        /// The target.
        target: TargetKey,
    },
    /// The target must not receive further work.
    StopPlacement {
        /// The target.
        target: TargetKey,
        /// Its name; the registry may no longer know the key.
        name: TargetName,
    },
    /// Calls to this incarnation of the side process cannot resume. Those that it accepted may have run.
    CallsLost {
        /// The host.
        host: HostName,
        /// The incarnation that ended.
        incarnation: ProcessIncarnation,
    },
}

/// The life cycle of a side process, as one entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SidePhase {
    /// The host is listed; there is no link, and no call of an earlier link can still resume.
    Unknown,
    /// A link is up; the side process has not sent its description yet.
    Joining,
    /// The link is live, and the side process has sent its description.
    Serving,
    /// No frame arrived over the link for a while, or the link was lost and calls may still resume.
    Suspected,
    /// The host is leaving.
    Draining,
    /// The registry does not know the host: it is not listed and has no link.
    Gone,
}
