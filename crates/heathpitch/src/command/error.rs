//! Failures of commands, their messages and exit codes.

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
    /// The arguments are wrong.
    #[error("{message}{tip}")]
    Usage { message: String, tip: String },
    /// An address is not one.
    #[error("{option}: {text:?} is not ip:port")]
    Address { option: &'static str, text: String },
    /// An option that the command needs is not there.
    #[error("{option} is needed for this command")]
    Missing { option: &'static str },
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read { path: PathBuf, source: io::Error },
    /// The document is wrong.
    #[error("{place}: {source}")]
    Document { place: String, source: ConfigError },
    /// The file does not say which revision it was made from.
    #[error(
        "the file has no `revision` and the store holds revision {0}; start from `heathpitch get`, \
         or give --expect REVISION or --overwrite"
    )]
    NoBase(Revision),
    /// Somebody else stored a change first.
    #[error("not stored: revision {stands} stands, not {expected}; changed meanwhile:{}", list(.changes))]
    Conflict { expected: Revision, stands: Revision, changes: Vec<Change> },
    /// The file was made from a revision that no longer stands.
    #[error("not stored: the file was made from revision {expected}, {stands} stands; they differ in:{}", list(.changes))]
    Outdated { expected: Revision, stands: Revision, changes: Vec<Change> },
    /// Nothing is stored yet.
    #[error("no configuration is stored yet")]
    Empty,
    /// The platform or a node cannot be reached.
    #[error("{what} cannot be reached: {source}")]
    Unreached { what: &'static str, source: RpcError },
    /// It is not known whether the change was stored.
    #[error("not known whether change {id} was stored: {source}; run `heathpitch get` later")]
    Unknown { id: String, source: RpcError },
    /// The revision is not in force everywhere in time.
    #[error("revision {revision} is in force on {current} of {nodes} nodes after {seconds} s")]
    Late { revision: u64, current: usize, nodes: usize, seconds: u64 },
    /// The runtime cannot be started.
    #[error("cannot start: {0}")]
    Runtime(io::Error),
}

impl CommandError {
    /// Wrong arguments, with the nearest command where a word is nearly one.
    pub(crate) fn usage(message: &str, words: &[String]) -> Self {
        let word = words.iter().find(|w| message.contains(w.as_str()));
        let near = word.and_then(|w| nearest(w, COMMANDS));
        let tip = near.map_or(String::new(), |n| format!("\n  tip: did you mean `{n}`?"));
        Self::Usage { message: message.to_owned(), tip }
    }

    /// Exit code of the process.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Runtime(_) => 1,
            Self::NoCommand | Self::Usage { .. } | Self::Address { .. } | Self::Missing { .. } => 2,
            Self::Read { .. } => 2,
            Self::Document { .. } => 3,
            Self::NoBase(_) | Self::Conflict { .. } | Self::Outdated { .. } => 4,
            Self::Empty | Self::Unreached { .. } => 5,
            Self::Unknown { .. } => 6,
            Self::Late { .. } => 7,
        }
    }
}

fn list(changes: &[Change]) -> String {
    changes.iter().map(|c| format!("\n  {c}")).collect()
}
