//! Snapshot of the quarantine that the traffic thread reads: requests that crash engines.

use std::collections::{HashMap, HashSet};
use std::fmt;

use heathpitch_core::{EngineEntry, Millis, Name, RequestFingerprint};
use heathpitch_policy::{EngineIncarnation, HeldPart, PartKey, just_started};
use serde::Serialize;

use super::part_snapshot::PartSnapshot;

/// Requests that were running on engines that exited; almost always empty.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuarantineSnapshot {
    /// Number of engines that exited while they ran each request.
    pub(crate) counts: HashMap<RequestFingerprint, u32>,
    /// Requests that are not sent to any engine.
    pub(crate) held: HashMap<RequestFingerprint, HeldBack>,
    /// Engines that have exited.
    pub(crate) ended: HashSet<EngineIncarnation>,
    /// Parts of prompts under which engines exited.
    pub(crate) parts: PartSnapshot,
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
    /// A harmless request only needs its caller to retry. The same holds for parts of its prompt.
    pub(crate) fn allows_retry(
        &self,
        events: u32,
        parts: &[PartKey],
        fingerprint: impl FnOnce() -> RequestFingerprint,
    ) -> bool {
        let is_suspected = |key| self.parts.suspected.contains(key);
        !just_started(events) || !(self.is_suspect(fingerprint) || parts.iter().any(is_suspected))
    }

    /// Whether engines exited while they ran a request; its fingerprint is computed only if that
    /// happened with any request.
    pub(crate) fn is_suspect(&self, fingerprint: impl FnOnce() -> RequestFingerprint) -> bool {
        !self.counts.is_empty() && self.counts.contains_key(&fingerprint())
    }

    /// What is held back.
    pub(crate) fn held_rows(&self, now: Millis) -> Vec<HeldRow> {
        let row = |kind, print: String, held: &'_ HeldBack| HeldRow {
            print,
            kind,
            engines: held.engines.clone(),
            left_ms: held.until.saturating_sub(now),
        };
        let requests =
            self.held.iter().map(|(print, held)| row(HeldKind::Request, print.to_string(), held));
        let parts = self.parts.held.iter().map(|(HeldPart { part, account, .. }, held)| {
            let kind = if account.is_some() { HeldKind::AccountPart } else { HeldKind::Part };
            row(kind, part.to_string(), held)
        });
        let mut rows: Vec<_> = requests.chain(parts).collect();
        rows.sort_unstable_by(|a, b| (a.kind, &a.print).cmp(&(b.kind, &b.print)));
        rows
    }

    /// Whether an engine is known to have exited.
    pub(crate) fn has_ended(&self, engine: &EngineEntry) -> bool {
        !self.ended.is_empty() && self.ended.contains(&incarnation_of(engine))
    }
}

/// What is held back, as operators see it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct HeldRow {
    print: String,
    kind: HeldKind,
    engines: Vec<Name>,
    left_ms: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum HeldKind {
    /// A request.
    Request,
    /// Requests of one client account with a part in their prompts.
    AccountPart,
    /// All requests with a part in their prompts.
    Part,
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

impl HeldBack {
    /// The engines, each after a space.
    pub(crate) fn engine_list(&self) -> String {
        self.engines.iter().map(|engine| format!(" {engine}")).collect()
    }
}

impl fmt::Display for HeldBack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "engines exited shortly after they started this request:{}", self.engine_list())
    }
}
