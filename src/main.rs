//! The `ebonyswitch` daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    ebonyswitch::main_from_arguments()
}
