//! Executes commands.

mod burn;
mod config;
mod exceptions;
mod explain;
mod fleet;
mod replay;
mod watch;

use std::io::{Read, Write};
use std::path::Path;
use std::time::Duration;

use serde_json::Value;

use crate::client::{AdminClient, AdminRequest};
use crate::command::{AccessOptions, ControlTopic, KEY_VARIABLE, ReportCommand};
use crate::error::{ControlError, Result};
pub use explain::{LogTimeline, explain_command};
pub use replay::{replay_command, run_replay};

/// The most bytes that are read from a file. A configuration document is smaller.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// Executes commands with one client and writes their results to one output.
pub struct Session<W> {
    pub(crate) client: AdminClient,
    pub(crate) is_json: bool,
    pub(crate) output: W,
}

impl<W: Write> Session<W> {
    /// Opens a session that writes its results to `output`.
    ///
    /// # Errors
    ///
    /// Fails if there is no entry or no key.
    pub fn open(access: &AccessOptions, output: W) -> Result<Self> {
        let timeout = Duration::from_secs(access.timeout);
        let client = AdminClient::open(&access.entries, load_key(access)?, timeout)?;
        Ok(Self {
            client,
            is_json: access.json,
            output,
        })
    }

    /// Executes a command.
    ///
    /// # Errors
    ///
    /// Fails for the reasons that [`ControlError`] lists.
    pub async fn run(&mut self, topic: &ControlTopic) -> Result<()> {
        match topic {
            ControlTopic::Config(command) => self.config(command).await,
            ControlTopic::Exceptions(command) => self.exceptions(command).await,
            ControlTopic::Targets(command) => self.targets(command).await,
            ControlTopic::Programs(command) => self.programs(command).await,
            ControlTopic::Report(ReportCommand::Burn { html }) => self.burn(html.as_deref()).await,
            // These need no session; `main_from_arguments` executes them.
            ControlTopic::Replay(_) | ControlTopic::Explain(_) | ControlTopic::Completions { .. } => Ok(()),
        }
    }

    /// Prints an answer as JSON with `--json`, otherwise as a table.
    pub(crate) fn print(&mut self, answer: &Value, to_table: impl FnOnce(&Value) -> String) -> Result<()> {
        if self.is_json {
            return self.print_json(answer);
        }
        let text = to_table(answer);
        Ok(writeln!(self.output, "{}", text.trim_end())?)
    }

    pub(crate) fn print_json(&mut self, answer: &Value) -> Result<()> {
        Ok(writeln!(self.output, "{answer:#}")?)
    }

    pub(crate) async fn read(&self, path: impl Into<String>) -> Result<Value> {
        self.client.send(&AdminRequest::get(path)).await
    }
}

fn load_key(access: &AccessOptions) -> Result<String> {
    let key = match &access.key_file {
        Some(path) => String::from_utf8(read_file(path)?)
            .map_err(|_| ControlError::Usage(format!("{}: the key is not a text", path.display())))?,
        None => std::env::var(KEY_VARIABLE).unwrap_or_default(),
    };
    let key = key.trim();
    if key.is_empty() {
        let message = format!("set {KEY_VARIABLE} or --key-file to the operator's key");
        return Err(ControlError::Usage(message));
    }
    Ok(key.to_owned())
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read_file(path: &Path) -> Result<Vec<u8>> {
    let unreadable = |error| ControlError::Usage(format!("{}: {error}", path.display()));
    let source: Box<dyn Read> = if path == Path::new("-") {
        Box::new(std::io::stdin())
    } else {
        Box::new(std::fs::File::open(path).map_err(unreadable)?)
    };
    let mut bytes = Vec::new();
    source
        .take(MAX_FILE_BYTES)
        .read_to_end(&mut bytes)
        .map_err(unreadable)?;
    Ok(bytes)
}

/// Reads a JSON file, or JSON from standard input for `-`.
pub(crate) fn read_json(path: &Path) -> Result<Value> {
    let malformed = |error| ControlError::Usage(format!("{}: {error}", path.display()));
    serde_json::from_slice(&read_file(path)?).map_err(malformed)
}
