//! The daemon of ebonyswitch.

mod command;
mod run;
mod stop;

use std::process::ExitCode;

use clap::Parser;

use crate::command::{DaemonCommand, RoleCommand};

fn main() -> ExitCode {
    let command = DaemonCommand::parse();
    match command.role {
        RoleCommand::Check { files } => run::check(&files),
        RoleCommand::Entry { settings } => run::entry(&settings),
        RoleCommand::Side { settings } => run::side(&settings),
        RoleCommand::Completions { shell } => {
            command::print_completions(shell);
            ExitCode::SUCCESS
        }
    }
}
