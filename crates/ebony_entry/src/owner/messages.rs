//! Messages of the owner.

use actix::{Addr, Message, Recipient};
use ebony_owner::OwnerEvent;
use ebony_platform::RowRecord;
use ebony_types::SessionId;

use crate::dispatch::DispatchActor;
use crate::peers::{CollectCopies, CopyRow, DropCopies, PresenceChanged};

/// Tells the owner whom it talks to, after all actors were created.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectOwner {
    /// Sends calls to side processes.
    pub dispatch: Addr<DispatchActor>,
    /// Spreads which shards are served here.
    pub presence: Recipient<PresenceChanged>,
    /// Gives copies of rows to other entries during an outage.
    pub copies: Recipient<CopyRow>,
    /// Drops such copies.
    pub drops: Recipient<DropCopies>,
    /// Reads such copies before a journal is sealed.
    pub collect: Recipient<CollectCopies>,
}

/// Starts to release all shards.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct StartDrain;

/// Asks for the state of the owner.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "OwnerStatus")]
pub struct ReadStatus;

/// The state of the owner.
#[derive(Clone, Copy, Debug)]
#[derive(actix::MessageResponse)]
pub struct OwnerStatus {
    /// Shards that are served.
    pub shards: usize,
    /// Calls that have not been answered.
    pub calls: usize,
    /// Whether records wait for the platform.
    pub has_undurable: bool,
}

/// A result of storage work.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct StorageEvent {
    pub(super) session: SessionId,
    pub(super) event: OwnerEvent,
}

/// The session rows as they were listed.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct SessionsListed(pub(super) Vec<RowRecord>);
