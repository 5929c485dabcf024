//! Command-line entry point of the node.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use gumdrop::Options;

use heathpitch_core::{ConfigError, GatewaySettings, parse_settings};
use heathpitch_net::Client;
use heathpitch_platform::{HttpEngineControl, HttpStore, PlatformDialect};
use heathpitchd::{Clients, Gateway, Node, StartError, init_logs};
use log::LevelFilter;

/// Exit code for invalid arguments or settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a failed start.
const EXIT_START: u8 = 3;
/// Exit code if draining cut off requests.
const EXIT_REQUESTS_CUT: u8 = 4;

/// Command-line arguments of the node.
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
    /// Runs as a gateway to the engines in the platform's store; the settings are a gateway's.
    #[options(no_short)]
    gateway: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        let seams = if cfg!(feature = "seams") { " (seams)" } else { "" };
        println!("heathpitchd {}{seams}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(&arguments) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_REQUESTS_CUT),
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
    let _logs = init_logs(if arguments.quiet { LevelFilter::Warn } else { LevelFilter::Info })?;
    if arguments.gateway {
        return gateway(&path, arguments.check);
    }
    let settings = read(&path, parse_settings)?;
    if arguments.check {
        println!("{}: valid", path.display());
        return Ok(0);
    }
    let node = Node::spawn(settings)?;
    node.wait();
    Ok(node.drain())
}

/// Runs a gateway against the platform.
fn gateway(path: &Path, check: bool) -> Result<usize, StartError> {
    let settings = read(path, GatewaySettings::parse)?;
    if check {
        println!("{}: valid", path.display());
        return Ok(0);
    }
    let store = HttpStore::new(settings.store).with_response_limit(settings.vm.response_limit());
    let clients = Clients {
        proofs: Arc::new(store.separate()),
        store: Arc::new(store),
        dialect: Arc::new(PlatformDialect),
        engines: Arc::new(HttpEngineControl::new(Client::new())),
    };
    let gateway = Gateway::spawn(settings, clients)?;
    gateway.serve(path)?;
    Ok(gateway.stop())
}

fn read<T>(path: &Path, parse: impl Fn(&str) -> Result<T, ConfigError>) -> Result<T, StartError> {
    let path = path.to_owned();
    match fs::read_to_string(&path) {
        Ok(text) => parse(&text).map_err(|source| StartError::Settings { path, source }),
        Err(source) => Err(StartError::Read { path, source }),
    }
}
