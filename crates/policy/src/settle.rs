//! Who may run a request with a caller-chosen key, once its claim was asked for.

use heathpitch_core::{Incarnation, Name, Outcome};

use crate::switch::{Mechanism, on};
use crate::{ClaimEntry, Verdict};

/// What is to be done with a request whose claim was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// This life may dispatch it, once.
    Run,
    /// Only another life may have run it.
    PassOn {
        /// Node of that life.
        node: Name,
        /// The life.
        life: Incarnation,
    },
    /// It may have run; nothing more is known of it.
    Spent(Outcome),
    /// The key was used with another body.
    Mismatch,
    /// Nobody can say for now; it did not run for this request.
    Unavailable,
    /// No more claims are taken for now.
    Full,
}

/// Settles a request by the verdict on its claim.
///
/// `idle` is whether this life's ledger knows the key as certainly never dispatched; `life` is this
/// life, `body` the digest of the request.
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
        // This life claimed the key before and certainly never dispatched it.
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
