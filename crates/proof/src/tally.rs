//! Counts of what a run did.

use std::collections::BTreeMap;

/// Operations and faults of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Operations carried out.
    pub operations: u64,
    /// Things that ended or were checked, by name.
    pub events: BTreeMap<&'static str, u64>,
    /// Faults, by name.
    pub faults: BTreeMap<&'static str, u64>,
}

impl Tally {
    pub(crate) fn event(&mut self, name: &'static str) {
        *self.events.entry(name).or_default() += 1;
    }

    pub(crate) fn fault(&mut self, name: &'static str) {
        *self.faults.entry(name).or_default() += 1;
    }
}

/// The parts of one random number that an operation is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) fn new(number: u64) -> Self {
        Self(number)
    }

    /// A number below `n`, used up.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        let n = n.max(1) as u64;
        let drawn = self.0 % n;
        self.0 = (self.0 / n).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (self.0 >> 17);
        drawn as usize
    }
}
