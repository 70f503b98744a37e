//! The daemon of ebonyswitch as a library, so that examples can run the daemon's roles from their own executable.

pub mod command;
pub mod run;

mod reload;
mod stop;

use std::process::ExitCode;

use clap::Parser;

use crate::command::{DaemonCommand, RoleCommand};

/// Runs the daemon by the arguments of this process.
pub fn main_from_arguments() -> ExitCode {
    match DaemonCommand::parse().role {
        RoleCommand::Check { files } => run::check(&files),
        RoleCommand::Entry { settings } => run::entry(&settings),
        RoleCommand::Side { settings } => run::side(&settings),
        RoleCommand::Gateway { settings } => run::gateway(&settings),
        RoleCommand::Completions { shell } => {
            command::print_completions(shell);
            ExitCode::SUCCESS
        }
    }
}

/// Runs the daemon if the first argument names a role of a process; returns `None` otherwise.
///
/// Examples that start whole deployments call it first and then start themselves with these arguments.
pub fn run_as_daemon() -> Option<ExitCode> {
    let role = std::env::args().nth(1)?;
    matches!(role.as_str(), "entry" | "side" | "gateway").then(main_from_arguments)
}
