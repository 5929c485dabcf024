//! Backpressure of one engine on this node: a pause, a drain, or a rate limit that covers all
//! nodes.
//!
//! This is the one place that decides whether a request that takes a slot may be sent to an engine:
//! calls, retries, resumed streams and probes. A signal applies as soon as the head of the response
//! that carries it is read, whichever call it came on, and outlives that call.
//!
//! A pause applies to this node only: shared with all nodes, it would leave slots unused. After a
//! pause one request is admitted at first. Each response then admits one more, up to half of the
//! requests that were open when the engine rejected one, and from there one more a round trip (slow
//! start), so that neither this node's clients nor all nodes return at the same moment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

use crate::{EngineLimit, Right};

/// Largest random extension of a pause, as a fraction of it, so that nodes rejected together do not
/// return together.
const JITTER: f64 = 0.1;
/// One request, in the fixed-point unit of the window.
const ONE: u32 = 256;
/// Time after a pause for which the window stays in force, milliseconds. It spans several pauses of
/// the usual length, so that a lasting overload is not probed from scratch after each.
const WINDOW_TTL_MS: Millis = 10_000;

/// Backpressure of one engine; shared between threads without a lock.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use heathpitch_policy::Backpressure;
///
/// let backpressure = Arc::new(Backpressure::default());
/// backpressure.pause(3_000, 0.0, 10);
/// assert_eq!(backpressure.pause_left(1_010), Some(2_000));
/// assert!(backpressure.admit(None, 3_009).is_none());
/// let first = backpressure.admit(None, 3_010);
/// assert!(first.is_some() && backpressure.admit(None, 3_010).is_none(), "one request at first");
/// ```
#[derive(Debug, Default)]
pub struct Backpressure {
    /// End of the pause; 0 if there was none, or its window has expired.
    until: AtomicU64,
    /// Requests without a response.
    open: AtomicU32,
    /// Requests that may be open after the pause.
    window: AtomicU32,
    /// Window up to which growth is exponential.
    threshold: AtomicU32,
    draining: AtomicBool,
    limit: EngineLimit,
}

/// # Signals
impl Backpressure {
    /// Pauses the engine for `time` from `now`; `draw`, from 0 to 1, adds jitter to the end.
    ///
    /// The latest end applies: a later response that asks for a shorter pause does not shorten it.
    pub fn pause(&self, time: Millis, draw: f64, now: Millis) {
        let jitter = (time as f64 * JITTER * draw.clamp(0.0, 1.0)) as Millis;
        let open = self.open.load(Relaxed);
        if self.pause_left(now).is_none() {
            self.threshold.store(open * ONE / 2, Relaxed);
        }
        self.window.store(ONE, Relaxed);
        self.until.fetch_max(now.saturating_add(time).saturating_add(jitter).max(1), Relaxed);
    }

    /// Marks the engine as draining; returns whether that is new.
    pub fn start_drain(&self) -> bool {
        !self.draining.swap(true, Relaxed)
    }

    /// Marks the engine as no longer draining.
    pub fn cancel_drain(&self) {
        self.draining.store(false, Relaxed);
    }

    /// Records a successful response to a request sent after the pause, and grows the window.
    pub fn record_success(&self, now: Millis) {
        let until = self.until.load(Relaxed);
        if until == 0 || now < until {
            return;
        }
        let window = self.window.load(Relaxed).max(ONE);
        let more = if window < self.threshold.load(Relaxed) { ONE } else { ONE * ONE / window };
        self.window.store(window + more, Relaxed);
        if now >= until + WINDOW_TTL_MS {
            // A pause set by another thread in the meantime stays.
            let _ = self.until.compare_exchange(until, 0, Relaxed, Relaxed);
        }
    }
}

/// # Reading
impl Backpressure {
    /// Remaining pause at `now`, if the engine is paused.
    pub fn pause_left(&self, now: Millis) -> Option<Millis> {
        self.until.load(Relaxed).checked_sub(now).filter(|left| *left > 0)
    }

    /// Rate limit of the engine over all nodes.
    pub fn limit(&self) -> &EngineLimit {
        &self.limit
    }

    /// Whether the engine is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Relaxed)
    }

    /// Whether a request may be sent at `now`, provided that it has a right or obtains one.
    pub fn admits(&self, now: Millis) -> bool {
        !self.is_draining() && self.has_capacity(now) && self.limit.wait_left(now).is_none()
    }

    /// Whether one more request fits: the engine is not paused, and the window is not full.
    fn has_capacity(&self, now: Millis) -> bool {
        let until = self.until.load(Relaxed);
        let fits = || self.open.load(Relaxed) * ONE < self.window.load(Relaxed);
        until == 0 || (now >= until && fits())
    }

    /// Whether this state must be kept although the engine is no longer listed.
    pub fn is_active(&self, now: Millis) -> bool {
        self.is_draining() || self.pause_left(now).is_some()
    }

    /// Admits a request about to be sent at `now`, and counts it as open until the returned guard
    /// is dropped. An engine with a rate limit admits only a request with a right.
    pub fn admit(self: &Arc<Self>, right: Option<&mut Right>, now: Millis) -> Option<Admission> {
        (!self.is_draining()).then(|| self.admit_probe(right, now)).flatten()
    }

    /// Admits a probe, which a draining engine may receive too.
    pub fn admit_probe(
        self: &Arc<Self>,
        right: Option<&mut Right>,
        now: Millis,
    ) -> Option<Admission> {
        (self.has_capacity(now) && self.passes(right, now)).then(|| self.count(now))
    }

    /// Admits a request at `now` that reaches the engine as a later stage of its path.
    pub fn pass(self: &Arc<Self>, right: Option<&mut Right>, now: Millis) -> bool {
        let passes = !self.is_draining() && self.passes(right, now);
        if passes {
            self.limit.sent(now);
        }
        passes
    }

    fn passes(self: &Arc<Self>, right: Option<&mut Right>, now: Millis) -> bool {
        // An unneeded right is returned to the stock when it is dropped.
        self.limit.rate().is_none() || right.is_some_and(|r| r.spend(self, now))
    }

    fn count(self: &Arc<Self>, now: Millis) -> Admission {
        self.limit.sent(now);
        self.open.fetch_add(1, Relaxed);
        Admission(self.clone())
    }
}

/// Guard of a request that the engine has not responded to.
#[derive(Debug)]
pub struct Admission(Arc<Backpressure>);

impl Drop for Admission {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Relaxed);
    }
}
