//! The command-line tool for operators of ebonyswitch.

use std::process::ExitCode;

fn main() -> ExitCode {
    ebonyctl::main_from_arguments()
}
