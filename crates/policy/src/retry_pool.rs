//! Retries of a failure domain, issued by its planner.
//!
//! What an earlier issuer spent is not known to a later one, which must assume that it was all that a window allows. For
//! the length of a window it therefore issues only from a reserve, which grows with its age: however many issuers
//! follow each other within a window, the reserve is issued once. After that it knows what the last window contains.
//!
//! An issuer that cannot prove its lease any more may have a successor. It goes on for a bounded time, which successors
//! wait in addition, and then issues from the reserve only.

use heathpitch_core::Millis;

use crate::retry_window::{RetryShare, RetryWindow};

/// Part of the slack that an issuer uses once it has run for a window.
const SETTLED_PART: f64 = 0.85;
/// Part of the slack for issuers that have not.
const RESERVED_PART: f64 = 0.06;
/// Time for which an issuer goes on after its lease may have expired, or it released it.
const OVERLAP_MS: Millis = 3_000;
/// Age from which an issuer issues one retry in any case: shorter than a process takes to start, so that no window contains
/// many such issuers.
const FIRST_RETRY_MS: Millis = 300;

/// Retries that a planner issues to the nodes of its failure domain for one service.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{RetryPool, RetryShare};
///
/// let share = RetryShare { ratio: 0.2, slack: 100.0, window: 10_000 };
/// let mut pool = RetryPool::new(0);
/// let issued = |pool: &mut RetryPool, now| {
///     let leased_until = now + 2_400;
///     (0..200).filter(|_| pool.issue(&share, 0, leased_until, now)).count()
/// };
/// assert_eq!(issued(&mut pool, 0), 0);
/// assert_eq!(issued(&mut pool, 5_000), 3, "half of the reserve");
/// assert_eq!(issued(&mut pool, 30_000), 85);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct RetryPool {
    /// When this node became the issuer.
    since: Millis,
    /// Retries of the slack.
    slack: RetryWindow,
    /// Retries earned by reported calls.
    earned: RetryWindow,
}

impl RetryPool {
    /// Creates the pool of a node that becomes the issuer at `since`.
    pub fn new(since: Millis) -> Self {
        Self { since, slack: RetryWindow::default(), earned: RetryWindow::default() }
    }

    /// Whether an issuer whose lease ended at `released` may go on until its successor is known.
    pub fn outlives(released: Millis, now: Millis) -> bool {
        now < released + OVERLAP_MS
    }

    /// Issues a retry of the failure domain's `share`, unless none is left. `calls` are those that the requesting
    /// node has counted lately and does not use for retries itself, `leased_until` is when the issuer's lease may expire.
    pub fn issue(
        &mut self,
        share: &RetryShare,
        calls: u32,
        leased_until: Millis,
        now: Millis,
    ) -> bool {
        let earned = share.of_reported_calls();
        self.earned.add_calls(&earned, calls, now);
        let slack = self.slack_at(share, leased_until, now);
        self.earned.spend(&earned, now)
            || self.slack.spend(&RetryShare { ratio: 0.0, slack, ..*share }, now)
    }

    /// Part of the slack that may be issued in the window that ends now.
    fn slack_at(&self, share: &RetryShare, leased_until: Millis, now: Millis) -> f64 {
        let (age, reserve) = (now.saturating_sub(self.since), share.slack * RESERVED_PART);
        // Retries are counted for a bucket longer than a window.
        let settled_age = share.window + share.bucket() + OVERLAP_MS;
        let growing = reserve * (age as f64 / share.window as f64).min(1.0);
        match age {
            _ if now >= leased_until && !Self::outlives(leased_until, now) => reserve,
            age if age >= settled_age => (share.slack * SETTLED_PART).floor(),
            age if age >= FIRST_RETRY_MS => growing.max(share.slack.min(1.0)),
            _ => growing,
        }
    }
}
