//! Errors of a run.

use std::path::Path;
use std::process::Command;

use heathpitch_standin::StandInError;

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A test process could not be started or signalled.
    #[error(transparent)]
    Node(#[from] StandInError),
    /// The operating system reported an error.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// The node cannot simulate a suspension of its VM, so that the signal for it would end it.
    #[error(
        "expected a node built with the feature `seams` at {binary}, found {found}; build it with \
         `cargo build --release -p heathpitchd --features seams`"
    )]
    Unsuitable {
        /// Path of the node binary.
        binary: String,
        /// What is there.
        found: String,
    },
}

impl SoakError {
    /// Checks that a node can simulate a suspension of its VM.
    pub(crate) fn check_binary(binary: &Path) -> Result<(), Self> {
        let found = match Command::new(binary).arg("--version").output() {
            Ok(output) => String::from_utf8_lossy(&output.stdout).trim().to_owned(),
            Err(e) => e.to_string(),
        };
        match found.contains("(seams)") {
            true => Ok(()),
            false => Err(Self::Unsuitable { binary: binary.display().to_string(), found }),
        }
    }
}
