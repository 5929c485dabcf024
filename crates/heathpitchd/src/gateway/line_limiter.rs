//! Bound on the rate of a log line that stands for several occurrences.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

/// Shortest time between two lines.
const LINE_INTERVAL_MS: Millis = 100;

/// Limits a log line to ten a second, and counts the occurrences that each line stands for.
#[derive(Debug, Default)]
pub(crate) struct LineLimiter {
    /// Earliest time of the next line.
    next: AtomicU64,
    /// Occurrences since the last line.
    count: AtomicU64,
}

impl LineLimiter {
    /// Records an occurrence at `now`; returns the number of occurrences since the last line if the next one is due.
    pub(crate) fn record(&self, now: Millis) -> Option<u64> {
        let count = self.count.fetch_add(1, Relaxed) + 1;
        let next = self.next.load(Relaxed);
        let line = now + LINE_INTERVAL_MS;
        if now < next || self.next.compare_exchange(next, line, Relaxed, Relaxed).is_err() {
            return None;
        }
        self.count.fetch_sub(count, Relaxed);
        Some(count)
    }
}
