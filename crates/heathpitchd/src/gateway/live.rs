//! Running streams, shared between the traffic and the control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use arc_swap::ArcSwap;
use heathpitch_core::{Millis, Name, Path};
use tokio::sync::Notify;

/// Time to probe the engines of a stream and to move it to another path.
const REROUTE_MS: Millis = 90;
/// Lower bound of the silence after which the engines of a started stream are probed: several
/// decode steps of a loaded path.
const MIN_SILENCE_MS: Millis = 110;
/// Upper bound of that silence: one stream in thirty pauses for longer on healthy engines.
const MAX_SILENCE_MS: Millis = 160;

/// Silence after which a stream's engines are probed, if callers tolerate pauses of up to
/// `max_pause_ms`: as long as possible while it leaves time to move the stream.
///
/// Streams pause during prefills: under normal load one in six for 110 ms and one in thirty for
/// 150 ms, and each probe contacts all engines of a path. With 110 ms for all streams, a fleet of
/// 59 nodes opened 31 000 connections a day only to probe healthy engines. With 150 ms for all,
/// streams whose callers tolerate 200 ms were moved too late: a day's traffic yielded 0.66 of its
/// value instead of 0.72.
fn max_silence(max_pause_ms: Option<Millis>) -> Millis {
    let silence = max_pause_ms.map_or(MIN_SILENCE_MS, |p| p.saturating_sub(REROUTE_MS));
    silence.clamp(MIN_SILENCE_MS, MAX_SILENCE_MS)
}

/// One attempt of a stream, until the traffic thread drops it.
#[derive(Debug)]
pub(crate) struct LiveStream {
    pub(crate) request: Arc<str>,
    pub(crate) service: Name,
    pub(crate) path: ArcSwap<Path>,
    /// Tokens that it is expected to hold.
    pub(crate) tokens: f64,
    /// Silence after which its engines are probed, once it has started.
    pub(crate) max_silence: Millis,
    /// When it got its current path.
    pub(crate) routed: AtomicU64,
    /// When its last event or its head was received.
    pub(crate) last_received: AtomicU64,
    /// Events relayed by this attempt.
    pub(crate) events: AtomicU64,
    abandoned: AtomicBool,
    notify: Notify,
}

impl LiveStream {
    /// An attempt that is sent at `now`.
    pub(crate) fn new(
        request: Arc<str>,
        service: Name,
        path: Path,
        tokens: f64,
        max_pause_ms: Option<Millis>,
        now: Millis,
    ) -> Arc<Self> {
        Arc::new(Self {
            request,
            service,
            path: ArcSwap::from_pointee(path),
            tokens,
            max_silence: max_silence(max_pause_ms),
            routed: AtomicU64::new(now),
            last_received: AtomicU64::new(now),
            events: AtomicU64::new(0),
            abandoned: AtomicBool::new(false),
            notify: Notify::new(),
        })
    }

    /// Records that the stream was moved to another path.
    pub(crate) fn route(&self, path: Path, now: Millis) {
        self.path.store(Arc::new(path));
        self.routed.store(now, Relaxed);
    }

    /// Records events received, or only that the engine responds if there are none.
    pub(crate) fn record_events(&self, events: u64, now: Millis) {
        self.events.fetch_add(events, Relaxed);
        self.last_received.store(now, Relaxed);
    }

    /// Time since anything was received.
    pub(crate) fn silence(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_received.load(Relaxed))
    }

    /// Notifies the traffic thread that the first engine of the path is lost.
    pub(crate) fn abandon(&self) {
        self.abandoned.store(true, Relaxed);
        self.notify.notify_waiters();
        self.notify.notify_one();
    }

    /// Clears the abandoned state: no other engine took the stream, so it stays with the first one.
    pub(crate) fn cancel_abandon(&self) {
        self.abandoned.store(false, Relaxed);
    }

    /// Waits until the first engine of the path is reported lost.
    pub(crate) async fn abandoned(&self) {
        while !self.abandoned.load(Relaxed) {
            self.notify.notified().await;
        }
    }
}
