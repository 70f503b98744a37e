//! Command line of `ebonyctl`. The doc comments of arguments and commands are the help texts.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// The environment variable with the operator's key.
pub const KEY_VARIABLE: &str = "EBONYCTL_KEY";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed: no entry answers, the platform takes no change, or a replay misses a stated outcome
  2  the arguments or a file are wrong
  3  another operator was faster; the message names the winning version
  4  the key is missing, unknown or not allowed to do this
  5  there is no such version, program or target
  6  the change is invalid; the message names every violated rule
  7  it is unknown whether the change was accepted; `config history` tells

Examples:
  ebonyctl --entry http://10.0.0.1:7002 --key-file key config get > config.json
  ebonyctl --entry http://10.0.0.1:7002 --key-file key config set config.json --summary \"raise budgets\"
  ebonyctl --entry http://10.0.0.1:7002 --key-file key config watch --until 8
  ebonyctl --entry http://10.0.0.1:7002 --key-file key exceptions add kalo-queue \\
      --model kalo --set admission.queue_calls=32 --reason \"slow start of the new version\"";

/// Changes and watches the configuration of a fleet, and looks after its targets and programs.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "ebonyctl", version, about, long_about = None, after_help = EXIT_CODES)]
pub struct ControlCommand {
    /// The entries, the key and the output options.
    #[command(flatten)]
    pub access: AccessOptions,
    /// The command to run.
    #[command(subcommand)]
    pub topic: ControlTopic,
}

/// Options for access to the fleet and for output, shared by all commands.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct AccessOptions {
    /// The administration address of an entry, such as http://10.0.0.1:7002. Repeat it for several entries: requests go
    /// to the first one that can be reached, and reports merge all of them.
    #[arg(long = "entry", value_name = "URL", global = true)]
    pub entries: Vec<String>,
    /// A file with the operator's key. Without it, the key is taken from the environment variable EBONYCTL_KEY.
    #[arg(long, value_name = "FILE", global = true)]
    pub key_file: Option<PathBuf>,
    /// Prints JSON for scripts instead of tables for people.
    #[arg(long, global = true)]
    pub json: bool,
    /// The longest wait for an answer, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 20, global = true)]
    pub timeout: u64,
}

/// The commands of `ebonyctl`, grouped by topic.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum ControlTopic {
    /// Reads, changes and watches the configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Lists, adds and removes exceptions to the fleet's defaults. Each has a reason.
    #[command(subcommand)]
    Exceptions(ExceptionCommand),
    /// Lists and drains targets.
    #[command(subcommand)]
    Targets(TargetCommand),
    /// Shows and cancels programs.
    #[command(subcommand)]
    Programs(ProgramCommand),
    /// Reports on the fleet.
    #[command(subcommand)]
    Report(ReportCommand),
    /// Replays a recorded trace against callers' addresses of entries and checks its stated outcomes.
    Replay(ReplayArguments),
    /// Tells the story of a call or a program from the logs of gateways, without asking any process.
    Explain(ExplainArguments),
    /// Prints a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// The arguments of `replay`. All callers of the trace use the one key of `--key-file`, and `--entry` gives the
/// addresses at which entries serve callers.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ReplayArguments {
    /// The file of the trace.
    #[arg(value_name = "TRACE")]
    pub trace: PathBuf,
    /// Writes the report as an HTML page to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Checks only that answers are complete. Without it, targets must be the stand-ins, whose answers are known.
    #[arg(long)]
    pub complete: bool,
}

/// The arguments of `explain`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ExplainArguments {
    /// The name of the call or of the program, as its caller gave it.
    #[arg(value_name = "ID")]
    pub id: String,
    /// Log files with one JSON object a line. Lines that are none are passed over and counted.
    #[arg(value_name = "FILE", required = true)]
    pub files: Vec<PathBuf>,
}

/// Options of a change. Changes use optimistic concurrency: one is accepted only if the version that it starts from is
/// still the newest.
#[derive(Clone, Debug, Default)]
#[derive(Args)]
pub struct ChangeOptions {
    /// The version that the change starts from. By default, `set` takes the version in the file, and other commands
    /// take the version in force when they start.
    #[arg(long, value_name = "VERSION")]
    pub expected: Option<u64>,
    /// What the change is for; kept in the history.
    #[arg(long, value_name = "TEXT", default_value = "")]
    pub summary: String,
}

/// Commands of `config`.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Prints the document as JSON.
    Get {
        /// An older version.
        #[arg(long, value_name = "VERSION")]
        version: Option<u64>,
    },
    /// Replaces the whole document. Change what `get` prints, and set that.
    Set {
        /// The new document as JSON; `-` for standard input.
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// The options of the change.
        #[command(flatten)]
        change: ChangeOptions,
    },
    /// Changes parts of the document, such as { "defaults": { "policy": { "latency_weight": 0.8 } } }.
    Patch {
        /// The change as JSON; `-` for standard input.
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// The options of the change.
        #[command(flatten)]
        change: ChangeOptions,
    },
    /// Lists accepted changes, the newest first.
    History {
        /// The first version to list.
        #[arg(long, value_name = "VERSION")]
        newest: Option<u64>,
        /// The most changes to list.
        #[arg(long, value_name = "COUNT", default_value_t = 20)]
        limit: u32,
    },
    /// Makes a new version with the content of an older one.
    Revert {
        /// The older version.
        #[arg(value_name = "VERSION")]
        to: u64,
        /// Brings callers and operators back as well. Keys that were revoked since then become valid again.
        #[arg(long)]
        with_keys: bool,
        /// The options of the change.
        #[command(flatten)]
        change: ChangeOptions,
    },
    /// Shows which version is in force in each process, and then every change.
    Watch {
        /// Shows the present state and ends.
        #[arg(long, conflicts_with = "until")]
        once: bool,
        /// Ends when this version or a newer one is in force in all processes that report.
        #[arg(long, value_name = "VERSION")]
        until: Option<u64>,
    },
}

/// Commands of `exceptions`.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum ExceptionCommand {
    /// Lists the exceptions with their reasons.
    List,
    /// Adds or replaces an exception.
    Add(ExceptionAddition),
    /// Removes an exception.
    Remove {
        /// The exception's name.
        name: String,
        /// The options of the change.
        #[command(flatten)]
        change: ChangeOptions,
    },
}

/// The arguments of `exceptions add`.
#[derive(Debug)]
#[derive(Args)]
pub struct ExceptionAddition {
    /// The exception's name.
    pub name: String,
    /// The scope of the exception.
    #[command(flatten)]
    pub scope: ScopeOptions,
    /// A value that differs, such as admission.queue_calls=32. Repeatable.
    #[arg(long = "set", value_name = "KEY=VALUE", required = true)]
    pub values: Vec<String>,
    /// Why the exception is needed, for the people who read it later.
    #[arg(long, value_name = "TEXT")]
    pub reason: String,
    /// The hours after which the exception ends; it stays until it is removed if absent.
    #[arg(long, value_name = "HOURS")]
    pub expires_in: Option<u32>,
    /// The options of the change.
    #[command(flatten)]
    pub change: ChangeOptions,
}

/// The scope of an exception; exactly one option must be given.
#[derive(Clone, Debug, Default)]
#[derive(Args)]
#[group(required = true, multiple = false)]
pub struct ScopeOptions {
    /// Programs of one caller.
    #[arg(long, value_name = "NAME")]
    pub caller: Option<String>,
    /// Calls to one model.
    #[arg(long, value_name = "NAME")]
    pub model: Option<String>,
    /// Calls to one plain service.
    #[arg(long, value_name = "NAME")]
    pub service: Option<String>,
    /// Calls that run on one target.
    #[arg(long, value_name = "NAME")]
    pub target: Option<String>,
}

/// Commands of `targets`.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum TargetCommand {
    /// Lists the targets with their state.
    List,
    /// Gives a target no further work. Every given entry is told; calls under way end in the ordinary way.
    Drain {
        /// The target.
        name: String,
    },
}

/// Commands of `programs`.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum ProgramCommand {
    /// Shows a program of any caller.
    Show {
        /// The program, such as p-0007-…
        id: String,
        /// Shows the history as well, which holds what the caller wrote.
        #[arg(long)]
        history: bool,
    },
    /// Cancels a program, its sub-agents' programs and its calls.
    Cancel {
        /// The program.
        id: String,
    },
}

/// Commands of `report`.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum ReportCommand {
    /// Shows how fast service levels are spent, merged over all given entries.
    Burn {
        /// Writes the report as an HTML page to this file.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
}
