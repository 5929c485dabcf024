//! Violation of a checked property.

use std::fmt;

/// Property that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Property {
    /// Every token runs each layer exactly once, in order.
    Layers,
    /// The client gets its own answer, and all of it.
    CompleteResponse,
    /// A request reported as not run did not run.
    NotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A draining VM gets no new requests.
    Draining,
    /// Accepted configuration never reverts.
    Config,
    /// Membership finds live nodes and removes dead ones.
    Membership,
    /// Data of the store relayed between nodes is correct for its age, fresh, and costs few calls.
    Feed,
    /// Internal invariant of the program.
    Invariant,
}

/// Violation of a property, found by a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Property that was violated.
    pub property: Property,
    /// What happened.
    pub detail: String,
}

impl Violation {
    /// Creates a violation of `property`.
    pub fn new(property: Property, detail: impl Into<String>) -> Self {
        Self { property, detail: detail.into() }
    }

    /// Returns an error unless `holds`.
    ///
    /// # Errors
    ///
    /// Returns the violation.
    pub fn unless(
        holds: bool,
        property: Property,
        detail: impl FnOnce() -> String,
    ) -> Result<(), Self> {
        if holds { Ok(()) } else { Err(Self::new(property, detail())) }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.property, self.detail)
    }
}

impl std::error::Error for Violation {}
