//! Time by which a stopping node has answered all its calls.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use heathpitch_core::Millis;
use tokio::sync::watch;

/// The deadline of a planned stop, which calls share.
#[derive(Debug)]
pub(crate) struct StopDeadline {
    /// Time of the node's clock; the largest one while the node is not stopping.
    at: watch::Sender<Millis>,
    cut: AtomicUsize,
}

impl Default for StopDeadline {
    fn default() -> Self {
        Self { at: watch::Sender::new(Millis::MAX), cut: AtomicUsize::new(0) }
    }
}

impl StopDeadline {
    /// Begins a stop in which calls are answered until `at`.
    pub(crate) fn begin(&self, at: Millis) {
        self.at.send_replace(at);
    }

    /// Time until which calls are answered.
    pub(crate) fn at(&self) -> Millis {
        *self.at.borrow()
    }

    /// The same, and its changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Millis> {
        self.at.subscribe()
    }

    /// Records an answer that was begun and is cut off.
    pub(crate) fn record_cut(&self) {
        self.cut.fetch_add(1, Relaxed);
    }

    /// Answers that were cut off.
    pub(crate) fn cut(&self) -> usize {
        self.cut.load(Relaxed)
    }
}
