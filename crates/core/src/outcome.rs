//! The outcome of a request and the evidence that it is derived from.

use std::fmt;

use serde::Serialize;

/// The outcome of a request as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Ran; the response is complete.
    Done,
    /// No part of it ran.
    NotRun,
    /// Ran, but the response is incomplete.
    Failed,
    /// May have run.
    Unknown,
}

impl Outcome {
    /// The name used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not_run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Proof that no part of a request ran.
///
/// Only [`Evidence::not_run`] creates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

/// What is known about a request's attempts so far.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{Evidence, Outcome};
///
/// let mut evidence = Evidence::new();
/// assert!(evidence.not_run().is_some());
/// evidence.sent();
/// assert_eq!(evidence.outcome(), Outcome::Unknown);
/// evidence.refused();
/// assert!(evidence.not_run().is_some());
/// evidence.sent();
/// evidence.started();
/// evidence.refused();
/// assert_eq!(evidence.outcome(), Outcome::Failed);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    open: bool,
    uncertain: bool,
    ran: bool,
}

/// # Recording
impl Evidence {
    /// Evidence of a request without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens an attempt, before any byte of it can leave this process.
    ///
    /// An attempt that is still open counts as one that may have run.
    pub fn sent(&mut self) {
        self.uncertain |= self.open;
        self.open = true;
    }

    /// Closes the open attempt: the upstream stated that it did not start.
    pub fn refused(&mut self) {
        self.open = false;
    }

    /// Closes the open attempt: its connection was never established.
    pub fn unsent(&mut self) {
        self.open = false;
    }

    /// Closes the open attempt: it ended without a sign of whether it ran.
    pub fn lost(&mut self) {
        self.uncertain |= self.open;
        self.open = false;
    }

    /// Records that the open attempt ran.
    pub fn started(&mut self) {
        self.ran = true;
    }
}

/// # Conclusions
impl Evidence {
    /// Proof that nothing ran, if the evidence allows it.
    pub fn not_run(&self) -> Option<NotRun> {
        match self {
            Evidence { open: false, uncertain: false, ran: false } => Some(NotRun(())),
            _ => None,
        }
    }

    /// The outcome of a request that ends without a complete response.
    pub fn outcome(&self) -> Outcome {
        match self.not_run() {
            Some(NotRun(())) => Outcome::NotRun,
            None if self.ran => Outcome::Failed,
            None => Outcome::Unknown,
        }
    }
}
