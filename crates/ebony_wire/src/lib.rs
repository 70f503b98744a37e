//! Messages between the system's processes, their encoding, and the handshake that opens a link.
//!
//! Each frame on a link contains one CBOR value. Entries send [`EntryFrame`]s to side processes, side processes send
//! [`SideFrame`]s to entries, and entries exchange [`PeerFrame`]s. The crate does no I/O.

pub mod answer;
pub mod codec;
pub mod config_push;
pub mod crash_report;
pub mod entry_frame;
pub mod handshake;
pub mod peer_frame;
pub mod report;
pub mod side_frame;

/// Re-exports the messages and the codec.
pub mod prelude {
    pub use crate::answer::{AnswerFrame, AnswerHead};
    pub use crate::codec::{WireError, decode, encode};
    pub use crate::config_push::{ConfigPush, ConfigStatus};
    pub use crate::crash_report::{CrashReport, CrashSite, SiteReport};
    pub use crate::entry_frame::{DispatchOrder, EntryFrame, LoadOrder, QueueRank};
    pub use crate::handshake::{ClusterKey, HandshakeFrame, HandshakeState, LinkRole, PeerIdentity};
    pub use crate::peer_frame::{HeldRow, PeerFrame, ProgramOperation, ProgramView, ShardClaim};
    pub use crate::report::{CacheEvent, LoadReport, TargetKind, TargetReport};
    pub use crate::side_frame::SideFrame;
}

pub use prelude::*;
