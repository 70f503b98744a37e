//! The `config watch` command.

use std::io::Write;

use futures_util::StreamExt;
use serde_json::Value;

use super::Session;
use crate::error::{ControlError, Result};
use crate::event_stream::{EventReader, ServerEvent};
use crate::render::{change_line, status_table};

impl<W: Write> Session<W> {
    /// Shows which version is in force in each process, and then every change.
    pub(super) async fn watch(&mut self, is_once: bool, until: Option<u64>) -> Result<()> {
        if is_once {
            let status = self.read("/v1/config/status").await?;
            return self.print(&status, status_table);
        }
        let mut stream = self.client.stream("/v1/config/watch").await?;
        let mut reader = EventReader::default();
        while let Some(chunk) = stream.next().await {
            let chunk = chunk.map_err(|error| ControlError::AnswerLost(error.to_string()))?;
            for event in reader.push(&chunk) {
                self.print_event(&event)?;
            }
            if let Some(version) = until
                && self.is_in_force(version).await?
            {
                return Ok(());
            }
        }
        Err(ControlError::AnswerLost("the entry ended the stream".to_owned()))
    }

    fn print_event(&mut self, event: &ServerEvent) -> Result<()> {
        if self.is_json {
            // One JSON object per line, so that scripts can read the stream incrementally.
            return Ok(writeln!(self.output, "{}", event.data)?);
        }
        let text = match event.name.as_str() {
            "status" => status_table(&event.data),
            _ => change_line(&event.data),
        };
        Ok(writeln!(self.output, "{}", text.trim_end())?)
    }

    /// Returns whether this version or a newer one is in force in every process that reports.
    async fn is_in_force(&self, version: u64) -> Result<bool> {
        let status = self.read("/v1/config/status").await?;
        let processes = status["processes"].as_array().cloned().unwrap_or_default();
        let has_version = |process: &Value| process["version"].as_u64() >= Some(version);
        let mut reporting = processes.iter().filter(|process| process["is_silent"] != true);
        Ok(reporting.all(has_version))
    }
}
