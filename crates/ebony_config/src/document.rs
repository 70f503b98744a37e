//! The configuration document.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ebony_types::{ModelName, ServiceName};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::caller::CallerTable;
use crate::exception::ExceptionTable;
use crate::issue::{ConfigReport, Result};
use crate::key_digest::KeyDigest;
use crate::name::{GroupName, OperatorName};
use crate::objective::GroupObjective;
use crate::values::FleetValues;

/// The largest document in bytes of JSON: the limit of a frame between processes, less 64 KiB for the message around it.
pub const MAX_DOCUMENT_BYTES: usize = ebony_types::limits::MAX_FRAME_BYTES - 64 * 1024;

/// One operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRecord {
    /// Digests of the operator's bearer keys.
    pub keys: Vec<KeyDigest>,
}

/// The fleet-wide configuration. Every accepted change creates the next version.
///
/// The JSON form is canonical: equal documents have equal bytes.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The version. The first document that operators write has version 1.
    pub version: u64,
    /// Values that apply unless an exception overrides them.
    #[serde(default)]
    pub defaults: FleetValues,
    /// The models in force.
    #[serde(default)]
    pub models: BTreeSet<ModelName>,
    /// The plain services in force.
    #[serde(default)]
    pub services: BTreeSet<ServiceName>,
    /// Deviations from the defaults, by name.
    #[serde(default)]
    pub exceptions: ExceptionTable,
    /// Service-level objectives by group of callers.
    #[serde(default)]
    pub objectives: BTreeMap<GroupName, GroupObjective>,
    /// Operators by name.
    #[serde(default)]
    pub operators: BTreeMap<OperatorName, OperatorRecord>,
    /// Callers by name. Successive versions share the table as long as no caller changes.
    #[serde(default, serialize_with = "write_callers", deserialize_with = "read_callers")]
    pub callers: Arc<CallerTable>,
}

impl ConfigDocument {
    /// Decodes a document without validating it.
    ///
    /// ```
    /// use ebony_config::ConfigDocument;
    ///
    /// let document = ConfigDocument::decode(br#"{ "version": 1, "models": ["kalo"] }"#)?;
    /// assert_eq!(document.version, 1);
    /// assert!(document.validate().is_err(), "a document needs an operator");
    /// # Ok::<(), ebony_config::ConfigReport>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigReport`] if there are more than [`MAX_DOCUMENT_BYTES`] bytes or they are not a document.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode_json(bytes)
    }

    /// Returns the canonical JSON form.
    pub fn encode(&self) -> Vec<u8> {
        encode_json(self)
    }

    /// Returns the operator who holds a key.
    pub fn find_operator(&self, key: &KeyDigest) -> Option<&OperatorName> {
        let mut operators = self.operators.iter();
        operators
            .find(|(_, record)| record.keys.contains(key))
            .map(|(name, _)| name)
    }
}

/// Decodes JSON of at most [`MAX_DOCUMENT_BYTES`].
pub(crate) fn decode_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    decode_json_within(bytes, MAX_DOCUMENT_BYTES)
}

/// Decodes JSON of at most `max` bytes.
pub(crate) fn decode_json_within<T: serde::de::DeserializeOwned>(bytes: &[u8], max: usize) -> Result<T> {
    if bytes.len() > max {
        let message = format!("{} bytes are more than {max}", bytes.len());
        return Err(ConfigReport::malformed(message));
    }
    serde_json::from_slice(bytes).map_err(ConfigReport::malformed)
}

/// Encodes a value of this crate as JSON.
pub(crate) fn encode_json<T: Serialize>(message: &T) -> Vec<u8> {
    // Encoding fails only for maps whose keys are not strings, which no type of this crate has.
    serde_json::to_vec(message).unwrap_or_default()
}

fn write_callers<S: Serializer>(table: &Arc<CallerTable>, serializer: S) -> Result<S::Ok, S::Error> {
    table.serialize(serializer)
}

fn read_callers<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<CallerTable>, D::Error> {
    CallerTable::deserialize(deserializer).map(Arc::new)
}
