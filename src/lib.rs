//! The `ebonyswitch` daemon as a library, so that examples and tests can run its roles from their own executable.

pub mod command;
pub mod run;

mod reload;
mod signals;

use std::process::ExitCode;

use clap::Parser;

use crate::command::{DaemonCommand, RoleCommand};

/// Runs the daemon with the command-line arguments of this process.
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

/// Runs the daemon if the first argument is `entry`, `side` or `gateway`; returns `None` otherwise.
///
/// Programs that start whole deployments call this first in `main` and then start their own executable with these
/// arguments for each process of the deployment.
pub fn run_as_daemon() -> Option<ExitCode> {
    let role = std::env::args().nth(1)?;
    matches!(role.as_str(), "entry" | "side" | "gateway").then(main_from_arguments)
}
