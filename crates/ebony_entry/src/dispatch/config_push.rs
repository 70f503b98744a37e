//! The configuration as side processes get it.

use bytes::Bytes;
use ebony_config::{ConfigDocument, ConfigUpdate, FleetValues, ResolveScope};
use ebony_wire::ConfigPush;

use crate::config::wall_now;

/// The document in force without callers and operators, which side processes must not know.
pub(super) struct SideConfig {
    document: Box<ConfigDocument>,
}

impl SideConfig {
    /// Takes a configuration that came into force: a whole document, or the change from the one that is known. Returns
    /// the push for side processes; `None` if it is malformed or does not follow.
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

    /// Returns the push of the whole document, for a side process that knows none or has missed changes.
    pub(super) fn whole(&self) -> ConfigPush {
        let update = ConfigUpdate::Full(self.document.clone());
        ConfigPush {
            version: self.document.version,
            document: Bytes::from(update.encode()),
        }
    }

    /// Returns the fleet's values.
    pub(super) fn values(&self) -> FleetValues {
        self.document.resolve(&ResolveScope::default(), wall_now())
    }
}
