//! Links to other entries: forwarding calls and operations to the owner of a program, and spreading news.

mod actor;
mod config_handlers;
mod config_news;
mod copies;
mod copy_messages;
mod crash_news;
mod handlers;
mod held_rows;
mod incoming;
mod messages;
mod outgoing;
mod router;

pub use actor::{PeerActor, PeerOptions};
pub use config_news::ConfigRecipients;
pub use copy_messages::{CollectCopies, CopyHeld, CopyLost, CopyRow, DropCopies, SurrenderSession};
pub(crate) use copy_messages::{append_of, held_of};
pub use messages::{
    ForwardCall, ForwardOperation, OperateProgram, OperationResult, PeerPresence, PeersListed,
    PresenceChanged, StartCall,
};
pub use router::{PeerKey, RouteState, ShardRoute, ShardRouter};
