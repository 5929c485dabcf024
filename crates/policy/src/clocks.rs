//! Time as decisions count it, though the VM may be suspended.
//!
//! A VM's steady clock stands still while the VM is suspended; the one that counts from its boot goes on, as
//! do the store, the engines and all other VMs. Whoever measures by the steady one takes what it knew before for
//! young, and acts on keys that were taken away, leases that ran out and engines that left.

use heathpitch_core::Millis;

use crate::switch::{Mechanism, on};

/// Difference from which the VM counts as suspended, milliseconds: above the grain of both clocks and the
/// time between two readings of them.
const SUSPENDED: Millis = 100;

/// What a VM's clocks show at one moment, milliseconds since starts of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clocks {
    /// The one that goes on while the VM is suspended.
    pub boot: Millis,
    /// The steady one, which timers go by.
    pub monotonic: Millis,
}

impl Clocks {
    /// Now, for anything that decides on authority, freshness or time left.
    pub fn now(self) -> Millis {
        if on(Mechanism::SuspendedTime) { self.boot } else { self.monotonic }
    }

    /// By how much the first is ahead.
    fn ahead(self) -> Millis {
        self.boot.saturating_sub(self.monotonic)
    }
}

/// Finds out that the VM was suspended.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{Clocks, SuspensionDetector};
///
/// let mut detector = SuspensionDetector::new(Clocks { boot: 50, monotonic: 10 });
/// assert_eq!(detector.poll(Clocks { boot: 150, monotonic: 110 }), None);
/// assert_eq!(detector.poll(Clocks { boot: 10_250, monotonic: 210 }), Some(10_000));
/// assert_eq!(detector.poll(Clocks { boot: 10_350, monotonic: 310 }), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    ahead: Millis,
}

impl SuspensionDetector {
    /// Looks for detector from this moment on.
    pub fn new(clocks: Clocks) -> Self {
        Self { ahead: clocks.ahead() }
    }

    /// For how long the VM was suspended since the last look, if it was.
    pub fn poll(&mut self, clocks: Clocks) -> Option<Millis> {
        let ahead = std::mem::replace(&mut self.ahead, clocks.ahead());
        let suspended = clocks.ahead().saturating_sub(ahead);
        (suspended >= SUSPENDED).then_some(suspended)
    }
}
