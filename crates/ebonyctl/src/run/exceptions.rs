//! The `exceptions` commands.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::Session;
use crate::command::{ExceptionAddition, ExceptionCommand, ScopeOptions};
use crate::error::{ControlError, Result};
use crate::render::exception_table;

const SECONDS_PER_HOUR: u64 = 3_600;

impl<W: Write> Session<W> {
    pub(super) async fn exceptions(&mut self, command: &ExceptionCommand) -> Result<()> {
        match command {
            ExceptionCommand::List => {
                let document = self.read("/v1/config").await?;
                if self.is_json {
                    return self.print_json(&document["exceptions"]);
                }
                self.print(&document, exception_table)
            }
            ExceptionCommand::Add(addition) => {
                let exception = to_exception(addition)?;
                let patch = json!({"exceptions": {"set": {addition.name.as_str(): exception}}});
                self.patch(patch, &addition.change).await
            }
            ExceptionCommand::Remove { name, change } => {
                let patch = json!({"exceptions": {"remove": [name]}});
                self.patch(patch, change).await
            }
        }
    }
}

fn to_exception(addition: &ExceptionAddition) -> Result<Value> {
    let mut exception = json!({
        "scope": to_scope(&addition.scope),
        "values": to_values(&addition.values)?,
        "reason": addition.reason,
    });
    if let Some(hours) = addition.expires_in {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        exception["expires"] = Value::from(now.as_secs() + u64::from(hours) * SECONDS_PER_HOUR);
    }
    Ok(exception)
}

fn to_scope(scope: &ScopeOptions) -> Value {
    let scopes = [
        ("caller", &scope.caller),
        ("model", &scope.model),
        ("service", &scope.service),
        ("target", &scope.target),
    ];
    let named = scopes
        .into_iter()
        .filter_map(|(kind, name)| Some((kind.to_owned(), Value::from(name.as_deref()?))));
    Value::Object(named.collect())
}

/// Converts `section.name=value` settings into nested objects. A value that is not JSON is taken as a string.
fn to_values(settings: &[String]) -> Result<Value> {
    let mut values = json!({});
    for setting in settings {
        let malformed = || {
            let message = format!("`{setting}` is not of the form section.name=value");
            ControlError::Usage(message)
        };
        let (key, value) = setting.split_once('=').ok_or_else(malformed)?;
        let (section, name) = key.split_once('.').ok_or_else(malformed)?;
        values[section][name] = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
    }
    Ok(values)
}
