//! Why a node did not start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use heathpitch_core::ConfigError;

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings file cannot be read.
    #[error("cannot read settings {path}: {source}")]
    Read {
        /// File.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The settings file is wrong.
    #[error("settings {path}: {source}")]
    Settings {
        /// File.
        path: PathBuf,
        /// What is wrong.
        source: ConfigError,
    },
    /// A listener cannot be bound.
    #[error("cannot listen on {address} ({listener}): {source}")]
    Bind {
        /// Key of the address in the settings.
        listener: &'static str,
        /// Address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A thread or runtime cannot be started.
    #[error("cannot start threads: {0}")]
    Threads(#[from] io::Error),
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] crate::LogError),
}
