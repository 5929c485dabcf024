//! Usual duration of a route's calls, from which follows whether one can still end within a given time.

use heathpitch_core::Millis;

/// Durations that are kept.
const SAMPLES: usize = 32;

/// The latest durations of calls.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::UsualDuration;
///
/// let mut usual = UsualDuration::default();
/// assert_eq!(usual.estimate(10), None);
/// usual.record(400);
/// assert_eq!(usual.estimate(10), Some(400));
/// (0..32).for_each(|call| usual.record(if call == 7 { 9_000 } else { 100 + call }));
/// assert_eq!(usual.estimate(10), Some(129), "one call that took long does not count");
/// assert_eq!(usual.estimate(2), Some(116));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsualDuration {
    samples: [u32; SAMPLES],
    /// Durations recorded so far.
    count: usize,
}

impl UsualDuration {
    /// Records that a call took `ms` milliseconds, or at least as long if it got no answer.
    pub fn record(&mut self, ms: Millis) {
        self.samples[self.count % SAMPLES] = u32::try_from(ms).unwrap_or(u32::MAX);
        self.count += 1;
    }

    /// Time that no more than one call in `longer` exceeds, milliseconds; none before the first one.
    pub fn estimate(&self, longer: usize) -> Option<Millis> {
        let known = self.count.min(SAMPLES);
        let mut samples = self.samples;
        samples[..known].sort_unstable();
        samples[..known].get(known.checked_sub(1 + known / longer.max(1))?).map(|ms| (*ms).into())
    }
}
