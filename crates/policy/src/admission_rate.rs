//! Rate at which streams were admitted recently.

use heathpitch_core::Millis;

/// Time constant, milliseconds: a lost engine lowers the rate within the two seconds before the
/// first promised retry.
const RATE_WINDOW_MS: f64 = 2_000.0;

/// Exponentially decayed count of admitted streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AdmissionRate {
    admitted: f64,
    at: Millis,
}

impl AdmissionRate {
    /// A rate of `per_ms` streams per millisecond at `now`.
    pub(crate) fn at_rate(per_ms: f64, now: Millis) -> Self {
        Self { admitted: per_ms * RATE_WINDOW_MS, at: now }
    }

    /// Counts `count` streams admitted about `now`.
    pub(crate) fn count(&mut self, count: u32, now: Millis) {
        self.admitted = self.decayed(now) + f64::from(count);
        self.at = self.at.max(now);
    }

    /// Streams per millisecond at `now`.
    pub(crate) fn per_ms(&self, now: Millis) -> f64 {
        self.decayed(now) / RATE_WINDOW_MS
    }

    fn decayed(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.admitted * (-age / RATE_WINDOW_MS).exp()
    }
}
