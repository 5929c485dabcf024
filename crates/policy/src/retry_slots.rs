//! Numbers of promised retries by slot of time.
//!
//! Nodes exchange only offsets from the present, so each places the slots on its own clock. All
//! nodes use the boundaries of their planner's slots: otherwise a slot that is full on one node
//! would reach into two slots of another.

use std::collections::BTreeMap;

use heathpitch_core::Millis;

/// Length of a slot, milliseconds: a few engine steps, and well below the time for which a burst
/// lasts.
pub(crate) const SLOT_MS: Millis = 250;
/// Latest start of a slot from now, milliseconds: three tenths of the longest deadline in use
/// (20 s), and a second for polls in between.
pub(crate) const HORIZON_MS: Millis = 7_000;
/// Most retries counted in one slot: far beyond any admission rate, so that repeated messages
/// can't overflow.
const MAX_COUNT: u32 = 1_000_000;
/// Most slots counted: those of the horizon, and some around both ends.
const MAX_SLOTS: usize = 32;
/// Difference between the boundaries of two nodes that is put down to the delay of messages,
/// milliseconds.
const JITTER_MS: Millis = 20;

/// Boundaries of slots on a node's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SlotGrid {
    shift: Millis,
}

impl SlotGrid {
    /// The grid with a boundary at `start`.
    pub(crate) fn through(start: Millis) -> Self {
        Self { shift: SLOT_MS - start % SLOT_MS }
    }

    /// Start of the slot that contains `at`.
    pub(crate) fn start(self, at: Millis) -> Millis {
        at.saturating_sub((at + self.shift) % SLOT_MS)
    }

    /// Start of the slot that has most in common with one of another grid that starts at `start`.
    pub(crate) fn nearest(self, start: Millis) -> Millis {
        self.start(start + SLOT_MS / 2)
    }

    /// Start of the slot that a message of `base` places `offset` milliseconds ahead; an offset of
    /// zero stands for the slot in progress.
    pub(crate) fn at(self, base: Millis, offset: Millis) -> Millis {
        if offset == 0 { self.start(base) } else { self.nearest(base + offset) }
    }

    /// Whether a slot that starts at `start` is off this grid by more than the delay of messages.
    pub(crate) fn differs(self, start: Millis) -> bool {
        self.nearest(start).abs_diff(start) > JITTER_MS
    }
}

/// Retries by start of their slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RetrySlots {
    counts: BTreeMap<Millis, u32>,
}

/// # Updates
impl RetrySlots {
    /// Adds retries to the slot that starts at `start`.
    pub(crate) fn add(&mut self, start: Millis, count: u32) {
        if count == 0 || (self.counts.len() >= MAX_SLOTS && !self.counts.contains_key(&start)) {
            return;
        }
        let sum = self.counts.entry(start).or_default();
        *sum = sum.saturating_add(count).min(MAX_COUNT);
    }

    /// Removes retries from the slot that starts at `start`.
    pub(crate) fn sub(&mut self, start: Millis, count: u32) {
        if let Some(sum) = self.counts.get_mut(&start) {
            *sum = sum.saturating_sub(count);
        }
    }

    /// Adds all retries of `other`.
    pub(crate) fn merge(&mut self, other: &Self) {
        other.iter().for_each(|(start, count)| self.add(start, count));
    }

    /// Drops slots that ended before `now`.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.counts.retain(|start, count| *count > 0 && start + SLOT_MS > now);
    }

    /// Moves all slots to the boundaries of `grid`.
    pub(crate) fn align(&mut self, grid: SlotGrid) {
        let old = std::mem::take(self);
        old.iter().for_each(|(start, count)| self.add(grid.nearest(start), count));
    }
}

/// # Queries
impl RetrySlots {
    /// Retries in the slot that starts at `start`.
    pub(crate) fn count(&self, start: Millis) -> u32 {
        self.counts.get(&start).copied().unwrap_or(0)
    }

    /// Retries in all slots.
    pub(crate) fn total(&self) -> u32 {
        self.counts.values().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Start and retries of each slot, the earliest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Millis, u32)> {
        self.counts.iter().map(|(start, count)| (*start, *count))
    }
}
