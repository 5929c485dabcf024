//! Freshness: up to when this node knows what the platform's store held.
//!
//! A proof is an answer of the store that shows what a node knows of one thing, the configuration or
//! the list of engines, to be the newest; it says nothing of the other. It holds for the moment at
//! which the call was sent, not for that of its answer, so that time lost on the way never makes a
//! proof look younger than it is.

use heathpitch_core::Millis;

/// The newest proof.
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
    /// Takes a proof by a call sent at `sent`; older ones change nothing.
    pub fn prove(&mut self, sent: Millis) {
        self.proven = self.proven.max(Some(sent));
    }

    /// Whether what was in force `bound` before `at` or later is known.
    pub fn covers(&self, at: Millis, bound: Millis) -> bool {
        self.proven.is_some_and(|proven| at.saturating_sub(proven) < bound)
    }

    /// When the newest proof was sent, if there is one.
    pub fn at(&self) -> Option<Millis> {
        self.proven
    }

    /// Age of the proof at `at`, if there is one.
    pub fn age(&self, at: Millis) -> Option<Millis> {
        self.proven.map(|proven| at.saturating_sub(proven))
    }
}
