//! Messages of the owner.

use actix::{Addr, Message, Recipient};
use ebony_owner::OwnerEvent;
use ebony_platform::RowRecord;
use ebony_types::SessionId;

use crate::dispatch::DispatchActor;
use crate::peers::{CollectCopies, CopyRow, DropCopies, PresenceChanged};

/// Gives the owner the addresses of the other actors, once all of them have been created.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectOwner {
    /// Sends calls to side processes.
    pub dispatch: Addr<DispatchActor>,
    /// Announces to other entries which shards are served here.
    pub presence: Recipient<PresenceChanged>,
    /// Copies rows to other entries during an outage of the platform.
    pub copies: Recipient<CopyRow>,
    /// Drops these copies.
    pub drops: Recipient<DropCopies>,
    /// Collects the copies before a journal is sealed.
    pub collect: Recipient<CollectCopies>,
}

/// Starts to drain: the owner hands over all its shards.
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
    /// The number of shards served.
    pub shards: usize,
    /// The number of unanswered calls.
    pub calls: usize,
    /// Whether some records are not yet stored durably by the platform.
    pub has_undurable: bool,
}

/// The result of a storage action.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct StorageEvent {
    pub(super) session: SessionId,
    pub(super) event: OwnerEvent,
}

/// The session rows as listed from the table.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct SessionsListed(pub(super) Vec<RowRecord>);
