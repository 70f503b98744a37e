//! The operators' command of ebonyswitch.

use std::process::ExitCode;

fn main() -> ExitCode {
    ebonyctl::main_from_arguments()
}
