//! The `config` commands, except for `watch`.

use std::io::Write;

use awc::http::Method;
use serde_json::{Value, json};

use super::{Session, read_json};
use crate::client::AdminRequest;
use crate::command::{ChangeOptions, ConfigCommand};
use crate::error::{ControlError, Result};
use crate::render::history_table;

impl<W: Write> Session<W> {
    pub(super) async fn config(&mut self, command: &ConfigCommand) -> Result<()> {
        match command {
            ConfigCommand::Get { version } => {
                let query = version.map(|version| format!("?version={version}"));
                let document = self
                    .read(format!("/v1/config{}", query.unwrap_or_default()))
                    .await?;
                self.print_json(&document)
            }
            ConfigCommand::Set { file, change } => {
                let document = read_json(file)?;
                let no_version =
                    || ControlError::Usage("the document has no version; name it with --expected".to_owned());
                let expected = change.expected.or(document["version"].as_u64());
                let body = json!({"document": document, "expected": expected.ok_or_else(no_version)?});
                self.send_change(Method::PUT, "/v1/config", body, change).await
            }
            ConfigCommand::Patch { file, change } => {
                let patch = read_json(file)?;
                self.patch(patch, change).await
            }
            ConfigCommand::History { newest, limit } => {
                let newest = newest.map(|newest| format!("&newest={newest}"));
                let path = format!("/v1/config/history?limit={limit}{}", newest.unwrap_or_default());
                let answer = self.read(path).await?;
                self.print(&answer, history_table)
            }
            ConfigCommand::Revert {
                to,
                with_keys,
                change,
            } => {
                let expected = self.expected_version(change).await?;
                let body = json!({"to": to, "with_keys": with_keys, "expected": expected});
                self.send_change(Method::POST, "/v1/config/revert", body, change)
                    .await
            }
            ConfigCommand::Watch { once, until } => self.watch(*once, *until).await,
        }
    }

    /// Sends a change to parts of the configuration document.
    pub(super) async fn patch(&mut self, patch: Value, change: &ChangeOptions) -> Result<()> {
        let body = json!({"patch": patch, "expected": self.expected_version(change).await?});
        self.send_change(Method::PATCH, "/v1/config", body, change).await
    }

    /// Returns the version that a change starts from: the given one, else the version in force.
    async fn expected_version(&self, change: &ChangeOptions) -> Result<u64> {
        if let Some(expected) = change.expected {
            return Ok(expected);
        }
        let status = self.read("/v1/config/status").await?;
        let missing = || ControlError::Malformed("the status has no version in force".to_owned());
        status["in_force"].as_u64().ok_or_else(missing)
    }

    async fn send_change(
        &mut self,
        method: Method,
        path: &str,
        mut body: Value,
        change: &ChangeOptions,
    ) -> Result<()> {
        body["summary"] = Value::from(change.summary.as_str());
        let answer = self
            .client
            .send(&AdminRequest::new(method, path, Some(body)))
            .await?;
        self.print(&answer, |answer| {
            format!("version {} accepted", answer["version"])
        })
    }
}
