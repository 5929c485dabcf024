//! Counts of one upstream that traffic threads share without a lock.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};

use heathpitch_core::{Invariant, Millis, check};

/// Time for which a failure keeps new work away, milliseconds.
const SUSPECT_MS: Millis = 3_000;

/// This node's own open requests on an upstream, and the doubt it is under.
///
/// Soft state: a stale value costs speed, never a promise.
#[derive(Debug, Default)]
pub struct Gauge {
    open: AtomicU32,
    doubted: AtomicU64,
}

impl Gauge {
    /// Counts a request opened.
    pub fn open(&self) {
        self.open.fetch_add(1, Relaxed);
    }

    /// Counts a request closed.
    pub fn close(&self) {
        let before = self.open.fetch_sub(1, Relaxed);
        check(Invariant::OpenCount, before > 0);
    }

    /// Requests open now.
    pub fn count(&self) -> u32 {
        self.open.load(Relaxed)
    }

    /// Keeps new work away until `until`.
    pub fn doubt(&self, until: Millis) {
        self.doubted.fetch_max(until, Relaxed);
    }

    /// Takes note of a failure at `now`: new work is kept away for three seconds.
    pub fn fail(&self, now: Millis) {
        self.doubt(now + SUSPECT_MS);
    }

    /// Lifts the doubt.
    pub fn trust(&self) {
        self.doubted.store(0, Relaxed);
    }

    /// Whether new work is kept away at `now`.
    pub fn doubted(&self, now: Millis) -> bool {
        self.doubted.load(Relaxed) > now
    }
}
