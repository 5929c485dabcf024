//! Decides which node may run a request with a client-chosen key, from the verdict on its claim.

use heathpitch_core::{Incarnation, Name, Outcome};

use crate::switch::{Mechanism, on};
use crate::{ClaimEntry, Verdict};

/// Decision on a request whose claim was requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This incarnation may dispatch it once.
    Run,
    /// Only another incarnation may have run it.
    Forward {
        /// Node of that incarnation.
        node: Name,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// It may have run; nothing more is known.
    MayHaveRun(Outcome),
    /// The key was used with a different body.
    Mismatch,
    /// The claim cannot be checked now; this request did not run.
    Unavailable,
    /// No more claims are accepted for now.
    Full,
}

/// Decides on a request by the verdict on its claim.
///
/// `idle` is whether this incarnation's idempotency table knows that the key was never dispatched;
/// `incarnation` is this incarnation, and `body` the digest of the request.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Incarnation;
/// use heathpitch_policy::{ClaimDecision, Verdict, decide_claim};
///
/// let decision = decide_claim(Verdict::Granted, false, Incarnation(1), 7);
/// assert_eq!(decision, ClaimDecision::Run);
/// ```
pub fn decide_claim(
    verdict: Verdict,
    idle: bool,
    incarnation: Incarnation,
    body: u64,
) -> ClaimDecision {
    match verdict {
        Verdict::Granted => ClaimDecision::Run,
        Verdict::Taken(entry) if entry.body != body => ClaimDecision::Mismatch,
        // This incarnation claimed the key before and never dispatched it.
        Verdict::Taken(entry) if entry.incarnation == incarnation && may_rerun(idle) => {
            ClaimDecision::Run
        }
        Verdict::Taken(entry) if entry.incarnation == incarnation => {
            ClaimDecision::MayHaveRun(Outcome::Unknown)
        }
        Verdict::Taken(ClaimEntry { node, incarnation, .. }) => {
            ClaimDecision::Forward { node, incarnation }
        }
        Verdict::Unavailable => ClaimDecision::Unavailable,
        Verdict::Full => ClaimDecision::Full,
    }
}

fn may_rerun(idle: bool) -> bool {
    idle || !on(Mechanism::EvictedAsRun)
}
