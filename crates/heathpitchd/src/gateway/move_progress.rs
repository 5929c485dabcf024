//! Whether a moved stream has resumed, shared between the traffic and the control thread.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

/// Value of a time that is not set.
const NONE: u64 = u64::MAX;

/// Pause of a stream that is being moved.
#[derive(Debug)]
pub(crate) struct MoveProgress {
    /// Time of the last event before the move, while the stream is moved.
    moved_after: AtomicU64,
    /// Pause of the last move that has ended.
    pause: AtomicU64,
}

impl Default for MoveProgress {
    fn default() -> Self {
        Self { moved_after: AtomicU64::new(NONE), pause: AtomicU64::new(NONE) }
    }
}

impl MoveProgress {
    /// Records that a stream is moved whose last event came at `last_event`.
    pub(crate) fn begin(&self, last_event: Millis) {
        // A stream that is moved again has been silent since before the first move.
        let _ = self.moved_after.compare_exchange(NONE, last_event, Relaxed, Relaxed);
    }

    /// Records that there is nothing to move.
    pub(crate) fn cancel(&self) {
        self.moved_after.store(NONE, Relaxed);
    }

    /// Records an event, which ends the pause of a moved stream.
    pub(crate) fn resume(&self, now: Millis) {
        if self.moved_after.load(Relaxed) == NONE {
            return;
        }
        let after = self.moved_after.swap(NONE, Relaxed);
        self.pause.store(now.saturating_sub(after), Relaxed);
    }

    /// Whether the stream is moved and has not resumed.
    pub(crate) fn is_pending(&self) -> bool {
        self.moved_after.load(Relaxed) != NONE
    }

    /// Takes the pause of a move that has ended.
    pub(crate) fn take_pause(&self) -> Option<Millis> {
        Some(self.pause.swap(NONE, Relaxed)).filter(|pause| *pause != NONE)
    }
}
