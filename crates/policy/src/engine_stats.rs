//! What a node knows of one engine: from its own requests, and by the engine's word.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

use crate::{Backpressure, Gauge, Occupancy};

/// Time for which a load told by an engine is believed, milliseconds.
const LOAD_AGE: Millis = 1_000;
/// Weight of the newest time in the running mean, as a fraction of 8.
const GAIN: u64 = 2;
/// Age at which a running mean says nothing any more, milliseconds.
const MEAN_AGE: Millis = 2_500;
/// Age at which an engine's report says nothing any more, milliseconds: two questions and the time
/// that a report is late by itself.
pub(crate) const REPORT_AGE: Millis = 2_500;
/// Least and most factor that an engine's own word is believed.
const PACE: std::ops::RangeInclusive<f64> = 1.0..=50.0;
/// Parts that a factor is kept in.
const PARTS: f64 = 1e3;
/// Time that each own request which waits adds to the wait expected, milliseconds: about a pass.
const WAIT: f64 = 25.0;

/// Open requests, the memory they hold, the load the engine told last, and doubt.
///
/// Soft state: a stale value costs speed, never a promise.
#[derive(Debug, Default)]
pub struct EngineStats {
    gauge: Gauge,
    occupancy: Occupancy,
    told: AtomicU32,
    told_at: AtomicU64,
    mean: AtomicU64,
    mean_at: AtomicU64,
    waiting: AtomicU32,
    crowded: AtomicU64,
    pace: AtomicU64,
    reported_at: AtomicU64,
    backpressure: Arc<Backpressure>,
}

/// # Construction
impl EngineStats {
    /// What is known of an engine that asked for this, and nothing else.
    pub fn of(backpressure: Arc<Backpressure>) -> Self {
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

    /// Takes the load that the engine told at `now`: requests that run or wait there.
    pub fn record_load(&self, load: u32, now: Millis) {
        self.told.store(load, Relaxed);
        self.told_at.store(now, Relaxed);
    }

    /// Takes an engine's report of `at`: by what factor it is slower than its card.
    pub fn record_slowdown(&self, pace: f64, at: Millis) {
        self.pace.store((pace * PARTS) as u64, Relaxed);
        self.reported_at.store(at, Relaxed);
    }

    /// Prefers other engines until `until`: this one had no room.
    pub fn deprioritize(&self, until: Millis) {
        self.crowded.fetch_max(until, Relaxed);
    }

    /// Counts a request that waits for its first answer.
    pub fn wait_began(&self) {
        self.waiting.fetch_add(1, Relaxed);
    }

    /// Counts a request that waits no longer.
    pub fn wait_ended(&self) {
        self.waiting.fetch_sub(1, Relaxed);
    }

    /// Takes the time that a first answer took.
    pub fn record_latency(&self, ms: Millis, now: Millis) {
        self.mean_at.store(now, Relaxed);
        let old = self.mean.load(Relaxed);
        let sample = ms * 1_000;
        let new = if old == 0 { sample } else { (old * (8 - GAIN) + sample * GAIN) / 8 };
        self.mean.store(new, Relaxed);
    }
}

/// # Reading
impl EngineStats {
    /// Open requests and doubt.
    pub fn gauge(&self) -> &Gauge {
        &self.gauge
    }

    /// What it asked for.
    pub fn backpressure(&self) -> &Arc<Backpressure> {
        &self.backpressure
    }

    /// Memory that requests hold there.
    pub fn occupancy(&self) -> &Occupancy {
        &self.occupancy
    }

    /// Requests that run or wait at the engine, as far as is known at `now`.
    pub fn load(&self, now: Millis) -> u32 {
        let own = self.gauge.count();
        match now.saturating_sub(self.told_at.load(Relaxed)) {
            age if age <= LOAD_AGE => own.max(self.told.load(Relaxed)),
            _ => own,
        }
    }

    /// Factor by which the engine is slower than its card, as far as is known at `now`.
    pub fn slowdown(&self, now: Millis) -> f64 {
        let at = self.reported_at.load(Relaxed);
        if at == 0 || now.saturating_sub(at) > REPORT_AGE {
            return 1.0;
        }
        let pace = self.pace.load(Relaxed) as f64 / PARTS;
        pace.clamp(*PACE.start(), *PACE.end())
    }

    /// Whether other engines are preferred at `now`.
    pub fn is_deprioritized(&self, now: Millis) -> bool {
        self.crowded.load(Relaxed) > now
    }

    /// Wait for a first answer to expect at `now`, milliseconds.
    ///
    /// The running mean fades with its age, so that an engine that was slow is tried again.
    pub fn wait_ms(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.mean_at.load(Relaxed)).min(MEAN_AGE);
        let fade = 1.0 - age as f64 / MEAN_AGE as f64;
        let mean = self.mean.load(Relaxed) as f64 / 1e3;
        mean * fade + f64::from(self.waiting.load(Relaxed)) * WAIT
    }
}
