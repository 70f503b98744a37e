//! Resolves the values that apply to one program or call.

use ebony_types::{CallerName, ModelName, ServiceName, TargetName};

use crate::document::ConfigDocument;
use crate::exception::ExceptionScope;
use crate::values::FleetValues;
use crate::wall_time::WallTime;

/// The caller, model, service and target of a program or call. Parts that are not known yet are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResolveScope<'s> {
    /// The caller.
    pub caller: Option<&'s CallerName>,
    /// The model, for a model call.
    pub model: Option<&'s ModelName>,
    /// The plain service, for a service call.
    pub service: Option<&'s ServiceName>,
    /// The target, once it is chosen.
    pub target: Option<&'s TargetName>,
}

impl ResolveScope<'_> {
    /// Returns the scopes of exceptions in the order in which they apply.
    fn exception_scopes(&self) -> impl Iterator<Item = ExceptionScope> {
        let service = self.service.cloned().map(ExceptionScope::Service);
        let model = self.model.cloned().map(ExceptionScope::Model);
        let target = self.target.cloned().map(ExceptionScope::Target);
        let caller = self.caller.cloned().map(ExceptionScope::Caller);
        [service, model, target, caller].into_iter().flatten()
    }
}

impl ConfigDocument {
    /// Returns the values in effect at `now`: the fleet defaults, overridden by the active exceptions.
    ///
    /// Exceptions apply in this order: those of the service, of the model, of the target, and of the caller. A later
    /// exception overrides the values that it sets. A target's exception is narrower than that of its model, and a
    /// caller's exception comes last because it was agreed on with a customer. Within one scope, exceptions apply in
    /// the order of their creation times, and those with the same time in the order of their names.
    pub fn resolve(&self, scope: &ResolveScope<'_>, now: WallTime) -> FleetValues {
        let mut values = self.defaults;
        for scope in scope.exception_scopes() {
            for exception in self.exceptions.active(&scope, now) {
                values.overlay(&exception.values);
            }
        }
        values
    }
}
