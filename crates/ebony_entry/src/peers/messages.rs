//! Messages of the links to other entries.

use std::net::SocketAddr;
use std::sync::Arc;

use actix::Message;
use ebony_link::OpenLink;
use ebony_types::{CallRequest, ProblemReport, SessionId};
use ebony_wire::{PeerFrame, ProgramOperation, ProgramView, ShardClaim};
use slotmap::new_key_type;

use super::router::PeerKey;
use crate::answer::AnswerPipe;

new_key_type! {
    /// Identifies an accepted link from another entry.
    pub(super) struct IncomingKey;
}

/// The result of an operation on a program.
pub type OperationResult = Result<Box<ProgramView>, ProblemReport>;

/// Starts a call whose program is owned by this process.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StartCall {
    /// The call.
    pub request: CallRequest,
    /// Receives the answer.
    pub pipe: Arc<AnswerPipe>,
}

/// Runs an operation on a program that this process owns.
#[derive(Message)]
#[rtype(result = "OperationResult")]
pub struct OperateProgram(pub ProgramOperation);

/// Forwards a call to the owner of its program.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ForwardCall {
    /// The owner.
    pub peer: PeerKey,
    /// The call.
    pub request: CallRequest,
    /// Receives the answer.
    pub pipe: Arc<AnswerPipe>,
}

/// Forwards an operation to the owner of a program.
#[derive(Message)]
#[rtype(result = "OperationResult")]
pub struct ForwardOperation {
    /// The owner.
    pub peer: PeerKey,
    /// The operation.
    pub operation: ProgramOperation,
}

/// The presence that an entry announces to other entries.
#[derive(Clone, Debug, Default)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PresenceChanged {
    /// The session, if there is one.
    pub session: Option<SessionId>,
    /// Whether the process is leaving.
    pub is_draining: bool,
    /// The shards that the process serves.
    pub shards: Vec<ShardClaim>,
}

/// The presence announced by another entry changed, or its link was lost.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerPresence {
    /// The entry.
    pub peer: PeerKey,
    /// The announced presence, or `None` if the link was lost.
    pub presence: Option<PresenceChanged>,
}

/// The link addresses of the other entries.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeersListed(pub Vec<SocketAddr>);

/// A link was accepted or dialed.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) enum PeerLinkUp {
    Accepted(OpenLink),
    Dialed(PeerKey, OpenLink),
    DialFailed(PeerKey),
}

/// A frame arrived on a dialed link, or the link closed (`None`).
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct OutgoingEvent {
    pub(super) peer: PeerKey,
    pub(super) generation: u64,
    pub(super) frame: Option<PeerFrame>,
}

/// A frame arrived on an accepted link, or the link closed (`None`).
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct IncomingEvent {
    pub(super) key: IncomingKey,
    pub(super) frame: Option<PeerFrame>,
}
