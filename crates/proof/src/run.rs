//! Input and statistics of a run.

use std::collections::BTreeMap;

/// Counts of operations, events and faults of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunStats {
    /// Operations executed.
    pub operations: u64,
    /// Events and checks, by name.
    pub events: BTreeMap<&'static str, u64>,
    /// Injected faults, by name.
    pub faults: BTreeMap<&'static str, u64>,
}

impl RunStats {
    pub(crate) fn event(&mut self, name: &'static str) {
        *self.events.entry(name).or_default() += 1;
    }

    pub(crate) fn fault(&mut self, name: &'static str) {
        *self.faults.entry(name).or_default() += 1;
    }
}

/// Random number from which the choices of one operation are taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entropy(u64);

impl Entropy {
    pub(crate) fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns a number below `n` and replaces the state by one mixed from the rest of it.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        let n = n.max(1) as u64;
        let value = self.0 % n;
        self.0 = (self.0 / n).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (self.0 >> 17);
        value as usize
    }
}
