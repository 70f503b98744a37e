//! Command line of the daemon.

use std::path::PathBuf;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

/// Schedules agent programs: runs as an entry process in front of callers, as a side process beside a target, or as a
/// gateway that reaches targets directly.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "ebonyswitch", version, about, long_about = None)]
#[command(
    after_help = "Exit codes: 0 stopped as planned, 1 failed, 2 settings or arguments are wrong.\n\
    A first SIGTERM or SIGINT stops gracefully; a second one stops at once."
)]
pub struct DaemonCommand {
    /// What to run.
    #[command(subcommand)]
    pub role: RoleCommand,
}

/// What the daemon runs as.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum RoleCommand {
    /// Runs an entry process: receives calls, owns programs and sends calls to targets.
    Entry {
        /// The settings file, JSON with comments. docs/settings.md describes every key.
        #[arg(value_name = "FILE")]
        settings: PathBuf,
    },
    /// Runs a side process beside one or more targets.
    Side {
        /// The settings file, JSON with comments. docs/settings.md describes every key.
        #[arg(value_name = "FILE")]
        settings: PathBuf,
    },
    /// Runs a gateway: forwards calls to direct targets, without side processes.
    Gateway {
        /// The settings file, JSON with comments. docs/settings.md describes every key.
        #[arg(value_name = "FILE")]
        settings: PathBuf,
    },
    /// Checks settings files and prints everything that is wrong with them; exits with 2 if anything is.
    Check {
        /// The settings files.
        #[arg(value_name = "FILE", required = true)]
        files: Vec<PathBuf>,
    },
    /// Prints a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Prints a completion script to standard output.
pub fn print_completions(shell: Shell) {
    let mut command = DaemonCommand::command();
    clap_complete::generate(shell, &mut command, "ebonyswitch", &mut std::io::stdout());
}
