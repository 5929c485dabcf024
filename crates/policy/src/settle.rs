//! Decides which node may run a request with a client-chosen key, from the verdict on its claim.

use heathpitch_core::{Incarnation, Name, Outcome};

use crate::switch::{Mechanism, on};
use crate::{ClaimEntry, Verdict};

/// Decision on a request whose claim was requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// This incarnation may dispatch it once.
    Run,
    /// Only another incarnation may have run it.
    PassOn {
        /// Node of that incarnation.
        node: Name,
        /// The incarnation.
        life: Incarnation,
    },
    /// It may have run; nothing more is known.
    Spent(Outcome),
    /// The key was used with a different body.
    Mismatch,
    /// The claim cannot be checked now; this request did not run.
    Unavailable,
    /// No more claims are accepted for now.
    Full,
}

/// Decides on a request by the verdict on its claim.
///
/// `idle` is whether this incarnation's idempotency table knows that the key was never dispatched; `life` is this
/// incarnation, and `body` the digest of the request.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Incarnation;
/// use heathpitch_policy::{Settlement, Verdict, settle};
///
/// let settled = settle(Verdict::Granted, false, Incarnation(1), 7);
/// assert_eq!(settled, Settlement::Run);
/// ```
pub fn settle(verdict: Verdict, idle: bool, life: Incarnation, body: u64) -> Settlement {
    match verdict {
        Verdict::Granted => Settlement::Run,
        Verdict::Taken(entry) if entry.body != body => Settlement::Mismatch,
        // This incarnation claimed the key before and never dispatched it.
        Verdict::Taken(entry) if entry.life == life && may_rerun(idle) => Settlement::Run,
        Verdict::Taken(entry) if entry.life == life => Settlement::Spent(Outcome::Unknown),
        Verdict::Taken(ClaimEntry { node, life, .. }) => Settlement::PassOn { node, life },
        Verdict::Unavailable => Settlement::Unavailable,
        Verdict::Full => Settlement::Full,
    }
}

fn may_rerun(idle: bool) -> bool {
    idle || !on(Mechanism::ForgottenIsRun)
}
