//! The messages that distribute the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::{ConfigDocument, MAX_DOCUMENT_BYTES, decode_json_within, encode_json};
use crate::issue::Result;
use crate::patch::{ConfigPatch, MapPatch};

/// The largest update in bytes of JSON: the largest document, and room for the name of the variant around it.
pub const MAX_UPDATE_BYTES: usize = MAX_DOCUMENT_BYTES + 1024;

/// A change from one version to the next.
///
/// At the design scale, a document has several megabytes and changes 17,000 times a day. Distributing whole documents
/// would exceed the control traffic that a node may use.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// The version after the change, which applies to the previous version.
    pub version: u64,
    /// The change.
    pub patch: ConfigPatch,
}

/// An update of the configuration. Links carry it as JSON.
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
    /// A change to the previous version.
    Delta(Box<ConfigDelta>),
}

impl ConfigUpdate {
    /// Decodes an update without validating it.
    ///
    /// # Errors
    ///
    /// Returns a [`crate::ConfigReport`] if there are more than [`MAX_UPDATE_BYTES`] bytes or they are not an update.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode_json_within(bytes, MAX_UPDATE_BYTES)
    }

    /// Returns the JSON form.
    pub fn encode(&self) -> Vec<u8> {
        encode_json(self)
    }

    /// Returns the version after the update.
    pub fn version(&self) -> u64 {
        match self {
            Self::Full(document) => document.version,
            Self::Delta(delta) => delta.version,
        }
    }

    /// Returns the update without callers and operators, which side processes do not need.
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
