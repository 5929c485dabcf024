//! Snapshot of the quarantine that the traffic thread reads: requests that crash engines.

use std::collections::{HashMap, HashSet};
use std::fmt;

use heathpitch_core::{EngineEntry, Millis, Name, RequestFingerprint};
use heathpitch_policy::{EngineIncarnation, just_started};
use serde::Serialize;

/// Requests that were running on engines that exited; almost always empty.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuarantineSnapshot {
    /// Number of engines that exited while they ran each request.
    pub(crate) counts: HashMap<RequestFingerprint, u32>,
    /// Requests that are not sent to any engine.
    pub(crate) held: HashMap<RequestFingerprint, HeldBack>,
    /// Engines that have exited.
    pub(crate) ended: HashSet<EngineIncarnation>,
}

impl QuarantineSnapshot {
    /// Why a request is held back; its fingerprint is computed only if any request is.
    pub(crate) fn held_back(
        &self,
        fingerprint: impl FnOnce() -> RequestFingerprint,
    ) -> Option<&HeldBack> {
        if self.held.is_empty() {
            return None;
        }
        self.held.get(&fingerprint())
    }

    /// Whether a request whose connection was lost after `events` events may be sent to a second
    /// engine.
    ///
    /// It may not if it had just started and another engine exited under it before: the retry could
    /// take down a third engine, with some fifty streams, within the call that ended the second.
    /// A harmless request only needs its caller to retry.
    pub(crate) fn allows_retry(
        &self,
        events: u32,
        fingerprint: impl FnOnce() -> RequestFingerprint,
    ) -> bool {
        !just_started(events) || !self.is_suspect(fingerprint)
    }

    /// Whether engines exited while they ran a request; its fingerprint is computed only if that
    /// happened with any request.
    pub(crate) fn is_suspect(&self, fingerprint: impl FnOnce() -> RequestFingerprint) -> bool {
        !self.counts.is_empty() && self.counts.contains_key(&fingerprint())
    }

    /// The requests that are held back.
    pub(crate) fn held_rows(&self, now: Millis) -> Vec<HeldRow<'_>> {
        let row = |(fingerprint, held): (&RequestFingerprint, &'_ HeldBack)| {
            (*fingerprint, held.until.saturating_sub(now))
        };
        let mut rows: Vec<_> = self.held.iter().map(row).collect();
        rows.sort_unstable();
        let row = |(fingerprint, left_ms)| HeldRow {
            fingerprint,
            engines: &self.held[&fingerprint].engines,
            left_ms,
        };
        rows.into_iter().map(row).collect()
    }

    /// Whether an engine is known to have exited.
    pub(crate) fn has_ended(&self, engine: &EngineEntry) -> bool {
        !self.ended.is_empty() && self.ended.contains(&incarnation_of(engine))
    }
}

/// A request that is held back, as operators see it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct HeldRow<'a> {
    #[serde(rename = "print")]
    fingerprint: RequestFingerprint,
    engines: &'a [Name],
    left_ms: Millis,
}

/// The incarnation of an engine that its entry describes.
pub(crate) fn incarnation_of(engine: &EngineEntry) -> EngineIncarnation {
    EngineIncarnation { engine: engine.id.clone(), started_at: engine.started_at }
}

/// A request that is not sent to any engine.
#[derive(Clone, Debug)]
pub(crate) struct HeldBack {
    /// Engines that exited while they ran it.
    pub(crate) engines: Vec<Name>,
    /// When it is let through again, unless it is renewed before.
    pub(crate) until: Millis,
}

impl fmt::Display for HeldBack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("engines exited shortly after they started this request:")?;
        self.engines.iter().try_for_each(|engine| write!(f, " {engine}"))
    }
}
