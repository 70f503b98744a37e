//! Changes to a document, in the form in which operators submit them and in which they are distributed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ebony_types::{CallerName, ModelName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::caller::{CallerRecord, CallerTable};
use crate::document::{ConfigDocument, OperatorRecord, decode_json, encode_json};
use crate::exception::{ConfigException, ExceptionTable};
use crate::issue::{ConfigReport, IssueKind, Result};
use crate::name::{ExceptionName, GroupName, OperatorName};
use crate::objective::GroupObjective;
use crate::values::{ValueChanges, is_default};
use crate::wall_time::WallTime;

/// A change to a map of records by name.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MapPatch<K: Ord, V> {
    /// Records that are added or replaced.
    #[serde(default = "BTreeMap::new", skip_serializing_if = "BTreeMap::is_empty")]
    pub set: BTreeMap<K, V>,
    /// Names of records that are removed.
    #[serde(default = "BTreeSet::new", skip_serializing_if = "BTreeSet::is_empty")]
    pub remove: BTreeSet<K>,
}

impl<K: Ord, V> Default for MapPatch<K, V> {
    fn default() -> Self {
        Self {
            set: BTreeMap::new(),
            remove: BTreeSet::new(),
        }
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> MapPatch<K, V> {
    /// Returns the change that turns `base` into `next`.
    fn diff(base: &BTreeMap<K, V>, next: &BTreeMap<K, V>) -> Self {
        let changed = next.iter().filter(|(key, value)| base.get(key) != Some(value));
        let removed = base.keys().filter(|key| !next.contains_key(key));
        Self {
            set: changed.map(|(key, value)| (key.clone(), value.clone())).collect(),
            remove: removed.cloned().collect(),
        }
    }

    fn apply(&self, records: &mut BTreeMap<K, V>) {
        records.retain(|key, _| !self.remove.contains(key));
        records.extend(self.set.iter().map(|(key, value)| (key.clone(), value.clone())));
    }
}

/// A change to a document. Unchanged parts are omitted.
///
/// ```
/// use ebony_config::{ConfigDocument, ConfigPatch};
///
/// let patch = ConfigPatch::decode(br#"{ "defaults": { "policy": { "latency_weight": 0.8 } } }"#)?;
/// let document = patch.apply(&ConfigDocument::default())?;
/// assert_eq!(document.version, 1);
/// assert_eq!(document.defaults.policy.latency_weight, 0.8);
/// # Ok::<(), ebony_config::ConfigReport>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigPatch {
    /// Changed defaults.
    #[serde(skip_serializing_if = "is_default")]
    pub defaults: ValueChanges,
    /// The models in force from now on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<BTreeSet<ModelName>>,
    /// The plain services in force from now on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<BTreeSet<ServiceName>>,
    /// Changed exceptions.
    #[serde(skip_serializing_if = "is_default")]
    pub exceptions: MapPatch<ExceptionName, ConfigException>,
    /// Changed objectives.
    #[serde(skip_serializing_if = "is_default")]
    pub objectives: MapPatch<GroupName, GroupObjective>,
    /// Changed operators.
    #[serde(skip_serializing_if = "is_default")]
    pub operators: MapPatch<OperatorName, OperatorRecord>,
    /// Changed callers.
    #[serde(skip_serializing_if = "is_default")]
    pub callers: MapPatch<CallerName, CallerRecord>,
}

impl ConfigPatch {
    /// Decodes a change.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigReport`] if there are more than [`crate::MAX_DOCUMENT_BYTES`] bytes or they are not a change.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode_json(bytes)
    }

    /// Returns the JSON form.
    pub fn encode(&self) -> Vec<u8> {
        encode_json(self)
    }

    /// Returns the change that turns `base` into `next`. Versions are ignored.
    pub fn diff(base: &ConfigDocument, next: &ConfigDocument) -> Self {
        Self {
            defaults: base.defaults.changes_to(&next.defaults),
            models: (base.models != next.models).then(|| next.models.clone()),
            services: (base.services != next.services).then(|| next.services.clone()),
            exceptions: MapPatch::diff(base.exceptions.as_map(), next.exceptions.as_map()),
            objectives: MapPatch::diff(&base.objectives, &next.objectives),
            operators: MapPatch::diff(&base.operators, &next.operators),
            callers: base.callers.diff(&next.callers),
        }
    }

    /// Applies the change to `base` and returns the next version. The result is not validated.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigReport`] if the change removes a record that does not exist, or removes and sets the same name.
    pub fn apply(&self, base: &ConfigDocument) -> Result<ConfigDocument> {
        self.check_all_removed_names(base)?;
        let mut next = ConfigDocument {
            version: base.version.saturating_add(1),
            defaults: base.defaults,
            models: self.models.as_ref().unwrap_or(&base.models).clone(),
            services: self.services.as_ref().unwrap_or(&base.services).clone(),
            exceptions: self.next_exceptions(base),
            objectives: base.objectives.clone(),
            operators: base.operators.clone(),
            callers: self.next_callers(base),
        };
        next.defaults.overlay(&self.defaults);
        self.objectives.apply(&mut next.objectives);
        self.operators.apply(&mut next.operators);
        Ok(next)
    }

    /// Sets the author and the creation time of the exceptions in this change.
    pub(crate) fn stamp_exceptions(&mut self, author: &OperatorName, time: WallTime) {
        for exception in self.exceptions.set.values_mut() {
            author.as_str().clone_into(&mut exception.author);
            exception.created = time;
        }
    }

    fn next_exceptions(&self, base: &ConfigDocument) -> ExceptionTable {
        if is_default(&self.exceptions) {
            return base.exceptions.clone();
        }
        let mut exceptions = base.exceptions.as_map().clone();
        self.exceptions.apply(&mut exceptions);
        ExceptionTable::new(exceptions)
    }

    fn next_callers(&self, base: &ConfigDocument) -> Arc<CallerTable> {
        if is_default(&self.callers) {
            Arc::clone(&base.callers)
        } else {
            Arc::new(base.callers.apply(&self.callers))
        }
    }

    fn check_all_removed_names(&self, base: &ConfigDocument) -> Result<()> {
        let mut report = ConfigReport::default();
        let exceptions = base.exceptions.as_map();
        check_removed_names(
            "exception",
            &self.exceptions,
            |name| exceptions.contains_key(name),
            &mut report,
        );
        check_removed_names(
            "objective",
            &self.objectives,
            |name| base.objectives.contains_key(name),
            &mut report,
        );
        check_removed_names(
            "operator",
            &self.operators,
            |name| base.operators.contains_key(name),
            &mut report,
        );
        let has_caller = |name: &CallerName| base.callers.find_name(name.as_str()).is_some();
        check_removed_names("caller", &self.callers, has_caller, &mut report);
        report.into_result()
    }
}

fn check_removed_names<K: Ord + std::fmt::Display, V>(
    kind: &'static str,
    patch: &MapPatch<K, V>,
    exists: impl Fn(&K) -> bool,
    report: &mut ConfigReport,
) {
    for name in patch
        .remove
        .iter()
        .filter(|name| !exists(name) || patch.set.contains_key(name))
    {
        let name = name.to_string();
        report.add(format!("{kind}s.remove"), IssueKind::Unknown { kind, name });
    }
}
