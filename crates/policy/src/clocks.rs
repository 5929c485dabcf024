//! Time for decisions, including time in which the VM was suspended.
//!
//! A VM's monotonic clock stops while the VM is suspended, but its boot-time clock goes on, as do
//! the store, the engines and other VMs. A node that went by the monotonic clock would treat old
//! information as fresh, and act on revoked keys, expired leases and engines that have left.

use heathpitch_core::Millis;

use crate::switch::{Mechanism, on};

/// Shortest suspension detected; larger than the resolution of both clocks and the time between
/// reading them.
const MIN_SUSPENSION_MS: Millis = 100;

/// Readings of a VM's clocks at one moment, milliseconds since their own origins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clocks {
    /// Boot-time clock, which goes on while the VM is suspended.
    pub boot: Millis,
    /// Monotonic clock, which timers use.
    pub monotonic: Millis,
}

impl Clocks {
    /// Current time for decisions on authority, freshness and remaining time.
    pub fn now(self) -> Millis {
        if on(Mechanism::SuspendedTime) { self.boot } else { self.monotonic }
    }

    /// Lead of the boot-time clock over the monotonic one.
    fn boot_lead(self) -> Millis {
        self.boot.saturating_sub(self.monotonic)
    }
}

/// Detects suspensions of the VM.
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
    boot_lead: Millis,
}

impl SuspensionDetector {
    /// Detects suspensions from this moment on.
    pub fn new(clocks: Clocks) -> Self {
        Self { boot_lead: clocks.boot_lead() }
    }

    /// Duration of a suspension since the last call, if there was one.
    pub fn poll(&mut self, clocks: Clocks) -> Option<Millis> {
        let boot_lead = std::mem::replace(&mut self.boot_lead, clocks.boot_lead());
        let suspended = clocks.boot_lead().saturating_sub(boot_lead);
        (suspended >= MIN_SUSPENSION_MS).then_some(suspended)
    }
}
