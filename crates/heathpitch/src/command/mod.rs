//! Commands: arguments, dispatch and exit codes.

mod apply;
mod arguments;
mod edit;
mod error;
mod fleet;
mod output;
mod read;
mod store;

use std::process::ExitCode;

use gumdrop::Options;
use tokio::runtime::Builder;

use arguments::{Arguments, Command};
use error::CommandError;

/// Runs the command line.
pub(crate) fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&args) {
        Ok(arguments) => arguments,
        Err(e) => return fail(&CommandError::usage(&e.to_string(), &args)),
    };
    if arguments.version {
        println!("heathpitch {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(help) = arguments::help(&arguments) {
        println!("{help}");
        return ExitCode::SUCCESS;
    }
    let result = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)
        .and_then(|runtime| runtime.block_on(run(&arguments)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let Some(command) = &arguments.command else { return Err(CommandError::NoCommand) };
    match command {
        Command::Validate(c) => read::validate(arguments, c),
        Command::Get(_) => read::get(arguments).await,
        Command::Diff(c) => read::diff(arguments, c).await,
        Command::Apply(c) => apply::apply(arguments, c).await,
        Command::Label(c) => edit::label(arguments, c).await,
        Command::Route(c) => edit::route(arguments, c).await,
        Command::Status(c) => fleet::status(arguments, c).await,
        Command::Held(c) => fleet::held(arguments, c).await,
        Command::Wait(c) => fleet::wait(arguments, c).await,
        Command::Drain(c) => fleet::drain(arguments, c).await,
        Command::Key(c) => read::key(arguments, c),
    }
}

fn fail(error: &CommandError) -> ExitCode {
    eprintln!("heathpitch: {error}");
    ExitCode::from(error.exit_code())
}
