//! The operators' command of ebonyswitch as a library.
//!
//! [`command`] has the arguments, [`client`] speaks to the administration addresses of entries, and [`run`] carries the
//! commands out.

pub mod client;
pub mod command;
pub mod error;
pub mod event_stream;
pub mod render;
pub mod run;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use crate::command::{ControlCommand, ControlTopic};
use crate::run::Session;

/// Runs the command by the arguments of this process.
pub fn main_from_arguments() -> ExitCode {
    let command = ControlCommand::parse();
    if let ControlTopic::Completions { shell } = command.topic {
        let mut definition = ControlCommand::command();
        clap_complete::generate(shell, &mut definition, "ebonyctl", &mut std::io::stdout());
        return ExitCode::SUCCESS;
    }
    let result = actix_rt::System::new().block_on(async {
        let mut session = Session::open(&command.access, std::io::stdout())?;
        session.run(&command.topic).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("ebonyctl: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
