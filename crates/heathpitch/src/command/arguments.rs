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
    /// Platform endpoints, ip:port with commas between; else $HEATHPITCH_PLATFORM.
    #[options(no_short, meta = "ADDRESSES")]
    pub(crate) platform: Option<String>,
    /// Admin address of any node, ip:port; else $HEATHPITCH_NODE.
    #[options(no_short, meta = "ADDRESS")]
    pub(crate) node: Option<String>,
    /// Output: text or json.
    #[options(meta = "FORM")]
    pub(crate) output: Option<String>,
    /// The command.
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// A command.
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
    /// change a setting of a route: NAME KEY VALUE
    Route(RouteArguments),
    /// show nodes, their configuration and upstreams
    Status(NoArguments),
    /// show requests that are held back: --node is a gateway's metrics address
    Held(NoArguments),
    /// wait until a revision is in force on every reachable node
    Wait(WaitArguments),
    /// drain the node whose admin address is given with --node
    Drain(NoArguments),
    /// print the digest of an API key read from standard input
    Key(NoArguments),
}

/// No arguments.
#[derive(Debug, Default, Options)]
pub(crate) struct NoArguments {
    /// Print this help.
    pub(crate) help: bool,
}

/// A file.
#[derive(Debug, Default, Options)]
pub(crate) struct FileArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// Configuration file, JSON.
    #[options(free, required)]
    pub(crate) file: PathBuf,
}

/// A file and how to store it.
#[derive(Debug, Default, Options)]
pub(crate) struct ApplyArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// Configuration file, JSON.
    #[options(free, required)]
    pub(crate) file: PathBuf,
    /// Store over this revision only; else the file's own `revision`.
    #[options(no_short, meta = "REVISION")]
    pub(crate) expect: Option<u64>,
    /// Store over whatever stands.
    #[options(no_short)]
    pub(crate) overwrite: bool,
    /// Wait until it is in force on every reachable node.
    pub(crate) wait: bool,
    /// Longest wait, seconds.
    #[options(default = "30", meta = "SECONDS")]
    pub(crate) timeout: u64,
}

/// What to label.
#[derive(Debug, Default, Options)]
pub(crate) struct LabelArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// pool or account
    #[options(free, required)]
    pub(crate) kind: String,
    /// Name of it.
    #[options(free, required)]
    pub(crate) name: String,
    /// KEY=VALUE to set a label, KEY- to take it away.
    #[options(free)]
    pub(crate) labels: Vec<String>,
}

/// Which setting to change.
#[derive(Debug, Default, Options)]
pub(crate) struct RouteArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// Name of the route.
    #[options(free, required)]
    pub(crate) name: String,
    /// Key below `settings`, such as attempts.
    #[options(free, required)]
    pub(crate) key: String,
    /// New value.
    #[options(free, required)]
    pub(crate) value: String,
}

/// What to wait for.
#[derive(Debug, Default, Options)]
pub(crate) struct WaitArguments {
    /// Print this help.
    pub(crate) help: bool,
    /// Revision.
    #[options(free, required)]
    pub(crate) revision: u64,
    /// Longest wait, seconds.
    #[options(default = "30", meta = "SECONDS")]
    pub(crate) timeout: u64,
}

/// What follows the options in the general help.
const NOTES: &str = "
Exit codes: 0 done, 2 wrong arguments, 3 wrong document, 4 somebody else changed it,
5 platform or node not reached, 6 not known whether it was stored, 7 not in force in time.

Examples:
  heathpitch --platform 10.0.0.5:7000 get > config.json
  heathpitch --platform 10.0.0.5:7000 --node 10.0.1.1:9090 apply --wait config.json
  heathpitch --platform 10.0.0.5:7000 label pool memphis-a tier=gold
  heathpitch --node 10.0.1.1:9090 --output json status";

/// Help that was asked for, if any.
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
