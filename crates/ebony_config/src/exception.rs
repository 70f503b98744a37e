//! Exceptions: values that differ from the fleet defaults for one caller, model, service or target.

use std::collections::BTreeMap;

use ebony_types::{CallerName, ModelName, ServiceName, TargetName};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::name::ExceptionName;
use crate::values::ValueChanges;
use crate::wall_time::WallTime;

/// The scope of an exception. The order of the variants is the order in which exceptions apply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExceptionScope {
    /// Calls to one plain service.
    Service(ServiceName),
    /// Calls to one model.
    Model(ModelName),
    /// Calls that run on one target.
    Target(TargetName),
    /// Programs of one caller.
    Caller(CallerName),
}

/// A deviation from the fleet defaults, with its reason.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigException {
    /// The calls or programs to which the exception applies.
    pub scope: ExceptionScope,
    /// The values that differ.
    pub values: ValueChanges,
    /// Why the exception exists, for its later readers.
    pub reason: String,
    /// The operator who created the exception. Set by the process that accepts the change.
    #[serde(default)]
    pub author: String,
    /// When it was created. Set by the process that accepts the change.
    #[serde(default)]
    pub created: WallTime,
    /// When it expires; never if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires: Option<WallTime>,
}

impl ConfigException {
    /// Returns `true` if the exception applies at `now`.
    pub fn is_active(&self, now: WallTime) -> bool {
        self.expires.is_none_or(|expires| now < expires)
    }
}

/// All exceptions of a configuration, indexed by their scope.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExceptionTable {
    exceptions: BTreeMap<ExceptionName, ConfigException>,
    /// The names of the exceptions for each scope, in the order in which they apply.
    by_scope: BTreeMap<ExceptionScope, Vec<ExceptionName>>,
}

impl ExceptionTable {
    /// Builds the table and its index by scope.
    pub fn new(exceptions: BTreeMap<ExceptionName, ConfigException>) -> Self {
        let mut by_scope: BTreeMap<_, Vec<ExceptionName>> = BTreeMap::new();
        for (name, exception) in &exceptions {
            by_scope
                .entry(exception.scope.clone())
                .or_default()
                .push(name.clone());
        }
        for names in by_scope.values_mut() {
            // The names are already sorted, and the sort is stable.
            names.sort_by_key(|name| exceptions.get(name).map(|exception| exception.created));
        }
        Self { exceptions, by_scope }
    }

    /// Returns the exceptions by name.
    pub fn as_map(&self) -> &BTreeMap<ExceptionName, ConfigException> {
        &self.exceptions
    }

    /// Returns the exceptions with exactly this scope that are active at `now`, by creation time and then by name.
    pub fn active(&self, scope: &ExceptionScope, now: WallTime) -> impl Iterator<Item = &ConfigException> {
        let names = self.by_scope.get(scope).map(Vec::as_slice).unwrap_or_default();
        let exceptions = names.iter().filter_map(|name| self.exceptions.get(name));
        exceptions.filter(move |exception| exception.is_active(now))
    }
}

impl Serialize for ExceptionTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.exceptions.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ExceptionTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        BTreeMap::deserialize(deserializer).map(Self::new)
    }
}
