//! Attempts of this node to prove its configuration, as the threads that serve calls see them.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

/// Own attempts to prove the configuration since the store last answered one.
#[derive(Debug, Default)]
pub(crate) struct ConfigProofs {
    /// Number of them.
    attempts: AtomicU64,
    /// When the last one was sent.
    sent: AtomicU64,
}

impl ConfigProofs {
    /// Records that an attempt is sent at `now`.
    pub(crate) fn attempt_sent(&self, now: Millis) {
        self.attempts.fetch_add(1, Relaxed);
        self.sent.store(now, Relaxed);
    }

    /// Records that the store answered an attempt.
    pub(crate) fn attempt_answered(&self) {
        self.attempts.store(0, Relaxed);
    }

    /// Number of attempts since the store last answered one.
    pub(crate) fn attempts(&self) -> u64 {
        self.attempts.load(Relaxed)
    }

    /// Time at `now` since the last attempt was sent, if there is one without an answer.
    pub(crate) fn attempt_age(&self, now: Millis) -> Option<Millis> {
        (self.attempts() > 0).then(|| now.saturating_sub(self.sent.load(Relaxed)))
    }
}
