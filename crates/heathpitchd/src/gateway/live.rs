//! Streams that run, as the control thread watches them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use arc_swap::ArcSwap;
use heathpitch_core::{Millis, Name, Path};
use tokio::sync::Notify;

/// Time that a look at a stream's engines and an order to move it take, milliseconds.
const MOVE: Millis = 90;
/// Least silence of a stream that has begun which is looked into, milliseconds: several passes of a
/// loaded path.
const SILENT_LEAST: Millis = 110;
/// Most such silence, milliseconds: one stream in thirty pauses for longer while its engines work.
const SILENT_MOST: Millis = 160;

/// Silence from which a stream's engines are looked at, if callers take pauses up to `pause_ms` well:
/// as long as leaves time to move it.
///
/// Streams pause while prompts are read: at the usual load one in six for 110 ms, one in thirty for
/// 150, and each look asks all engines of a path. At 110 for all, a fleet of 59 nodes made 31 000
/// connections a day only to look at engines that worked; at 150 for all, streams whose callers
/// take 200 ms well were moved too late (0.72 to 0.66 of a day's worth).
fn max_silence(pause_ms: Option<Millis>) -> Millis {
    let most = pause_ms.map_or(SILENT_LEAST, |p| p.saturating_sub(MOVE));
    most.clamp(SILENT_LEAST, SILENT_MOST)
}

/// One attempt of a stream; ends when traffic drops it.
#[derive(Debug)]
pub(crate) struct LiveStream {
    pub(crate) request: Arc<str>,
    pub(crate) service: Name,
    pub(crate) path: ArcSwap<Path>,
    /// Tokens it is likely to hold.
    pub(crate) tokens: f64,
    /// Silence, once it has begun, from which its engines are looked at.
    pub(crate) max_silence: Millis,
    /// When it was given its path.
    pub(crate) routed: AtomicU64,
    /// When something was last heard of it.
    pub(crate) heard: AtomicU64,
    /// Events passed on by this attempt.
    pub(crate) events: AtomicU64,
    abandoned: AtomicBool,
    notify: Notify,
}

impl LiveStream {
    /// An attempt sent at `now`.
    pub(crate) fn new(
        request: Arc<str>,
        service: Name,
        path: Path,
        tokens: f64,
        pause_ms: Option<Millis>,
        now: Millis,
    ) -> Arc<Self> {
        Arc::new(Self {
            request,
            service,
            path: ArcSwap::from_pointee(path),
            tokens,
            max_silence: max_silence(pause_ms),
            routed: AtomicU64::new(now),
            heard: AtomicU64::new(now),
            events: AtomicU64::new(0),
            abandoned: AtomicBool::new(false),
            notify: Notify::new(),
        })
    }

    /// Takes a new path at `now`.
    pub(crate) fn route(&self, path: Path, now: Millis) {
        self.path.store(Arc::new(path));
        self.routed.store(now, Relaxed);
    }

    /// Takes note of events.
    pub(crate) fn record_events(&self, events: u64, now: Millis) {
        self.events.fetch_add(events, Relaxed);
        self.heard.store(now, Relaxed);
    }

    /// Time since something was heard.
    pub(crate) fn silence(&self, now: Millis) -> Millis {
        now.saturating_sub(self.heard.load(Relaxed))
    }

    /// Tells traffic that the first engine is lost.
    pub(crate) fn abandon(&self) {
        self.abandoned.store(true, Relaxed);
        self.notify.notify_waiters();
        self.notify.notify_one();
    }

    /// Takes it back: nothing better than the first engine was found.
    pub(crate) fn cancel_abandon(&self) {
        self.abandoned.store(false, Relaxed);
    }

    /// Waits until the first engine is known to be lost.
    pub(crate) async fn abandonment(&self) {
        while !self.abandoned.load(Relaxed) {
            self.notify.notified().await;
        }
    }
}
