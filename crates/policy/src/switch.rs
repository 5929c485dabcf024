//! Switches that disable single safety mechanisms, so that tests can show which guarantee depends
//! on each.
//!
//! Without the `switches` feature every mechanism is enabled, and the switches have no cost.

/// Mechanism that a guarantee depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// Frames of older attempts are dropped.
    AttemptNumbers,
    /// Tokens are accepted only at the next expected position.
    Positions,
    /// An answer is complete only after an explicit end with the right token count.
    ExplicitEnd,
    /// A lost attempt counts as possibly run.
    Evidence,
    /// A started request that may not be repeated is not dispatched again.
    NoRepeat,
    /// A claim is granted only after its nonce was read back from the store.
    ClaimReadBack,
    /// The idempotency table lets a key be dispatched only once.
    DispatchOnce,
    /// A key evicted from the idempotency table counts as run.
    EvictedAsRun,
    /// An engine that announces its shutdown gets no new requests.
    DrainNotice,
    /// Only a newer list of VMs is accepted.
    ListOrder,
    /// Only a newer revision is accepted.
    RevisionOrder,
    /// A few standby nodes of a failure domain read the store if its planner sends no updates.
    Standbys,
    /// The other nodes read the store after randomized waits.
    RandomizedReads,
    /// A list confirmed earlier than the own one is not accepted from another source.
    ListAge,
    /// Time during which the VM was suspended counts.
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
        Mechanism::DispatchOnce,
        Mechanism::EvictedAsRun,
        Mechanism::DrainNotice,
        Mechanism::ListOrder,
        Mechanism::RevisionOrder,
        Mechanism::Standbys,
        Mechanism::RandomizedReads,
        Mechanism::ListAge,
        Mechanism::SuspendedTime,
    ];
}

#[cfg(feature = "switches")]
mod state {
    use std::cell::Cell;

    use super::Mechanism;

    thread_local! {
        static DISABLED: Cell<Option<Mechanism>> = const { Cell::new(None) };
    }

    /// Runs `work` with one mechanism disabled on this thread.
    pub fn without<T>(mechanism: Mechanism, work: impl FnOnce() -> T) -> T {
        struct Restore(Option<Mechanism>);
        impl Drop for Restore {
            fn drop(&mut self) {
                DISABLED.set(self.0);
            }
        }
        let _restore = Restore(DISABLED.replace(Some(mechanism)));
        work()
    }

    pub(crate) fn on(mechanism: Mechanism) -> bool {
        DISABLED.get() != Some(mechanism)
    }
}

#[cfg(feature = "switches")]
pub(crate) use state::on;
#[cfg(feature = "switches")]
pub use state::without;

/// Whether the mechanism is enabled.
#[cfg(not(feature = "switches"))]
pub(crate) const fn on(_: Mechanism) -> bool {
    true
}
