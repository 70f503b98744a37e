//! What is distributed when the configuration changes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::{ConfigDocument, MAX_DOCUMENT_BYTES, decode_json_within, encode_json};
use crate::issue::Result;
use crate::patch::{ConfigPatch, MapPatch};

/// The largest update in bytes of JSON: the largest document with the name of its kind around it.
pub const MAX_UPDATE_BYTES: usize = MAX_DOCUMENT_BYTES + 1024;

/// A change from one version to the next.
///
/// At the design scale a document has several megabytes and changes 17,000 times a day, so that distributing whole
/// documents would exceed the traffic that a node may use for control.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// The version that the change leads to. It starts at the version before.
    pub version: u64,
    /// The change.
    pub patch: ConfigPatch,
}

/// The content of a push over a link, as JSON.
///
/// ```
/// use ebony_config::ConfigUpdate;
///
/// let update = ConfigUpdate::decode(br#"{ "delta": { "version": 8, "patch": { "models": ["kalo"] } } }"#)?;
/// assert_eq!(update.version(), 8);
/// # Ok::<(), ebony_config::ConfigReport>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// A whole document.
    Full(Box<ConfigDocument>),
    /// A change to the version before.
    Delta(Box<ConfigDelta>),
}

impl ConfigUpdate {
    /// Decodes an update without validating it.
    ///
    /// # Errors
    ///
    /// Returns a [`crate::ConfigReport`] if the bytes are too many or not an update.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode_json_within(bytes, MAX_UPDATE_BYTES)
    }

    /// Returns the JSON form.
    pub fn encode(&self) -> Vec<u8> {
        encode_json(self)
    }

    /// Returns the version that the update leads to.
    pub fn version(&self) -> u64 {
        match self {
            Self::Full(document) => document.version,
            Self::Delta(delta) => delta.version,
        }
    }

    /// Returns the update for a side process: without callers and operators, which only entries need.
    #[must_use]
    pub fn for_side(mut self) -> Self {
        match &mut self {
            Self::Full(document) => {
                document.callers = Arc::default();
                document.operators.clear();
            }
            Self::Delta(delta) => {
                delta.patch.callers = MapPatch::default();
                delta.patch.operators = MapPatch::default();
            }
        }
        self
    }
}
