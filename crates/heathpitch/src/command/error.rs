//! Errors of commands with their messages and exit codes.

use std::io;
use std::path::PathBuf;

use heathpitch_core::{Change, ConfigError, Revision, nearest};
use heathpitch_net::RpcError;

use super::arguments::COMMANDS;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// No command was given.
    #[error("no command; `heathpitch --help` lists them")]
    NoCommand,
    /// The arguments are invalid.
    #[error("{message}{hint}")]
    Usage { message: String, hint: String },
    /// An address is not of the form ip:port.
    #[error("{option}: {text:?} is not ip:port")]
    InvalidAddress { option: &'static str, text: String },
    /// A required option is missing.
    #[error("{option} is required for this command")]
    MissingOption { option: &'static str },
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    ReadFile { path: PathBuf, source: io::Error },
    /// The document is invalid.
    #[error("{location}: {source}")]
    InvalidDocument { location: String, source: ConfigError },
    /// The file does not name the revision that it is based on.
    #[error(
        "the file has no `revision` and the store holds revision {0}; start from `heathpitch get`, \
         or give --expect REVISION or --overwrite"
    )]
    MissingRevision(Revision),
    /// Another change was stored in the meantime.
    #[error("not stored: expected revision {expected}, but the current one is {current}; changes since:{}", format_list(.changes))]
    Conflict { expected: Revision, current: Revision, changes: Vec<Change> },
    /// The file is based on a revision that is no longer current.
    #[error("not stored: the file is based on revision {expected}, but the current one is {current}; differences:{}", format_list(.changes))]
    StaleRevision { expected: Revision, current: Revision, changes: Vec<Change> },
    /// Nothing is stored yet.
    #[error("no configuration is stored yet")]
    Empty,
    /// The platform or a node cannot be reached.
    #[error("cannot reach {what}: {source}")]
    Unreachable { what: &'static str, source: RpcError },
    /// It is not known whether the change was stored.
    #[error("unknown whether change {id} was stored: {source}; check later with `heathpitch get`")]
    UnknownOutcome { id: String, source: RpcError },
    /// The revision was not in force on all nodes in time.
    #[error(
        "timed out after {seconds} s: revision {revision} is in force on {current} of {nodes} nodes"
    )]
    Timeout { revision: u64, current: usize, nodes: usize, seconds: u64 },
    /// The async runtime cannot be started.
    #[error("cannot start the async runtime: {0}")]
    Runtime(io::Error),
}

impl CommandError {
    /// Invalid arguments, with a hint if one of them resembles a command.
    pub(crate) fn usage(message: &str, args: &[String]) -> Self {
        let arg = args.iter().find(|a| message.contains(a.as_str()));
        let similar = arg.and_then(|a| nearest(a, COMMANDS));
        let hint = similar.map_or(String::new(), |n| format!("\n  tip: did you mean `{n}`?"));
        Self::Usage { message: message.to_owned(), hint }
    }

    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Runtime(_) => 1,
            Self::NoCommand
            | Self::Usage { .. }
            | Self::InvalidAddress { .. }
            | Self::MissingOption { .. } => 2,
            Self::ReadFile { .. } => 2,
            Self::InvalidDocument { .. } => 3,
            Self::MissingRevision(_) | Self::Conflict { .. } | Self::StaleRevision { .. } => 4,
            Self::Empty | Self::Unreachable { .. } => 5,
            Self::UnknownOutcome { .. } => 6,
            Self::Timeout { .. } => 7,
        }
    }
}

fn format_list(changes: &[Change]) -> String {
    changes.iter().map(|c| format!("\n  {c}")).collect()
}
