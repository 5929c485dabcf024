//! Freshness of a node's copy of what the platform's store holds.
//!
//! A proof is an answer of the store which shows that the node's copy of one thing, the
//! configuration or the list of engines, is current; it says nothing of the other. It holds for the
//! time at which the call was sent, not for that of its answer, so that latency never makes a proof
//! look younger than it is.

use heathpitch_core::Millis;

/// Time of the newest proof.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::Freshness;
///
/// let mut fresh = Freshness::default();
/// assert!(!fresh.covers(1_000, 5_000));
/// fresh.prove(1_000);
/// assert!(fresh.covers(5_999, 5_000));
/// assert!(!fresh.covers(6_000, 5_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    proven: Option<Millis>,
}

impl Freshness {
    /// Records a proof from a call sent at `sent`; older ones have no effect.
    pub fn prove(&mut self, sent: Millis) {
        self.proven = self.proven.max(Some(sent));
    }

    /// Whether the copy is less than `bound` old at `at`.
    pub fn covers(&self, at: Millis, bound: Millis) -> bool {
        self.proven.is_some_and(|proven| at.saturating_sub(proven) < bound)
    }

    /// When the call of the newest proof was sent, if there is one.
    pub fn at(&self) -> Option<Millis> {
        self.proven
    }

    /// Age of the newest proof at `at`, if there is one.
    pub fn age(&self, at: Millis) -> Option<Millis> {
        self.proven.map(|proven| at.saturating_sub(proven))
    }
}
