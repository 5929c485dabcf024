//! Invariants, checked in debug builds.
//!
//! Each invariant has a name that is part of the panic message, so a failed randomized run shows
//! which one was violated.

use std::fmt;

/// An invariant of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// Tokens are sent to the caller in order, without duplicates or gaps.
    TokenOrder,
    /// Only the newest attempt of a request emits tokens.
    OneAttempt,
    /// Each token passes through every layer of the model exactly once.
    LayerCoverage,
    /// The outcome `not_run` is reported only if no part of the request ran.
    NotRunTruth,
    /// A non-retryable request is dispatched at most once.
    AtMostOnce,
    /// The revision in force never decreases.
    RevisionOrder,
    /// No new request is sent to an engine known to be leaving.
    LeavingEngine,
    /// No engine is ordered to load more layers than fit into its memory.
    LayerMemory,
    /// A count of open requests never drops below zero.
    OpenCount,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Checks an invariant in debug builds.
///
/// # Panics
///
/// In debug builds, if `holds` is false; the message names the invariant.
#[track_caller]
pub fn check(invariant: Invariant, holds: bool) {
    debug_assert!(holds, "invariant violated: {invariant}");
}
