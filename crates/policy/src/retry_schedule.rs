//! When callers that were refused for want of room are to come back.
//!
//! A caller that comes back into the same overload is refused once more, and has waited for nothing. So
//! callers are told different times, one after the other, as fast as room frees beyond what new
//! callers take, and none sooner than an overload usually lasts.

use heathpitch_core::Millis;
use rand::Rng;

/// Shortest time told, milliseconds: a lost engine's layers are loaded, and a burst of callers is over,
/// in two to four seconds.
const LEAST: Millis = 2_000;
/// Part of the streams let in now that may come back in the same time: about what a fleet with its
/// usual load has room for beside that.
const SHARE: f64 = 0.25;
/// Part of a caller's time that it waits at most before it comes back: with the rest it is served.
const WAIT_SHARE: f64 = 0.3;
/// Time over which the streams let in are counted, milliseconds.
const SPAN: f64 = 2_000.0;
/// Least rate at which callers come back, a millisecond: a node that lets nobody in now will again.
const RATE_LEAST: f64 = 0.002;

/// Times told to callers of one service at one node.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::RetrySchedule;
///
/// let mut returns = RetrySchedule::default();
/// (0..200).for_each(|i| returns.admit(i * 50));
/// let mut rng = rand::rng();
/// let told: Vec<u64> = (0..5).map(|_| returns.refuse(20_000, 10_000, &mut rng)).collect();
/// assert_eq!(told[0], 2_000);
/// assert!(told.is_sorted() && told[4] > 2_500);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetrySchedule {
    /// When the next caller may come back.
    next: Millis,
    /// Streams let in, each counted less the longer ago.
    admitted: f64,
    at: Millis,
}

/// # Events
impl RetrySchedule {
    /// Counts a stream that is let in at `now`.
    pub fn admit(&mut self, now: Millis) {
        self.fade(now);
        self.admitted += 1.0;
    }

    /// Time after which a caller that is refused at `now` and has `left` milliseconds should come back.
    pub fn refuse(&mut self, left: Millis, now: Millis, rng: &mut impl Rng) -> Millis {
        self.refuse_for(LEAST, left, now, rng)
    }

    /// The same, where it is known that nobody is taken for `least` milliseconds.
    pub fn refuse_for(
        &mut self,
        least: Millis,
        left: Millis,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Millis {
        self.fade(now);
        let most = (left as f64 * WAIT_SHARE) as Millis;
        let rate = (self.admitted / SPAN * SHARE).max(RATE_LEAST);
        let at = self.next.max(now + least);
        if at > now + most {
            // More wait than can come back in time: their turns are drawn.
            return rng.random_range(most / 2..=most);
        }
        self.next = at + (1.0 / rate) as Millis;
        at - now
    }

    fn fade(&mut self, now: Millis) {
        let age = now.saturating_sub(self.at) as f64;
        self.admitted *= (-age / SPAN).exp();
        self.at = now;
    }
}
