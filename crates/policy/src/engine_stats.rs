//! Load and latency of one engine, from this node's requests and the engine's reports.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

use crate::{Backpressure, Gauge, HeldForecast, Occupancy, Trend};

/// Time for which a load reported by an engine is valid, milliseconds.
const LOAD_TTL_MS: Millis = 1_000;
/// Weight of the newest sample in the moving average, in eighths.
const GAIN_EIGHTHS: u64 = 2;
/// Age at which the moving average has decayed to nothing, milliseconds.
const MEAN_TTL_MS: Millis = 2_500;
/// Time for which an engine's report is valid, milliseconds: two poll intervals plus the delay of
/// the report itself.
pub(crate) const REPORT_TTL_MS: Millis = 2_500;
/// Range that a reported slowdown is clamped to.
const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 1.0..=50.0;
/// Fixed-point scale of a stored slowdown.
const SLOWDOWN_SCALE: f64 = 1e3;
/// Expected wait added by each waiting request of this node, milliseconds: about one forward pass.
const WAIT_PER_REQUEST_MS: f64 = 25.0;

/// Open requests, the memory they hold, the last reported load, latency and suspicion.
///
/// Soft state: a stale value affects performance, never correctness.
#[derive(Debug, Default)]
pub struct EngineStats {
    gauge: Gauge,
    occupancy: Occupancy,
    held_trend: Trend,
    queue_trend: Trend,
    /// Requests that the engine reports to wait for their start, and the time that this describes.
    queued: AtomicU32,
    queued_at: AtomicU64,
    /// The same by the head of a response, which is younger under load.
    seen_queued: AtomicU32,
    seen_at: AtomicU64,
    reported_load: AtomicU32,
    load_at: AtomicU64,
    mean: AtomicU64,
    mean_at: AtomicU64,
    waiting: AtomicU32,
    deprioritized: AtomicU64,
    slowdown: AtomicU64,
    reported_at: AtomicU64,
    contact_at: AtomicU64,
    backpressure: Arc<Backpressure>,
}

/// # Construction
impl EngineStats {
    /// Creates empty statistics of an engine with this backpressure.
    pub fn new(backpressure: Arc<Backpressure>) -> Self {
        Self { backpressure, ..Self::default() }
    }
}

/// # Counting
impl EngineStats {
    /// Counts a request of `tokens` tokens opened at `now`.
    pub fn open(&self, tokens: u64, now: Millis) {
        self.gauge.open();
        self.occupancy.add(tokens, now);
    }

    /// Counts a request of `tokens` tokens closed at `now`.
    pub fn close(&self, tokens: u64, now: Millis) {
        self.gauge.close();
        self.occupancy.sub(tokens, now);
    }

    /// Records the load that the engine reported at `now`: requests running or queued there.
    pub fn record_load(&self, load: u32, now: Millis) {
        self.reported_load.store(load, Relaxed);
        self.load_at.store(now, Relaxed);
    }

    /// Records the `tokens` that the engine reports to have held at `at`, of at most `capacity`, with
    /// their trend.
    pub fn record_held(&self, tokens: f64, capacity: f64, at: Millis) {
        self.held_trend.observe(tokens, capacity, at);
        self.occupancy.report(tokens as u64, at);
    }

    /// Records the requests that the engine reports to have waited at `at` for their start, of at
    /// most `slots`, with their trend.
    pub fn record_queued(&self, queued: u32, slots: u32, at: Millis) {
        self.queue_trend.observe(f64::from(queued), f64::from(slots), at);
        self.queued.store(queued.min(slots), Relaxed);
        self.queued_at.store(at.max(1), Relaxed);
    }

    /// Records the requests that wait at the engine by the head of a response received at `now`.
    pub fn record_seen_queued(&self, queued: u32, now: Millis) {
        self.seen_queued.store(queued, Relaxed);
        self.seen_at.store(now.max(1), Relaxed);
    }

    /// Records the slowdown that the engine reported at `at`: its step time relative to that
    /// expected of its accelerator.
    pub fn record_slowdown(&self, slowdown: f64, at: Millis) {
        self.slowdown.store((slowdown * SLOWDOWN_SCALE) as u64, Relaxed);
        self.reported_at.store(at, Relaxed);
    }

    /// Records that the engine answered a new request at `now`.
    pub fn record_contact(&self, now: Millis) {
        self.contact_at.fetch_max(now.max(1), Relaxed);
    }

    /// Prefers other engines until `until`, because this one had no capacity.
    pub fn deprioritize(&self, until: Millis) {
        self.deprioritized.fetch_max(until, Relaxed);
    }

    /// Counts a request that starts waiting for its first response.
    pub fn wait_began(&self) {
        self.waiting.fetch_add(1, Relaxed);
    }

    /// Counts a request that stops waiting.
    pub fn wait_ended(&self) {
        self.waiting.fetch_sub(1, Relaxed);
    }

    /// Records the time to a first response.
    pub fn record_latency(&self, ms: Millis, now: Millis) {
        self.mean_at.store(now, Relaxed);
        let old = self.mean.load(Relaxed);
        let sample = ms * 1_000;
        let new =
            if old == 0 { sample } else { (old * (8 - GAIN_EIGHTHS) + sample * GAIN_EIGHTHS) / 8 };
        self.mean.store(new, Relaxed);
    }
}

/// # Reading
impl EngineStats {
    /// Open requests and suspicion.
    pub fn gauge(&self) -> &Gauge {
        &self.gauge
    }

    /// Backpressure of the engine.
    pub fn backpressure(&self) -> &Arc<Backpressure> {
        &self.backpressure
    }

    /// Memory held by requests at the engine.
    pub fn occupancy(&self) -> &Occupancy {
        &self.occupancy
    }

    /// Tokens that requests are known to hold at the engine at `now`, if `nodes` nodes use it.
    pub fn held_known(&self, nodes: u32, now: Millis) -> f64 {
        self.occupancy.known(&self.held_trend, nodes, now)
    }

    /// Tokens that requests are expected to hold at the engine one report interval after `now`, if
    /// `nodes` nodes use it.
    pub fn held_forecast(&self, nodes: u32, now: Millis) -> HeldForecast {
        self.occupancy.forecast(&self.held_trend, nodes, now)
    }

    /// Requests expected to wait at the engine at `now` for their start, of at most `slots`: those of
    /// the youngest report or response with their trend since, and at least this node's own.
    pub fn queue_forecast(&self, slots: u32, now: Millis) -> f64 {
        let own = f64::from(self.waiting.load(Relaxed));
        let reported = (self.queued_at.load(Relaxed), self.queued.load(Relaxed));
        let seen = (self.seen_at.load(Relaxed), self.seen_queued.load(Relaxed));
        let known = match (reported, seen) {
            ((at, queued), seen) if at >= seen.0 && is_valid(at, now) => {
                f64::from(queued) + self.queue_trend.change(0, now).unwrap_or(0.0)
            }
            (_, (at, queued)) if is_valid(at, now) => f64::from(queued),
            _ => 0.0,
        };
        known.max(own).clamp(0.0, f64::from(slots))
    }

    /// Requests known at `now` to run or wait at the engine.
    pub fn load(&self, now: Millis) -> u32 {
        let own = self.gauge.count();
        match now.saturating_sub(self.load_at.load(Relaxed)) {
            age if age <= LOAD_TTL_MS => own.max(self.reported_load.load(Relaxed)),
            _ => own,
        }
    }

    /// Factor by which the engine is slower than expected of its accelerator, as known at `now`.
    pub fn slowdown(&self, now: Millis) -> f64 {
        let at = self.reported_at.load(Relaxed);
        if !is_valid(at, now) {
            return 1.0;
        }
        let slowdown = self.slowdown.load(Relaxed) as f64 / SLOWDOWN_SCALE;
        slowdown.clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end())
    }

    /// When the engine last answered a new request of this node, if it ever did.
    pub fn contact_at(&self) -> Option<Millis> {
        Some(self.contact_at.load(Relaxed)).filter(|at| *at > 0)
    }

    /// Whether other engines are preferred at `now`.
    pub fn is_deprioritized(&self, now: Millis) -> bool {
        self.deprioritized.load(Relaxed) > now
    }

    /// Expected wait for a first response at `now`, milliseconds.
    ///
    /// The moving average decays with its age, so that an engine that was slow is tried again.
    pub fn wait_ms(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.mean_at.load(Relaxed)).min(MEAN_TTL_MS);
        let decay = 1.0 - age as f64 / MEAN_TTL_MS as f64;
        let mean = self.mean.load(Relaxed) as f64 / 1e3;
        mean * decay + f64::from(self.waiting.load(Relaxed)) * WAIT_PER_REQUEST_MS
    }
}

/// Whether a report of the time `at`, 0 without one, is still valid at `now`.
fn is_valid(at: Millis, now: Millis) -> bool {
    at > 0 && now.saturating_sub(at) <= REPORT_TTL_MS
}
