//! Errors at the start of a node.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use heathpitch_core::ConfigError;

/// Error at the start of a node.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings file cannot be read.
    #[error("cannot read settings {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// I/O error.
        source: io::Error,
    },
    /// The settings file is invalid.
    #[error("settings {path}: {source}")]
    Settings {
        /// Path of the file.
        path: PathBuf,
        /// Validation error.
        source: ConfigError,
    },
    /// A listener cannot be bound.
    #[error("cannot listen on {address} ({listener}): {source}")]
    Bind {
        /// Settings key of the address.
        listener: &'static str,
        /// Address.
        address: SocketAddr,
        /// I/O error.
        source: io::Error,
    },
    /// A thread or runtime cannot be started.
    #[error("cannot start threads: {0}")]
    Threads(#[from] io::Error),
    /// Logging cannot be initialized.
    #[error(transparent)]
    Log(#[from] crate::LogError),
}
