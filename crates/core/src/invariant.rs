//! Consistency rules, checked in debug builds.
//!
//! Each rule has a name. A violation names its rule, so a randomised run that fails says which
//! promise broke.

use std::fmt;

/// A consistency rule of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// Tokens leave in order, none twice, none missing.
    TokenOrder,
    /// Only the newest attempt emits.
    OneAttempt,
    /// A token ran every layer of the model exactly once.
    LayerCoverage,
    /// `not_run` is said only where nothing ran.
    NotRunTruth,
    /// A request that may not be repeated is dispatched at most once.
    AtMostOnce,
    /// A revision in force never goes down.
    RevisionOrder,
    /// No new work goes to an engine known to leave.
    LeavingEngine,
    /// No engine is ordered to hold more layers than its memory takes.
    LayerMemory,
    /// An open count never falls below zero.
    OpenCount,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Checks a rule in debug builds.
///
/// # Panics
///
/// In debug builds, if `holds` is false; the message names the rule.
#[track_caller]
pub fn check(rule: Invariant, holds: bool) {
    debug_assert!(holds, "invariant violated: {rule}");
}
