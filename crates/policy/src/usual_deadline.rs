//! Usual deadline of a route's callers, from which the age of a call follows.
//!
//! A caller that retries after a rejection states what is left of its deadline, so its call is as
//! old as its deadline is shorter than that of the other callers.

use heathpitch_core::Millis;

/// Time after which a deadline that nobody states any more starts to be forgotten, milliseconds: a
/// route with one call per second has many others within it. It is forgotten after twice that time.
const WINDOW_MS: Millis = 15_000;

/// Largest recent deadline.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::UsualDeadline;
///
/// let mut usual = UsualDeadline::default();
/// assert_eq!(usual.age(20_000, 0), 0);
/// assert_eq!(usual.age(17_500, 100), 2_500);
/// assert_eq!(usual.age(5_000, 60_000), 0, "the others are forgotten");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsualDeadline {
    /// Largest deadline since `since`.
    largest: Millis,
    /// Largest deadline of the window before.
    previous: Millis,
    since: Millis,
}

impl UsualDeadline {
    /// Records a call that is given up after `deadline` milliseconds, and returns the time since
    /// its caller first asked.
    pub fn age(&mut self, deadline: Millis, now: Millis) -> Millis {
        let elapsed = now.saturating_sub(self.since);
        if elapsed >= WINDOW_MS {
            self.previous = if elapsed < 2 * WINDOW_MS { self.largest } else { 0 };
            (self.largest, self.since) = (0, now);
        }
        self.largest = self.largest.max(deadline);
        self.largest.max(self.previous) - deadline
    }

    /// Whether nothing of it would count at `now`.
    pub fn is_forgotten(&self, now: Millis) -> bool {
        now >= self.since + 2 * WINDOW_MS
    }
}
