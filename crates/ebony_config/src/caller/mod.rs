//! Callers: who they are, by which keys they are known, and what they may use.

mod builder;
mod table;
mod text;

use ebony_types::{CallerName, ModelName};
use serde::{Deserialize, Serialize};

use crate::key_digest::KeyDigest;
use crate::name::GroupName;

pub use table::CallerTable;

/// The weight of a caller whose record states none.
pub const DEFAULT_CALLER_WEIGHT: u32 = 100;

/// One caller, as a change or a document spells it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRecord {
    /// The group, which has service-level objectives.
    pub group: GroupName,
    /// Digests of the caller's bearer keys.
    pub keys: Vec<KeyDigest>,
    /// The caller's share against other callers; 100 is the default.
    #[serde(default = "default_weight", skip_serializing_if = "is_default_weight")]
    pub weight: u32,
    /// The models that the caller may use; all models in force if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<ModelName>>,
}

fn default_weight() -> u32 {
    DEFAULT_CALLER_WEIGHT
}

fn is_default_weight(weight: &u32) -> bool {
    *weight == DEFAULT_CALLER_WEIGHT
}

/// One caller as it stands in a [`CallerTable`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerView<'t> {
    /// The caller's name.
    pub name: &'t str,
    /// The group.
    pub group: &'t GroupName,
    /// Digests of the bearer keys.
    pub keys: &'t [KeyDigest],
    /// The share against other callers.
    pub weight: u32,
    /// The models that the caller may use; all models in force if `None`.
    pub models: Option<&'t [ModelName]>,
}

impl CallerView<'_> {
    /// Returns `true` if the caller may use the model, provided that it is in force.
    pub fn may_use(&self, model: &ModelName) -> bool {
        self.models.is_none_or(|models| models.contains(model))
    }

    /// Returns the caller as a record of its own.
    pub fn to_record(self) -> CallerRecord {
        CallerRecord {
            group: self.group.clone(),
            keys: self.keys.to_vec(),
            weight: self.weight,
            models: self.models.map(<[_]>::to_vec),
        }
    }

    /// Returns the name as a checked name; `None` only if the table was built from an unchecked name.
    pub fn to_name(self) -> Option<CallerName> {
        CallerName::parse(self.name).ok()
    }
}
