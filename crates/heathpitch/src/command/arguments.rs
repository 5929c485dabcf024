//! Arguments of the command line.

use std::path::PathBuf;

use gumdrop::Options;

/// Configures a fleet of heathpitch nodes through the platform's key-value service.
#[derive(Debug, Default, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    pub(crate) help: bool,
    /// Print the version.
    #[options(no_short)]
    pub(crate) version: bool,
    /// Platform endpoints, comma-separated ip:port; default: $HEATHPITCH_PLATFORM.
    #[options(no_short, meta = "ADDRESSES")]
    pub(crate) platform: Option<String>,
    /// Admin address of any node, ip:port; default: $HEATHPITCH_NODE.
    #[options(no_short, meta = "ADDRESS")]
    pub(crate) node: Option<String>,
    /// Output format: text or json.
    #[options(meta = "FORM")]
    pub(crate) output: Option<String>,
    /// Command to run.
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// Commands.
#[derive(Debug, Options)]
pub(crate) enum Command {
    /// check a configuration file without storing it
    Validate(FileArguments),
    /// print the stored configuration with its revision
    Get(NoArguments),
    /// compare a file with the stored configuration
    Diff(FileArguments),
    /// store a configuration file
    Apply(ApplyArguments),
    /// change labels: pool|account NAME KEY=VALUE… KEY-…
    Label(LabelArguments),
    /// change a route setting: NAME KEY VALUE
    Route(RouteArguments),
    /// show nodes, their configuration and upstreams
    Status(NoArguments),
    /// show requests that are held back; --node takes a gateway's metrics address
    Held(NoArguments),
    /// wait until a revision is in force on every reachable node
    Wait(WaitArguments),
    /// drain the node at the --node address
    Drain(NoArguments),
    /// print the digest of an API key read from standard input
    Key(NoArguments),
}

/// Arguments of a command that takes none.
#[derive(Debug, Default, Options)]
pub(crate) struct NoArguments {
    /// Print this help.
    pub(crate) help: bool,
}

/// Arguments of `validate` and `diff`.
#[derive(Debug, Default, Options)]
pub(crate) struct FileArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// Configuration file, JSON.
    #[options(free, required)]
    pub(crate) file: PathBuf,
}

/// Arguments of `apply`.
#[derive(Debug, Default, Options)]
pub(crate) struct ApplyArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// Configuration file, JSON.
    #[options(free, required)]
    pub(crate) file: PathBuf,
    /// Store only if this is the current revision; default: `revision` in the file.
    #[options(no_short, meta = "REVISION")]
    pub(crate) expect: Option<u64>,
    /// Store whatever the current revision is.
    #[options(no_short)]
    pub(crate) overwrite: bool,
    /// Wait until the change is in force on every reachable node.
    pub(crate) wait: bool,
    /// Longest wait, in seconds.
    #[options(default = "30", meta = "SECONDS")]
    pub(crate) timeout: u64,
}

/// Arguments of `label`.
#[derive(Debug, Default, Options)]
pub(crate) struct LabelArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// pool or account
    #[options(free, required)]
    pub(crate) kind: String,
    /// Name of the pool or account.
    #[options(free, required)]
    pub(crate) name: String,
    /// KEY=VALUE to set a label, KEY- to remove it.
    #[options(free)]
    pub(crate) labels: Vec<String>,
}

/// Arguments of `route`.
#[derive(Debug, Default, Options)]
pub(crate) struct RouteArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// Name of the route.
    #[options(free, required)]
    pub(crate) name: String,
    /// Key in `settings` of the route, such as attempts.
    #[options(free, required)]
    pub(crate) key: String,
    /// New value.
    #[options(free, required)]
    pub(crate) value: String,
}

/// Arguments of `wait`.
#[derive(Debug, Default, Options)]
pub(crate) struct WaitArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// Revision to wait for.
    #[options(free, required)]
    pub(crate) revision: u64,
    /// Longest wait, in seconds.
    #[options(default = "30", meta = "SECONDS")]
    pub(crate) timeout: u64,
}

/// Text after the options in the general help.
const NOTES: &str = "
Exit codes: 0 success, 2 invalid arguments, 3 invalid document, 4 revision conflict,
5 platform or node unreachable, 6 unknown whether stored, 7 timed out before in force.

Examples:
  heathpitch --platform 10.0.0.5:7000 get > config.json
  heathpitch --platform 10.0.0.5:7000 --node 10.0.1.1:9090 apply --wait config.json
  heathpitch --platform 10.0.0.5:7000 label pool memphis-a tier=gold
  heathpitch --node 10.0.1.1:9090 --output json status";

/// Help text, if it was requested.
pub(crate) fn help(arguments: &Arguments) -> Option<String> {
    match arguments.command_name() {
        Some(name) if arguments.help_requested() => {
            let usage = Command::command_usage(name).unwrap_or_default();
            Some(format!("Usage: heathpitch [OPTIONS] {name} [OPTIONS]\n\n{usage}"))
        }
        None if arguments.help_requested() => {
            let commands = Command::usage();
            let options = Arguments::usage();
            Some(format!(
                "Usage: heathpitch [OPTIONS] COMMAND\n\n{options}\n\nCommands:\n{commands}\n{NOTES}"
            ))
        }
        _ => None,
    }
}

/// Names of all commands.
pub(crate) const COMMANDS: [&str; 11] = [
    "validate", "get", "diff", "apply", "label", "route", "status", "held", "wait", "drain", "key",
];
