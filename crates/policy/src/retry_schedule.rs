//! Retry times for clients rejected for lack of capacity.
//!
//! A client that retries during the same overload is rejected again and has waited in vain. So
//! clients get staggered retry times, at the rate at which capacity becomes free beyond what new
//! requests take, and none earlier than an overload usually lasts.

use heathpitch_core::Millis;
use rand::Rng;

/// Shortest retry time, milliseconds: loading the layers of a lost engine, and a burst of requests,
/// take two to four seconds.
pub(crate) const MIN_DELAY_MS: Millis = 2_000;
/// Rate of retries as a fraction of the current admission rate: about the spare capacity of a fleet
/// under its usual load.
pub(crate) const RETRY_SHARE: f64 = 0.25;
/// Largest fraction of a client's remaining time to wait before the retry; the rest is left for
/// serving it.
pub(crate) const MAX_WAIT_SHARE: f64 = 0.3;
/// Time constant of the admission rate, milliseconds.
const RATE_WINDOW_MS: f64 = 2_000.0;
/// Least rate of retries per millisecond: a node that admits nothing now will do so again.
const MIN_RETRIES_PER_MS: f64 = 0.002;

/// Retry times for the clients of one service at one node.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::RetrySchedule;
///
/// let mut schedule = RetrySchedule::default();
/// (0..200).for_each(|i| schedule.admit(i * 50));
/// let mut rng = rand::rng();
/// let delays: Vec<u64> = (0..5).map(|_| schedule.refuse(20_000, 10_000, &mut rng)).collect();
/// assert_eq!(delays[0], 2_000);
/// assert!(delays.is_sorted() && delays[4] > 2_500);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetrySchedule {
    /// Earliest time of the next retry.
    next: Millis,
    /// Streams admitted, exponentially decayed.
    admitted: f64,
    at: Millis,
}

/// # Events
impl RetrySchedule {
    /// Counts a stream admitted at `now`.
    pub fn admit(&mut self, now: Millis) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Time after which a client rejected at `now`, with `left` milliseconds remaining, should
    /// retry.
    pub fn refuse(&mut self, left: Millis, now: Millis, rng: &mut impl Rng) -> Millis {
        self.refuse_for(MIN_DELAY_MS, left, now, rng)
    }

    /// The same, if no request can be admitted for `least` milliseconds.
    pub fn refuse_for(
        &mut self,
        least: Millis,
        left: Millis,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Millis {
        self.decay(now);
        let most = (left as f64 * MAX_WAIT_SHARE) as Millis;
        let rate = (self.admitted / RATE_WINDOW_MS * RETRY_SHARE).max(MIN_RETRIES_PER_MS);
        let at = self.next.max(now + least);
        if at > now + most {
            // Too many clients wait for all to retry in time: spread this one at random.
            return spread(0, most, rng);
        }
        self.next = at + (1.0 / rate) as Millis;
        at - now
    }

    fn decay(&mut self, now: Millis) {
        let age = now.saturating_sub(self.at) as f64;
        self.admitted *= (-age / RATE_WINDOW_MS).exp();
        self.at = now;
    }
}

/// Retry time of a client for whom there is no capacity in time: at random in the second half of
/// the longest wait, but no earlier than `least` if that is within it.
pub(crate) fn spread(least: Millis, most: Millis, rng: &mut impl Rng) -> Millis {
    let least = if least <= most { least } else { 0 };
    rng.random_range(least.max(most / 2)..=most)
}
