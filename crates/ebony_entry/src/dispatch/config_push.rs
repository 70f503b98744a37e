//! The configuration in the form sent to side processes.

use bytes::Bytes;
use ebony_config::{ConfigDocument, ConfigUpdate, FleetValues, ResolveScope};
use ebony_wire::ConfigPush;

use crate::config::wall_now;

/// The current configuration without callers and operators, which must not be disclosed to side processes.
pub(super) struct SideConfig {
    document: Box<ConfigDocument>,
}

impl SideConfig {
    /// Applies a new configuration: a full document, or a delta from the known version. Returns the push for side
    /// processes, or `None` if the update is malformed or its delta does not start from the known version.
    pub(super) fn accept(known: &mut Option<Self>, push: &ConfigPush) -> Option<ConfigPush> {
        let update = ConfigUpdate::decode(&push.document).ok()?.for_side();
        let document = match (&update, &*known) {
            (ConfigUpdate::Full(document), _) => document.clone(),
            (ConfigUpdate::Delta(delta), Some(known)) if delta.version == known.document.version + 1 => {
                Box::new(delta.patch.apply(&known.document).ok()?)
            }
            (ConfigUpdate::Delta(_), _) => return None,
        };
        *known = Some(Self { document });
        Some(ConfigPush {
            version: push.version,
            document: Bytes::from(update.encode()),
        })
    }

    /// Returns a push of the full document, for a side process that has none or has missed updates.
    pub(super) fn full_push(&self) -> ConfigPush {
        let update = ConfigUpdate::Full(self.document.clone());
        ConfigPush {
            version: self.document.version,
            document: Bytes::from(update.encode()),
        }
    }

    /// Resolves the values that apply to the whole fleet.
    pub(super) fn values(&self) -> FleetValues {
        self.document.resolve(&ResolveScope::default(), wall_now())
    }
}
