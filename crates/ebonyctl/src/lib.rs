//! `ebonyctl`, the command-line tool for operators of ebonyswitch, as a library.
//!
//! [`command`] defines the command line, [`client`] sends requests to the administration API of entries, and [`run`]
//! executes the commands.

pub mod client;
pub mod command;
pub mod error;
pub mod event_stream;
pub mod render;
pub mod run;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use crate::command::{ControlCommand, ControlTopic};
use crate::error::Result;
use crate::run::{Session, explain_command, run_replay};

/// Runs `ebonyctl` with the command-line arguments of this process.
pub fn main_from_arguments() -> ExitCode {
    let command = ControlCommand::parse();
    if let ControlTopic::Completions { shell } = command.topic {
        let mut definition = ControlCommand::command();
        clap_complete::generate(shell, &mut definition, "ebonyctl", &mut std::io::stdout());
        return ExitCode::SUCCESS;
    }
    let result = actix_rt::System::new().block_on(run_command(&command));
    match result {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("ebonyctl: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run_command(command: &ControlCommand) -> Result<ExitCode> {
    if let ControlTopic::Replay(arguments) = &command.topic {
        return run_replay(&command.access, arguments, &mut std::io::stdout()).await;
    }
    if let ControlTopic::Explain(arguments) = &command.topic {
        print!("{}", explain_command(arguments)?);
        return Ok(ExitCode::SUCCESS);
    }
    let mut session = Session::open(&command.access, std::io::stdout())?;
    session.run(&command.topic).await?;
    Ok(ExitCode::SUCCESS)
}
