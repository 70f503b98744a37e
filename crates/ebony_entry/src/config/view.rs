//! Read access to the configuration for HTTP handlers.

use std::sync::{Arc, OnceLock};

use ebony_config::{
    ConfigCell, ConfigDocument, FleetValues, KeyDigest, OperatorName, ResolveScope, WallTime,
};
use ebony_telemetry::unix_time;
use ebony_types::{CallerName, ModelName, ProgramBudget, ServiceName};

/// Read access to the configuration in force. Clones share it. Until the first configuration is in force, lookups
/// return nothing and callers are refused.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    cell: Arc<OnceLock<ConfigCell>>,
}

/// Returns the wall-clock time, by which exceptions expire.
pub(crate) fn wall_now() -> WallTime {
    WallTime(unix_time().as_secs())
}

impl ConfigView {
    /// Sets the cell when the first configuration comes into force.
    pub(super) fn set(&self, cell: ConfigCell) {
        // Only the first call has an effect. Later configurations are stored in the same cell.
        let _ = self.cell.set(cell);
    }

    /// Returns the document in force.
    pub fn document(&self) -> Option<Arc<ConfigDocument>> {
        self.cell.get().map(ConfigCell::load)
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.document().map_or(0, |document| document.version)
    }

    /// Returns the operator to which the digest of a bearer key belongs.
    pub fn operator(&self, digest: &[u8; 32]) -> Option<OperatorName> {
        self.document()?.find_operator(&KeyDigest(*digest)).cloned()
    }

    /// Returns the caller to which the digest of a bearer key belongs.
    pub fn caller(&self, digest: &[u8; 32]) -> Option<CallerName> {
        self.document()?.callers.find_key(&KeyDigest(*digest))?.to_name()
    }

    /// Returns the group of a caller.
    pub fn group(&self, caller: &CallerName) -> Option<String> {
        let document = self.document()?;
        Some(
            document
                .callers
                .find_name(caller.as_str())?
                .group
                .as_str()
                .to_owned(),
        )
    }

    /// Returns `true` if the model is in force and the caller may use it.
    pub fn serves_model(&self, caller: &CallerName, model: &ModelName) -> bool {
        let Some(document) = self.document() else {
            return false;
        };
        let may_use = document
            .callers
            .find_name(caller.as_str())
            .is_some_and(|view| view.may_use(model));
        may_use && document.models.contains(model)
    }

    /// Returns `true` if the service is in force.
    pub fn serves_service(&self, service: &ServiceName) -> bool {
        self.document()
            .is_some_and(|document| document.services.contains(service))
    }

    /// Returns the models that a caller may use.
    pub fn models(&self, caller: &CallerName) -> Vec<ModelName> {
        let Some(document) = self.document() else {
            return Vec::new();
        };
        let Some(view) = document.callers.find_name(caller.as_str()) else {
            return Vec::new();
        };
        document
            .models
            .iter()
            .filter(|model| view.may_use(model))
            .cloned()
            .collect()
    }

    /// Returns the values that apply to a caller.
    pub fn values(&self, caller: &CallerName) -> FleetValues {
        let scope = ResolveScope {
            caller: Some(caller),
            ..ResolveScope::default()
        };
        self.document().map_or_else(FleetValues::default, |document| {
            document.resolve(&scope, wall_now())
        })
    }

    /// Returns the budget limits of a caller's new programs.
    pub fn budget(&self, caller: &CallerName) -> ProgramBudget {
        self.values(caller).budget.to_budget()
    }
}
