//! The configuration as side processes get it.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use ebony_config::{ConfigUpdate, FleetValues, ResolveScope, WallTime};
use ebony_wire::ConfigPush;

/// What the dispatcher takes from a configuration that came into force.
pub(super) struct PublishedConfig {
    /// The push for side processes: without callers and operators.
    pub(super) push: ConfigPush,
    /// The fleet's values.
    pub(super) values: FleetValues,
}

impl PublishedConfig {
    /// Reads a whole configuration; `None` if it is malformed or not whole.
    pub(super) fn read(push: &ConfigPush) -> Option<Self> {
        let update = ConfigUpdate::decode(&push.document).ok()?;
        let ConfigUpdate::Full(document) = &update else {
            return None;
        };
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let values = document.resolve(&ResolveScope::default(), WallTime(since.as_secs()));
        let push = ConfigPush {
            version: push.version,
            document: Bytes::from(update.for_side().encode()),
        };
        Some(Self { push, values })
    }
}
