//! Retries of one node for the time without an issuer.

use heathpitch_core::Millis;

use crate::RetryShare;

/// Part of the slack for all nodes together.
const NODES_PART: f64 = 0.04;

/// Retries that a node makes while no issuer answers it, such as between the end of a planner and the start of the next.
///
/// It is empty when a process starts and fills within a window, so that restarts add nothing. A fleet with more nodes than
/// this part of the slack has retries has none; it has more issuers.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{RetryReserve, RetryShare};
///
/// let share = RetryShare { ratio: 0.2, slack: 200.0, window: 10_000 };
/// let mut reserve = RetryReserve::new(0);
/// assert!(!reserve.take(&share, 4, 100));
/// assert!(reserve.take(&share, 4, 10_100));
/// assert!(!reserve.take(&share, 26, 60_000), "less than one for each node");
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct RetryReserve {
    held: f64,
    /// When it was last filled.
    at: Millis,
}

impl RetryReserve {
    /// Creates the reserve of a process that starts to count at `now`.
    pub fn new(now: Millis) -> Self {
        Self { held: 0.0, at: now }
    }

    /// Takes a retry, if the share of one of `nodes` holds one.
    pub fn take(&mut self, share: &RetryShare, nodes: u32, now: Millis) -> bool {
        let most = share.slack * NODES_PART / f64::from(nodes.max(1));
        let filled = now.saturating_sub(self.at) as f64 / share.window as f64 * most;
        (self.held, self.at) = ((self.held + filled).min(most), now);
        let left = self.held >= 1.0;
        if left {
            self.held -= 1.0;
        }
        left
    }
}
