//! Running streams, shared between the traffic and the control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use arc_swap::ArcSwap;
use heathpitch_core::{Millis, Name, Path};
use heathpitch_policy::silence_threshold;
use tokio::sync::Notify;

use super::move_progress::MoveProgress;

/// What the callers of a stream expect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTerms {
    /// Priority rank; 0 comes first.
    pub(crate) rank: u8,
    /// Part of the service's recent demand that is more urgent, 0 to 1.
    pub(crate) urgent_share: f64,
    /// Longest acceptable pause between events.
    pub(crate) max_pause_ms: Option<Millis>,
    /// Time by which the first event is expected.
    pub(crate) start_by: Millis,
}

/// One attempt of a stream, until the traffic thread drops it.
#[derive(Debug)]
pub(crate) struct LiveStream {
    pub(crate) request: Arc<str>,
    pub(crate) service: Name,
    pub(crate) path: ArcSwap<Path>,
    /// Tokens that it is expected to hold.
    pub(crate) tokens: f64,
    /// What its callers expect.
    pub(crate) terms: StreamTerms,
    /// Silence after which its engines are probed, once it has started.
    threshold: AtomicU64,
    /// Forecast time to prefill its tokens at a substitute engine; 0 while it is not known.
    prefill_ms: AtomicU64,
    /// When it got its current path.
    pub(crate) routed: AtomicU64,
    /// When its last event or its head was received.
    pub(crate) last_received: AtomicU64,
    /// Events relayed by this attempt.
    pub(crate) events: AtomicU64,
    /// Whether a pause between two events was longer than the maximum.
    overran: AtomicBool,
    /// Its last move.
    pub(crate) progress: Arc<MoveProgress>,
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
        terms: StreamTerms,
        now: Millis,
    ) -> Arc<Self> {
        Arc::new(Self {
            request,
            service,
            path: ArcSwap::from_pointee(path),
            tokens,
            terms,
            threshold: AtomicU64::new(silence_threshold(terms.max_pause_ms, 0.0)),
            prefill_ms: AtomicU64::new(0),
            routed: AtomicU64::new(now),
            last_received: AtomicU64::new(now),
            events: AtomicU64::new(0),
            overran: AtomicBool::new(false),
            progress: Arc::default(),
            abandoned: AtomicBool::new(false),
            notify: Notify::new(),
        })
    }

    /// Records that the stream was moved to another path.
    pub(crate) fn route(&self, path: Path, now: Millis) {
        self.path.store(Arc::new(path));
        self.routed.store(now, Relaxed);
    }

    /// Sets the forecast time to prefill its tokens at a substitute engine, which the silence threshold
    /// depends on.
    pub(crate) fn set_prefill(&self, ms: f64) {
        self.prefill_ms.store(ms.ceil() as Millis, Relaxed);
        self.threshold.store(silence_threshold(self.terms.max_pause_ms, ms), Relaxed);
    }

    /// Silence after which its engines are probed, once it has started.
    pub(crate) fn threshold(&self) -> Millis {
        self.threshold.load(Relaxed)
    }

    /// Forecast time to prefill its tokens at a substitute engine; 0 while it is not known.
    pub(crate) fn prefill_ms(&self) -> Millis {
        self.prefill_ms.load(Relaxed)
    }

    /// Whether this attempt has relayed an event.
    pub(crate) fn has_started(&self) -> bool {
        self.events.load(Relaxed) > 0
    }

    /// Time by which the next event has to arrive.
    pub(crate) fn due(&self) -> Millis {
        match self.terms.max_pause_ms {
            Some(pause) if self.has_started() => self.last_received.load(Relaxed) + pause,
            Some(_) | None => self.terms.start_by,
        }
    }

    /// Whether a pause between events of this attempt is or was longer than the maximum.
    pub(crate) fn is_late(&self, now: Millis) -> bool {
        self.overran.load(Relaxed) || self.overruns(now)
    }

    fn overruns(&self, now: Millis) -> bool {
        self.terms.max_pause_ms.is_some() && self.has_started() && now > self.due()
    }

    /// Records events received, or only that the engine responds if there are none.
    pub(crate) fn record_events(&self, events: u64, now: Millis) {
        if events > 0 && self.overruns(now) {
            self.overran.store(true, Relaxed);
        }
        self.events.fetch_add(events, Relaxed);
        if events > 0 {
            self.progress.resume(now);
        }
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
