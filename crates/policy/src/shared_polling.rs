//! Sharing of polls among the nodes of a failure domain.
//!
//! Each node's interval is proportional to the number of live nodes, so that together they poll a
//! target at a fixed rate. No leader is needed: a node that sees no peers polls as often as all
//! nodes together would.

use heathpitch_core::Millis;
use rand::Rng;

/// Polls of all nodes together in a period.
const POLLS_PER_PERIOD: u64 = 2;
/// Longest interval, in periods.
const MAX_PERIODS: u64 = 120;

/// How often one node polls a target that all nodes of its failure domain share.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::SharedPolling;
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let wait = SharedPolling::new(1_000).next_wait(70, &mut rng);
/// assert!((17_500..=52_500).contains(&wait));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPolling {
    period: Millis,
}

impl SharedPolling {
    /// Two polls per `period` over all nodes.
    pub fn new(period: Millis) -> Self {
        Self { period }
    }

    /// Randomized time until this node's next poll, with `nodes` alive including itself.
    pub fn next_wait(self, nodes: usize, rng: &mut impl Rng) -> Millis {
        let mean = self.period * (nodes.max(1) as u64) / POLLS_PER_PERIOD;
        let mean = mean.clamp(1, self.period * MAX_PERIODS);
        rng.random_range(mean / 2..=mean + mean / 2)
    }
}
