//! Trend of a quantity that an engine reports now and then: held tokens, or queued requests.
//!
//! Reports arrive some hundred milliseconds late and up to a second apart, while a burst fills an
//! engine within one or two seconds. The trend is found by double exponential smoothing (Holt), with
//! weights that follow from the time between two reports, as reports are not evenly spaced.
//!
//! A wrong trend must do little harm. The rate of change is bounded, its effect is damped with the
//! time that it is extrapolated over, and the whole change is bounded too. Rises and falls have the
//! same bounds: sums over engines, some of which fill while others empty, would be biased otherwise.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

use crate::engine_stats::REPORT_TTL_MS;

/// Time over which the level follows a report, milliseconds: a report is exact, and only its
/// rounding and the jitter of its age have to be smoothed.
const LEVEL_TIME_MS: f64 = 100.0;
/// Time over which the rate follows the reports, milliseconds: about the shortest time between two
/// reports, so that the second report of a burst shows it.
const RATE_TIME_MS: f64 = 300.0;
/// Time over which the effect of the rate fades, milliseconds. Admission that follows a rate for
/// longer overshoots in both directions, since it sees its own effect only with the next report.
const DAMPING_MS: f64 = 300.0;
/// Largest rate, in capacities per second: a burst of five times the usual demand, at half of the
/// capacity and requests of two seconds.
const MAX_RATE: f64 = 1.0;
/// Largest expected change, as a share of the capacity: an engine reported to be less than two
/// thirds full is never taken for full.
const MAX_CHANGE: f64 = 0.25;
/// Largest reported value, in capacities: a larger one is a fault of the engine.
const MAX_VALUE: f64 = 2.0;
/// Range of the time between two reports, milliseconds.
const INTERVAL_RANGE_MS: std::ops::RangeInclusive<Millis> = 250..=1_000;

/// Level and rate of change of a reported quantity.
///
/// Soft state that one thread updates and others read: a stale value affects performance, never
/// correctness.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::Trend;
///
/// let trend = Trend::default();
/// trend.observe(20_000.0, 100_000.0, 1_000);
/// assert_eq!(trend.change(500, 1_300), None);
/// trend.observe(30_000.0, 100_000.0, 2_000);
/// let change = trend.change(500, 2_300).unwrap_or_default();
/// assert!((1_000.0..10_000.0).contains(&change));
/// ```
#[derive(Debug, Default)]
pub struct Trend {
    /// Bits of the smoothed value.
    level: AtomicU64,
    /// Bits of the change per millisecond.
    rate: AtomicU64,
    /// Bits of the capacity of the engine.
    capacity: AtomicU64,
    /// Times that the last report and the one before it describe; 0 without one.
    last_at: AtomicU64,
    previous_at: AtomicU64,
}

/// # Recording
impl Trend {
    /// Records the `value` reported for the time `at` by an engine that can hold `capacity`.
    ///
    /// A report that is not newer than the last one is ignored. A trend over a gap, or to or from an
    /// impossible value, starts anew.
    pub fn observe(&self, value: f64, capacity: f64, at: Millis) {
        let at = at.max(1);
        let last_at = self.last_at.load(Relaxed);
        if at <= last_at {
            return;
        }
        let is_possible = capacity > 0.0 && capacity.is_finite();
        let is_possible = is_possible && (0.0..=capacity * MAX_VALUE).contains(&value);
        let follows = last_at > 0 && at - last_at <= REPORT_TTL_MS;
        let (level, rate) = match (is_possible, follows) {
            (true, true) => self.smoothed(value, capacity, (at - last_at) as f64),
            (true, false) => (value, 0.0),
            (false, _) => (0.0, 0.0),
        };
        store(&self.level, level);
        store(&self.rate, rate);
        store(&self.capacity, capacity);
        self.previous_at.store(if is_possible && follows { last_at } else { 0 }, Relaxed);
        self.last_at.store(if is_possible { at } else { 0 }, Relaxed);
    }

    /// Level and rate after a `value` reported `elapsed` milliseconds after the last one.
    fn smoothed(&self, value: f64, capacity: f64, elapsed: f64) -> (f64, f64) {
        let (old_level, old_rate) = (load(&self.level), load(&self.rate));
        let old_rate = old_rate * (-elapsed / DAMPING_MS).exp();
        let expected = old_level + old_rate * elapsed;
        let level = expected + (value - expected) * (1.0 - (-elapsed / LEVEL_TIME_MS).exp());
        let gain = 1.0 - (-elapsed / RATE_TIME_MS).exp();
        let rate = old_rate + ((level - old_level) / elapsed - old_rate) * gain;
        let max_rate = capacity * MAX_RATE / 1e3;
        (level.clamp(0.0, capacity * MAX_VALUE), rate.clamp(-max_rate, max_rate))
    }
}

/// # Reading
impl Trend {
    /// Smoothed value at the time of the last report, if there is a trend at `now`: the last two
    /// reports are recent.
    pub fn level(&self, now: Millis) -> Option<f64> {
        let previous_at = self.previous_at.load(Relaxed);
        let is_known = previous_at > 0 && now.saturating_sub(previous_at) <= REPORT_TTL_MS;
        is_known.then(|| load(&self.level))
    }

    /// Expected change from the last report until `lead` milliseconds after `now`, if there is a
    /// trend.
    pub fn change(&self, lead: Millis, now: Millis) -> Option<f64> {
        self.level(now)?;
        let ahead = (now + lead).saturating_sub(self.last_at.load(Relaxed)) as f64;
        let damped = DAMPING_MS * (1.0 - (-ahead / DAMPING_MS).exp());
        let bound = load(&self.capacity) * MAX_CHANGE;
        Some((load(&self.rate) * damped).clamp(-bound, bound))
    }

    /// Time between the last two reports, milliseconds, if there is a trend.
    pub fn interval(&self, now: Millis) -> Option<Millis> {
        self.level(now)?;
        let between = self.last_at.load(Relaxed).saturating_sub(self.previous_at.load(Relaxed));
        Some(between.clamp(*INTERVAL_RANGE_MS.start(), *INTERVAL_RANGE_MS.end()))
    }
}

fn load(bits: &AtomicU64) -> f64 {
    f64::from_bits(bits.load(Relaxed))
}

fn store(bits: &AtomicU64, value: f64) {
    bits.store(value.to_bits(), Relaxed);
}
