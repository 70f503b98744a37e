//! The configuration in force in this entry: loading, storage, changes by operators, and distribution.

mod actor;
mod change_log;
mod edit;
mod handlers;
mod messages;
mod store;
mod view;

pub use actor::{ConfigActor, ConfigOptions};
pub use messages::{
    BroadcastStatus, ConfigChange, ConfigOffered, ConnectConfig, EditConfig, EditResult, FleetStatus,
    PeerStatusReported, PeersReported, ProcessRow, ReadFleetStatus, ReadHistory, ReadMissing, ReadVersion,
    RequestConfig, SideConfigWanted, SideStatusReported, SubscribedWatch, WatchEvent, WatchFleet,
};
pub use view::ConfigView;
pub(crate) use view::wall_now;
