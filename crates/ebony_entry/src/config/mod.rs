//! The configuration in force in this entry.

mod actor;
mod messages;
mod view;

pub use actor::{ConfigActor, ConfigOptions};
pub use messages::{ConfigOffered, LinkConfig, ReadFleetStatus, StatusHeard};
pub use view::ConfigView;
