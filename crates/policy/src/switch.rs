//! Switches that take one mechanism away, so that a run can show which promise it carries.
//!
//! Without the `switches` feature every mechanism is on and the switches cost nothing.

/// A mechanism that carries a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// Frames of older attempts are dropped.
    AttemptNumbers,
    /// Tokens are taken only at the position that is due.
    Positions,
    /// An answer ends only with an end that counts its tokens.
    ExplicitEnd,
    /// A lost attempt counts as one that may have run.
    Evidence,
    /// A started request that may not be repeated is not dispatched again.
    NoRepeat,
    /// A claim is granted only once its own nonce was seen to stand.
    ClaimReadBack,
    /// The ledger lets a key be dispatched once.
    LedgerOnce,
    /// A key that the ledger has forgotten counts as run.
    ForgottenIsRun,
    /// An engine's own word that it will stop keeps new work away.
    LeavingWord,
    /// Only a newer list of VMs is taken.
    ListOrder,
    /// Only a newer revision is taken.
    RevisionOrder,
    /// A few nodes of a failure domain read the store if its planner does not tell.
    Standbys,
    /// The others go to the store one after the other.
    DrawnTurns,
    /// A list that was proven earlier than one's own is not taken from another source.
    ListAge,
    /// Time in which the VM was suspended counts.
    SuspendedTime,
}

impl Mechanism {
    /// Every mechanism.
    pub const ALL: [Mechanism; 15] = [
        Mechanism::AttemptNumbers,
        Mechanism::Positions,
        Mechanism::ExplicitEnd,
        Mechanism::Evidence,
        Mechanism::NoRepeat,
        Mechanism::ClaimReadBack,
        Mechanism::LedgerOnce,
        Mechanism::ForgottenIsRun,
        Mechanism::LeavingWord,
        Mechanism::ListOrder,
        Mechanism::RevisionOrder,
        Mechanism::Standbys,
        Mechanism::DrawnTurns,
        Mechanism::ListAge,
        Mechanism::SuspendedTime,
    ];
}

#[cfg(feature = "switches")]
mod state {
    use std::cell::Cell;

    use super::Mechanism;

    thread_local! {
        static OFF: Cell<Option<Mechanism>> = const { Cell::new(None) };
    }

    /// Runs `work` with one mechanism off on this thread.
    pub fn without<T>(mechanism: Mechanism, work: impl FnOnce() -> T) -> T {
        struct Restore(Option<Mechanism>);
        impl Drop for Restore {
            fn drop(&mut self) {
                OFF.set(self.0);
            }
        }
        let _restore = Restore(OFF.replace(Some(mechanism)));
        work()
    }

    pub(crate) fn on(mechanism: Mechanism) -> bool {
        OFF.get() != Some(mechanism)
    }
}

#[cfg(feature = "switches")]
pub(crate) use state::on;
#[cfg(feature = "switches")]
pub use state::without;

/// Whether the mechanism is on.
#[cfg(not(feature = "switches"))]
pub(crate) const fn on(_: Mechanism) -> bool {
    true
}
