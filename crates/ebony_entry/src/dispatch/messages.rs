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

/// Asks the dispatcher to send a call to a target. The owner has accepted the call.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PlaceCall {
    /// The call; its program is set.
    pub request: CallRequest,
    /// The epoch of the program's shard.
    pub token: FencingToken,
    /// The owner's session.
    pub session: SessionId,
    /// The rank of the call in the queue of the side process.
    pub rank: QueueRank,
    /// Receives the answer except its end, which the owner sends when the outcome is durable.
    pub pipe: Arc<AnswerPipe>,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct FinishedAnswer {
    /// Status and header fields from the target.
    pub head: AnswerHead,
    /// The resources that the call used.
    pub usage: CallUsage,
    /// The body.
    pub body: Bytes,
    /// Bytes at the end of the body that are sent to the caller only when the outcome is durable.
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
    /// The complete answer, or the problem.
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

/// Confirms to side processes that this entry owns the programs, so that they do not release the engine memory of the
/// programs.
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

/// Asks whether the dispatcher is ready: it has read the host list and dialed the side processes.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "bool")]
pub struct ReadReadiness;

/// Reports target crashes by request, received from another entry or to be sent to other entries.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CrashesReported(pub Vec<CrashReport>);

/// Asks for all unexpired crashes, to send to a newly linked entry.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "Vec<CrashReport>")]
pub struct ReadCrashes;

/// Sets the recipient that forwards crash reports to other entries.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetCrashRecipient {
    /// Receives new crash reports from side processes.
    pub crashes: Recipient<CrashesReported>,
}

/// Orders a target to drain: this entry sends it no new work.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "DrainOutcome")]
pub struct DrainTarget {
    /// The target.
    pub target: TargetName,
}

/// The outcome of an order to drain a target.
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

/// A frame arrived on a link, or the link closed.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct SideEvent {
    pub(super) key: SideKey,
    /// Distinguishes the current link of a side process from earlier ones.
    pub(super) generation: u64,
    /// The frame, or `None` if the link closed.
    pub(super) frame: Option<SideFrame>,
}
