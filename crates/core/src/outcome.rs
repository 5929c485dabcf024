//! What became of a request, and the evidence behind the claim.

use std::fmt;

use serde::Serialize;

/// What the router tells a caller about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Ran; the answer is whole.
    Done,
    /// No part of it ran.
    NotRun,
    /// Ran, but the answer is not whole.
    Failed,
    /// May have run.
    Unknown,
}

impl Outcome {
    /// The word used on the wire.
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
/// Built only by [`Evidence::not_run`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

/// What is known about a request's attempts, kept from its first to its last.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{Evidence, Outcome};
///
/// let mut seen = Evidence::new();
/// assert!(seen.not_run().is_some());
/// seen.sent();
/// assert_eq!(seen.outcome(), Outcome::Unknown);
/// seen.refused();
/// assert!(seen.not_run().is_some());
/// seen.sent();
/// seen.started();
/// seen.refused();
/// assert_eq!(seen.outcome(), Outcome::Failed);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    open: bool,
    doubt: bool,
    ran: bool,
}

/// # Recording
impl Evidence {
    /// No attempt made yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A byte of an attempt may leave this process.
    pub fn sent(&mut self) {
        self.doubt |= self.open;
        self.open = true;
    }

    /// The upstream of the open attempt stated that it did not start.
    pub fn refused(&mut self) {
        self.open = false;
    }

    /// The connection of the open attempt was never made.
    pub fn unsent(&mut self) {
        self.open = false;
    }

    /// The open attempt ended without a statement either way.
    pub fn lost(&mut self) {
        self.doubt |= self.open;
        self.open = false;
    }

    /// The open attempt was seen to run.
    pub fn started(&mut self) {
        self.ran = true;
    }
}

/// # Conclusions
impl Evidence {
    /// Proof that nothing ran, where there is one.
    pub fn not_run(&self) -> Option<NotRun> {
        match self {
            Evidence { open: false, doubt: false, ran: false } => Some(NotRun(())),
            _ => None,
        }
    }

    /// What can be said of a request that ends without a whole answer.
    pub fn outcome(&self) -> Outcome {
        match self.not_run() {
            Some(NotRun(())) => Outcome::NotRun,
            None if self.ran => Outcome::Failed,
            None => Outcome::Unknown,
        }
    }
}
