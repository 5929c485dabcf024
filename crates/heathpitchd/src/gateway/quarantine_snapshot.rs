//! Requests under which engines ended, as traffic sees them: an immutable snapshot.

use std::collections::{HashMap, HashSet};
use std::fmt;

use heathpitch_core::{EngineEntry, Millis, Name, RequestFingerprint};
use heathpitch_policy::{EngineIncarnation, just_started};
use serde::Serialize;

/// What is known of requests under which engines ended; empty nearly always.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuarantineSnapshot {
    /// How many engines ended under each request.
    pub(crate) counts: HashMap<RequestFingerprint, u32>,
    /// Those that are sent nowhere.
    pub(crate) held: HashMap<RequestFingerprint, HeldBack>,
    /// Engines that have ended.
    pub(crate) ended: HashSet<EngineIncarnation>,
}

impl QuarantineSnapshot {
    /// Why a request is sent nowhere; its print is worked out only if any is.
    pub(crate) fn held_back(
        &self,
        print: impl FnOnce() -> RequestFingerprint,
    ) -> Option<&HeldBack> {
        if self.held.is_empty() {
            return None;
        }
        self.held.get(&print())
    }

    /// Whether a request that an engine cut off, `events` after it began there, is sent to a second one.
    ///
    /// Not if it had just begun, and another engine ended so before: a third one would end in the
    /// call that ended the second, with some fifty streams, where all that a proper request needs is
    /// that its caller comes back.
    pub(crate) fn allows_retry(
        &self,
        events: u32,
        print: impl FnOnce() -> RequestFingerprint,
    ) -> bool {
        !just_started(events) || !self.is_suspect(print)
    }

    /// Whether engines ended under a request; its print is worked out only if any did under one.
    pub(crate) fn is_suspect(&self, print: impl FnOnce() -> RequestFingerprint) -> bool {
        !self.counts.is_empty() && self.counts.contains_key(&print())
    }

    /// The requests that are sent nowhere.
    pub(crate) fn held_rows(&self, now: Millis) -> Vec<HeldRow<'_>> {
        let row = |(print, held): (&RequestFingerprint, &'_ HeldBack)| {
            (*print, held.until.saturating_sub(now))
        };
        let mut rows: Vec<_> = self.held.iter().map(row).collect();
        rows.sort_unstable();
        let row =
            |(print, left_ms)| HeldRow { print, engines: &self.held[&print].engines, left_ms };
        rows.into_iter().map(row).collect()
    }

    /// Whether an engine is known to have ended.
    pub(crate) fn has_ended(&self, engine: &EngineEntry) -> bool {
        !self.ended.is_empty() && self.ended.contains(&incarnation_of(engine))
    }
}

/// A request that is sent nowhere, as operators see it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct HeldRow<'a> {
    print: RequestFingerprint,
    engines: &'a [Name],
    left_ms: Millis,
}

/// The life of an engine that its entry tells of.
pub(crate) fn incarnation_of(engine: &EngineEntry) -> EngineIncarnation {
    EngineIncarnation { engine: engine.id.clone(), born: engine.born }
}

/// A request that is sent nowhere.
#[derive(Clone, Debug)]
pub(crate) struct HeldBack {
    /// Engines that ended under it.
    pub(crate) engines: Vec<Name>,
    /// Until when, if it does not come again.
    pub(crate) until: Millis,
}

impl fmt::Display for HeldBack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("engines ended when they began to run this request:")?;
        self.engines.iter().try_for_each(|engine| write!(f, " {engine}"))
    }
}
