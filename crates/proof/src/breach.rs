//! A promise that did not hold.

use std::fmt;

/// What the users were promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Promise {
    /// Every layer once per token, in order.
    Layers,
    /// The whole answer, one's own.
    WholeAnswer,
    /// "Not run" is true.
    NotRun,
    /// At most once.
    AtMostOnce,
    /// A leaving VM gets no new work.
    Leaving,
    /// Accepted configuration never reverts.
    Config,
    /// Membership finds the living and forgets the dead.
    Members,
    /// What is told of the store is true at its age, young, and costs few calls.
    Told,
    /// An invariant inside the program.
    Invariant,
}

/// A breach of a promise, as a run found it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which promise.
    pub promise: Promise,
    /// What happened.
    pub detail: String,
}

impl Breach {
    /// A breach of `promise`.
    pub fn new(promise: Promise, detail: impl Into<String>) -> Self {
        Self { promise, detail: detail.into() }
    }

    /// An error unless `holds`.
    ///
    /// # Errors
    ///
    /// The breach.
    pub fn unless(
        holds: bool,
        promise: Promise,
        detail: impl FnOnce() -> String,
    ) -> Result<(), Self> {
        if holds { Ok(()) } else { Err(Self::new(promise, detail())) }
    }
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

impl std::error::Error for Breach {}
