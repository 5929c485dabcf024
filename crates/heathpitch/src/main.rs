//! The operator's command line.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::main()
}
