//! Callers: their groups, bearer keys, weights and permitted models.

mod builder;
mod json;
mod table;

use ebony_types::{CallerName, ModelName};
use serde::{Deserialize, Serialize};

use crate::key_digest::KeyDigest;
use crate::name::GroupName;

pub use table::CallerTable;

/// The weight of a caller whose record has no `weight`.
pub const DEFAULT_CALLER_WEIGHT: u32 = 100;

/// One caller in the form in which documents and changes contain it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRecord {
    /// The group of callers, for which service-level objectives are set.
    pub group: GroupName,
    /// Digests of the caller's bearer keys.
    pub keys: Vec<KeyDigest>,
    /// The caller's scheduling weight relative to other callers; 100 is the default.
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

/// A borrowed view of one caller in a [`CallerTable`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerView<'t> {
    /// The caller's name.
    pub name: &'t str,
    /// The group.
    pub group: &'t GroupName,
    /// Digests of the bearer keys.
    pub keys: &'t [KeyDigest],
    /// The scheduling weight relative to other callers.
    pub weight: u32,
    /// The models that the caller may use; all models in force if `None`.
    pub models: Option<&'t [ModelName]>,
}

impl CallerView<'_> {
    /// Returns `true` if the caller may use the model. Does not check that the model is in force.
    pub fn may_use(&self, model: &ModelName) -> bool {
        self.models.is_none_or(|models| models.contains(model))
    }

    /// Copies the view into an owned record.
    pub fn to_record(self) -> CallerRecord {
        CallerRecord {
            group: self.group.clone(),
            keys: self.keys.to_vec(),
            weight: self.weight,
            models: self.models.map(<[_]>::to_vec),
        }
    }

    /// Returns the name as a [`CallerName`]; `None` only if the table was built from a name that was not checked.
    pub fn to_name(self) -> Option<CallerName> {
        CallerName::parse(self.name).ok()
    }
}
