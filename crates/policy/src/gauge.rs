//! Open requests and suspicion of one upstream, shared between traffic threads without a lock.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};

use heathpitch_core::{Invariant, Millis, check};

/// Time for which a failed upstream gets no new requests, milliseconds.
const SUSPECT_MS: Millis = 3_000;

/// This node's open requests on an upstream, and whether the upstream is suspected to have failed.
///
/// Soft state: a stale value affects performance, never correctness.
#[derive(Debug, Default)]
pub struct Gauge {
    open: AtomicU32,
    suspect: AtomicU64,
}

impl Gauge {
    /// Counts a request as opened.
    pub fn open(&self) {
        self.open.fetch_add(1, Relaxed);
    }

    /// Counts a request as closed.
    pub fn close(&self) {
        let before = self.open.fetch_sub(1, Relaxed);
        check(Invariant::OpenCount, before > 0);
    }

    /// Number of open requests.
    pub fn count(&self) -> u32 {
        self.open.load(Relaxed)
    }

    /// Sends no new requests until `until`.
    pub fn suspect_until(&self, until: Millis) {
        self.suspect.fetch_max(until, Relaxed);
    }

    /// Records a failure at `now`, which stops new requests for three seconds.
    pub fn record_failure(&self, now: Millis) {
        self.suspect_until(now + SUSPECT_MS);
    }

    /// Allows new requests again.
    pub fn clear_suspicion(&self) {
        self.suspect.store(0, Relaxed);
    }

    /// Whether the upstream gets no new requests at `now`.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.suspect.load(Relaxed) > now
    }
}
