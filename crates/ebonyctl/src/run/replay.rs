//! The `replay` command, which replays a recorded trace against a running system.

use std::io::Write;
use std::process::ExitCode;

use ebony_replay::{AnswerCheck, CallerKeys, OutputFormat, ReplayCommand, run_command};

use super::load_key;
use crate::command::{AccessOptions, ReplayArguments};
use crate::error::{ControlError, Result};

/// Converts the arguments of `replay` to a [`ReplayCommand`].
///
/// # Errors
///
/// Fails if there is no entry or no key.
pub fn replay_command(access: &AccessOptions, arguments: &ReplayArguments) -> Result<ReplayCommand> {
    if access.entries.is_empty() {
        let message = "name at least one entry with --entry URL".to_owned();
        return Err(ControlError::Usage(message));
    }
    let keys = CallerKeys::same(&load_key(access)?);
    let mut command = ReplayCommand::open(&arguments.trace, access.entries.clone(), keys);
    command.html.clone_from(&arguments.html);
    if arguments.complete {
        command.check = AnswerCheck::Complete;
    }
    if access.json {
        command.format = OutputFormat::Json;
    }
    Ok(command)
}

/// Replays a trace and writes the report to `output`. The exit code is 1 if a stated outcome was not reached.
///
/// # Errors
///
/// Fails if the arguments are wrong, the trace cannot be read or the report cannot be written.
pub async fn run_replay(
    access: &AccessOptions,
    arguments: &ReplayArguments,
    output: &mut dyn Write,
) -> Result<ExitCode> {
    let command = replay_command(access, arguments)?;
    let result = run_command(&command, output).await;
    result.map_err(|error| ControlError::Usage(format!("{error:#}")))
}
