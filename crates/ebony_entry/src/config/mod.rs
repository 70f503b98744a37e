//! The configuration in force in this entry: how it is learned, kept, changed and spread.

mod actor;
mod change_log;
mod edit;
mod handlers;
mod messages;
mod store;
mod view;

pub use actor::{ConfigActor, ConfigOptions};
pub use messages::{
    ConfigChange, ConfigOffered, EditConfig, EditResult, FleetStatus, LinkConfig, PeerStatusHeard,
    PeersSettled, ProcessRow, ReadFleetStatus, ReadHistory, ReadMissing, ReadVersion, SideConfigWanted,
    SpreadStatus, StatusHeard, SubscribedWatch, WantConfig, WatchEvent, WatchFleet,
};
pub use view::ConfigView;
pub(crate) use view::wall_now;
