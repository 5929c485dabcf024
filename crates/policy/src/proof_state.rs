//! Whether a call may be admitted by the age of the configuration's last proof.
//!
//! No schedule of proofs holds for a node whose threads did not run, or whose attempts have failed by chance. What bounds the
//! age of the configuration by which a call is admitted is therefore checked with the call: on a proof of
//! [`admission_age`] and more it is admitted only if the store has been asked since, and is known to be away
//! ([`ProofAttempts`](crate::ProofAttempts)). A call that finds neither asks for an attempt and waits for it; it is refused if
//! its wait ends without either.

use heathpitch_core::Millis;

use crate::{EXCUSE_TTL_MS, MIN_APPLY_MS};

/// Part of the agreed time that is not used.
const MARGIN_MS: Millis = 50;
/// Time before calls have to wait in which they ask for an attempt.
const DEMAND_LEAD_MS: Millis = 350;
/// Time before the end of [`EXCUSE_TTL_MS`] in which they do.
const RENEWAL_MS: Millis = 400;

/// Age of a proof from which a call needs another one, where `apply_ms` is the agreed time from the acceptance of a
/// configuration until nodes serve by it.
pub const fn admission_age(apply_ms: Millis) -> Millis {
    match apply_ms < MIN_APPLY_MS {
        true => MIN_APPLY_MS - MARGIN_MS,
        false => apply_ms - MARGIN_MS,
    }
}

/// What the age of the configuration in force and the attempts to confirm it say of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProofState {
    /// When the newest configuration known was last confirmed as the newest.
    pub confirmed: Option<Millis>,
    /// Until when attempts show that the store is away.
    pub excused_until: Millis,
    /// Age of a proof from which a call needs another one.
    pub max_age: Millis,
}

impl ProofState {
    /// Whether a call may be admitted at `now`.
    pub fn admits(self, now: Millis) -> bool {
        self.is_younger(now, self.max_age) || self.is_excused(now)
    }

    /// Whether a call at `now` needs another attempt, or will soon.
    pub fn needs_attempt(self, now: Millis) -> bool {
        !self.is_younger(now, self.max_age - DEMAND_LEAD_MS.min(self.max_age))
            && !self.is_excused(now + RENEWAL_MS)
    }

    fn is_younger(self, now: Millis, age: Millis) -> bool {
        self.confirmed.is_some_and(|at| now.saturating_sub(at) < age)
    }

    /// An attempt from before the last proof says nothing of the time since.
    fn is_excused(self, now: Millis) -> bool {
        now < self.excused_until
            && self.confirmed.is_none_or(|at| at + EXCUSE_TTL_MS < self.excused_until)
    }
}
