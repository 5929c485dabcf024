//! Age of what is held back, as the threads that serve calls see it.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

/// When the control thread last had no change that what is held back lacks.
#[derive(Debug, Default)]
pub(crate) struct VerdictAge {
    confirmed_at: AtomicU64,
}

impl VerdictAge {
    /// Records that what is held back rests on all that this node knew at `now`.
    pub(crate) fn confirm(&self, now: Millis) {
        self.confirmed_at.fetch_max(now, Relaxed);
    }

    /// Time since then.
    pub(crate) fn at(&self, now: Millis) -> Millis {
        now.saturating_sub(self.confirmed_at.load(Relaxed))
    }
}
