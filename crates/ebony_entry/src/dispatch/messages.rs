//! Messages of the dispatcher.

use std::sync::Arc;

use actix::{Message, MessageResponse, Recipient};
use bytes::Bytes;
use ebony_link::OpenLink;
use ebony_platform::HostEntry;
use ebony_types::{
    CallId, CallRequest, CallUsage, FencingToken, HostName, ProblemReport, ProgramId, SessionId, TargetName,
};
use ebony_wire::{AnswerHead, ConfigPush, CrashReport, QueueRank, SideFrame};

use super::side_table::SideKey;
use super::target_status::TargetStatus;
use crate::answer::AnswerPipe;

/// Sends a call that its owner has admitted to a target.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PlaceCall {
    /// The call; its program is set.
    pub request: CallRequest,
    /// The epoch of the program's shard.
    pub token: FencingToken,
    /// The owner's session.
    pub session: SessionId,
    /// Input for the side process's queue.
    pub rank: QueueRank,
    /// Where the answer goes. The end is left to the owner, which sends it when the outcome is durable.
    pub pipe: Arc<AnswerPipe>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct FinishedAnswer {
    /// Status and header fields from the target.
    pub head: AnswerHead,
    /// What the call used.
    pub usage: CallUsage,
    /// The body.
    pub body: Bytes,
    /// Bytes at the end of the body that the caller gets only with the end.
    pub withheld: Bytes,
    /// The side process that ran the call.
    pub side: SideKey,
}

/// Tells the owner that a call was sent to a target.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CallPlaced {
    /// The call.
    pub call: CallId,
    /// The target.
    pub target: TargetName,
}

/// Tells the owner how a call ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CallEnded {
    /// The call.
    pub call: CallId,
    /// Whether the call was ever sent to a target.
    pub was_placed: bool,
    /// The whole answer, or the problem.
    pub outcome: Result<FinishedAnswer, ProblemReport>,
}

/// Confirms that a call's outcome is durable.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct SettleCall {
    /// The call.
    pub call: CallId,
    /// The side process that ran it.
    pub side: SideKey,
}

/// Releases engine memory of a program that has ended.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReleaseProgram {
    /// The program.
    pub program: ProgramId,
    /// The epoch of its shard.
    pub token: FencingToken,
}

/// Confirms the programs that this entry owns to all linked side processes.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct VouchPrograms {
    /// The programs.
    pub programs: Vec<ProgramId>,
}

/// Distributes a configuration that has come into force here.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConfigPublished(pub ConfigPush);

/// Asks whether the dispatcher knows the side processes.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "bool")]
pub struct ReadReadiness;

/// Crashes of targets by request, from another entry or for other entries.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CrashesHeard(pub Vec<CrashReport>);

/// Asks for all crashes that count, for an entry that has just been linked.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<CrashReport>")]
pub struct ReadCrashes;

/// Tells the dispatcher who spreads crashes to other entries.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LinkDispatch {
    /// Receives crashes that side processes reported and that were not known here.
    pub crashes: Recipient<CrashesHeard>,
}

/// Orders a target to drain: this entry sends it no new work.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "DrainOutcome")]
pub struct DrainTarget {
    /// The target.
    pub target: TargetName,
}

/// What became of an order to drain a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(MessageResponse)]
pub enum DrainOutcome {
    /// The target gets no new work from this entry.
    Ordered,
    /// No such target is known here.
    UnknownTarget,
    /// Too many targets are ordered to drain.
    TooMany,
}

/// Asks for the targets that this entry knows.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<TargetStatus>")]
pub struct ReadTargets;

/// The host list was read.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct HostsListed(pub(super) Vec<HostEntry>);

/// A link to a side process is open.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct SideLinkUp {
    pub(super) host: HostName,
    pub(super) link: OpenLink,
}

/// A link to a side process could not be opened.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct SideDialFailed {
    pub(super) host: HostName,
}

/// Something arrived on a link, or the link is over.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct SideEvent {
    pub(super) key: SideKey,
    /// Tells the present link of a side process from an earlier one.
    pub(super) generation: u64,
    /// The frame; `None` when the link is over.
    pub(super) frame: Option<SideFrame>,
}
