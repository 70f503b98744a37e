//! Validation of a document before it is written or put in force.

use std::collections::HashMap;

use crate::caller::CallerView;
use crate::document::{ConfigDocument, MAX_DOCUMENT_BYTES};
use crate::exception::{ConfigException, ExceptionScope};
use crate::issue::{ConfigReport, IssueKind, Result};
use crate::key_digest::KeyDigest;

/// The most callers. The design scale has 49,000.
pub const MAX_CALLERS: usize = 65_536;

/// The most keys of one caller or operator: two in use, and two more during key rotation.
pub const MAX_KEYS: usize = 4;

/// The most exceptions.
pub const MAX_EXCEPTIONS: usize = 10_000;

/// The most models, and likewise the most services, objectives and operators.
pub const MAX_NAMES: usize = 1_000;

/// The longest reason of an exception in bytes.
pub const MAX_REASON_BYTES: usize = 1_000;

/// The largest weight of a caller.
const MAX_CALLER_WEIGHT: u32 = 10_000;

impl ConfigDocument {
    /// Checks all rules.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigReport`] with all violations.
    pub fn validate(&self) -> Result<()> {
        let mut report = ConfigReport::default();
        self.check_values(&mut report);
        // Without an operator, the configuration could not be changed again.
        report.check_count("operators", self.operators.len(), 1..=MAX_NAMES);
        for (name, exception) in self.exceptions.as_map() {
            self.check_scope(&exception.scope, &format!("exceptions.{name}.scope"), &mut report);
        }
        for caller in self.callers.iter() {
            self.check_caller(caller, &mut report);
        }
        self.check_keys(&mut report);
        report.into_result()
    }

    /// Checks the rules that do not need callers and operators, for a document without them.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigReport`] with all violations.
    pub fn validate_values(&self) -> Result<()> {
        let mut report = ConfigReport::default();
        self.check_values(&mut report);
        report.into_result()
    }

    /// Checks all rules, and the size of the document in JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigReport`] with all violations.
    pub fn validate_for_writing(&self) -> Result<()> {
        self.validate()?;
        let found = self.encode().len();
        if found <= MAX_DOCUMENT_BYTES {
            return Ok(());
        }
        let mut report = ConfigReport::default();
        report.add(
            String::new(),
            IssueKind::TooLarge {
                found,
                max: MAX_DOCUMENT_BYTES,
            },
        );
        Err(report)
    }

    fn check_values(&self, report: &mut ConfigReport) {
        report.check_count("models", self.models.len(), 0..=MAX_NAMES);
        report.check_count("services", self.services.len(), 0..=MAX_NAMES);
        report.check_count("exceptions", self.exceptions.as_map().len(), 0..=MAX_EXCEPTIONS);
        report.check_count("objectives", self.objectives.len(), 0..=MAX_NAMES);
        report.check_count("callers", self.callers.len(), 0..=MAX_CALLERS);
        self.defaults.check("defaults", report);
        for (name, exception) in self.exceptions.as_map() {
            check_exception(exception, &format!("exceptions.{name}"), report);
        }
        for (name, objective) in &self.objectives {
            objective.check(&format!("objectives.{name}"), report);
        }
    }

    fn check_scope(&self, scope: &ExceptionScope, path: &str, report: &mut ConfigReport) {
        let (kind, name, is_known) = match scope {
            ExceptionScope::Caller(name) => (
                "caller",
                name.as_str(),
                self.callers.find_name(name.as_str()).is_some(),
            ),
            ExceptionScope::Model(name) => ("model", name.as_str(), self.models.contains(name)),
            ExceptionScope::Service(name) => ("service", name.as_str(), self.services.contains(name)),
            // A target is known to its side process only, so that its name cannot be checked here.
            ExceptionScope::Target(name) => ("target", name.as_str(), true),
        };
        if !is_known {
            let kind = IssueKind::Unknown {
                kind,
                name: name.to_owned(),
            };
            report.add(path.to_owned(), kind);
        }
    }

    fn check_caller(&self, caller: CallerView<'_>, report: &mut ConfigReport) {
        if !(1..=MAX_KEYS).contains(&caller.keys.len()) {
            report.check_count(
                &format!("callers.{}.keys", caller.name),
                caller.keys.len(),
                1..=MAX_KEYS,
            );
        }
        if !(1..=MAX_CALLER_WEIGHT).contains(&caller.weight) {
            let kind = IssueKind::OutOfBounds {
                expected: format!("1 to {MAX_CALLER_WEIGHT}"),
                found: caller.weight.to_string(),
            };
            report.add(format!("callers.{}.weight", caller.name), kind);
        }
        for model in caller.models.unwrap_or_default() {
            if !self.models.contains(model) {
                let kind = IssueKind::Unknown {
                    kind: "model",
                    name: model.to_string(),
                };
                report.add(format!("callers.{}.models", caller.name), kind);
            }
        }
    }

    /// Checks the number of keys of each operator, and that no two callers or operators have the same key.
    fn check_keys(&self, report: &mut ConfigReport) {
        for shared in self.callers.shared_keys() {
            let holder = format!("caller `{}`", shared.first);
            report.add(
                format!("callers.{}.keys", shared.second),
                IssueKind::SharedKey { holder },
            );
        }
        let mut holders: HashMap<&KeyDigest, String> = HashMap::new();
        for (name, operator) in &self.operators {
            let path = format!("operators.{name}.keys");
            report.check_count(&path, operator.keys.len(), 1..=MAX_KEYS);
            for key in &operator.keys {
                let caller = self
                    .callers
                    .find_key(key)
                    .map(|caller| format!("caller `{}`", caller.name));
                let earlier = holders.insert(key, format!("operator `{name}`"));
                if let Some(holder) = caller.or(earlier) {
                    report.add(path.clone(), IssueKind::SharedKey { holder });
                }
            }
        }
    }
}

fn check_exception(exception: &ConfigException, path: &str, report: &mut ConfigReport) {
    report.check_text(format!("{path}.reason"), &exception.reason, MAX_REASON_BYTES);
    report.check_text(
        format!("{path}.author"),
        &exception.author,
        ebony_types::name::MAX_NAME_BYTES,
    );
    if exception.values.is_empty() {
        report.add(format!("{path}.values"), IssueKind::NoChange);
    }
    exception.values.check(&format!("{path}.values"), report);
    let created = exception.created;
    if let Some(expires) = exception.expires.filter(|expires| *expires <= created) {
        let kind = IssueKind::BadExpiry {
            created: created.0,
            expires: expires.0,
        };
        report.add(format!("{path}.expires"), kind);
    }
}
