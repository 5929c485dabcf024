//! The node's binary.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gumdrop::Options;
use heathpitch_core::{Settings, parse_settings};
use heathpitchd::{Node, StartError, init_logs};
use log::LevelFilter;

/// Exit code for wrong arguments or settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a node that could not start.
const EXIT_START: u8 = 3;
/// Exit code for a node that cut off requests while draining.
const EXIT_CUT: u8 = 4;

/// Arguments of the node.
#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Prints the version.
    #[options(no_short)]
    version: bool,
    /// Settings file, JSON.
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    /// Checks the settings and ends.
    check: bool,
    /// Logs only warnings.
    quiet: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("heathpitchd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(&arguments) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CUT),
        Err(e @ (StartError::Read { .. } | StartError::Settings { .. })) => {
            eprintln!("heathpitchd: {e}");
            ExitCode::from(EXIT_SETTINGS)
        }
        Err(e) => {
            eprintln!("heathpitchd: {e}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn run(arguments: &Arguments) -> Result<usize, StartError> {
    let path = arguments.settings.clone().unwrap_or_else(|| PathBuf::from("node.json"));
    let settings = read(&path)?;
    if arguments.check {
        println!("{}: valid", path.display());
        return Ok(0);
    }
    init_logs(if arguments.quiet { LevelFilter::Warn } else { LevelFilter::Info })?;
    let node = Node::spawn(settings)?;
    node.wait();
    Ok(node.drain())
}

fn read(path: &Path) -> Result<Settings, StartError> {
    let path = path.to_owned();
    match fs::read_to_string(&path) {
        Ok(text) => parse_settings(&text).map_err(|source| StartError::Settings { path, source }),
        Err(source) => Err(StartError::Read { path, source }),
    }
}
