//! Links to other entries: forwards calls and operations to the owners of programs, relays configuration and crash
//! reports, and exchanges copies of journal rows.

mod actor;
mod config_handlers;
mod config_relay;
mod copies;
mod copy_messages;
mod crash_relay;
mod handlers;
mod held_rows;
mod incoming;
mod messages;
mod outgoing;
mod router;

pub use actor::{PeerActor, PeerOptions};
pub use config_relay::ConfigRecipients;
pub use copy_messages::{CollectCopies, CopyHeld, CopyLost, CopyRow, DropCopies, RelinquishSession};
pub(crate) use copy_messages::{append_of, held_of};
pub use messages::{
    ForwardCall, ForwardOperation, OperateProgram, OperationResult, PeerPresence, PeersListed,
    PresenceChanged, StartCall,
};
pub use router::{PeerKey, RouteState, ShardRoute, ShardRouter};
