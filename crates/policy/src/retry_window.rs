//! Second sends within a sliding window.

use std::collections::VecDeque;

use heathpitch_core::Millis;

/// Parts of a window that are counted apart.
const PARTS: u64 = 20;
/// Share of what is agreed that is used: calls and second sends arrive at an engine later than they are counted here.
const MARGIN: f64 = 0.85;
/// Windows for which a node keeps its rounding: a window in which that changes may hold what both let through.
const ROUNDING_WINDOWS: u64 = 6;
/// Nodes that draw anew at about the same time have seeds this much further apart for what they draw, so that they do not
/// all round up together.
const SEED_SPREAD: f64 = 4_096.0;
/// Its multiples are spread evenly over the parts of one.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// What is agreed for a fleet, or one node's share of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// Second sends for each call.
    pub ratio: f64,
    /// Second sends beyond that, in any window.
    pub slack: f64,
    /// Length of a window.
    pub window: Millis,
}

impl RetryShare {
    /// A node's share at `now` of what is agreed for a fleet of so many nodes.
    ///
    /// A node's slack is a whole number of second sends. Rounded down it would leave most of what is agreed unused where it is
    /// one or two, and one for each node at least would be more than is agreed for a large fleet. So a node rounds up or
    /// down by a draw of `seed`, from 0 to 1, which it keeps for some windows: all nodes together send as many as they may.
    ///
    /// Where the size of the fleet is not known a node has no part of the slack, since no assumed size holds for every
    /// fleet.
    pub fn of_node(&self, nodes: Option<u32>, seed: f64, now: Millis) -> Self {
        let slack = nodes.map_or(0.0, |nodes| self.slack * MARGIN / f64::from(nodes.max(1)));
        let slack = (slack + self.rounding(seed, now)).floor();
        Self { ratio: self.ratio * MARGIN, slack, ..*self }
    }

    /// What a node adds before rounding down; nodes draw it anew at different times.
    fn rounding(&self, seed: f64, now: Millis) -> f64 {
        let span = (self.window * ROUNDING_WINDOWS).max(1) as f64;
        let turn = (now as f64 / span + seed).floor();
        (seed * SEED_SPREAD + turn * GOLDEN_RATIO).fract()
    }
}

/// Holds one node's second sends to its share in every window.
///
/// Calls count over a window less a part, second sends over a window and a part, so that no window
/// of the agreed length holds more, wherever it begins.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{RetryShare, RetryWindow};
///
/// let share = RetryShare { ratio: 0.5, slack: 1.0, window: 1_000 };
/// let mut window = RetryWindow::default();
/// (0..4).for_each(|_| window.call(&share, 0));
/// let sent = (0..9).filter(|_| window.spend(&share, 10)).count();
/// assert_eq!(sent, 3);
/// assert!(window.spend(&share, 2_000));
/// assert!(!window.spend(&share, 2_000));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryWindow {
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Part {
    number: u64,
    calls: u32,
    spent: u32,
}

impl RetryWindow {
    /// Counts a call.
    pub fn call(&mut self, share: &RetryShare, now: Millis) {
        self.part(share, now).calls += 1;
    }

    /// Takes a second send, if the share has one left.
    pub fn spend(&mut self, share: &RetryShare, now: Millis) -> bool {
        let number = self.part(share, now).number;
        let young = |p: &&Part| p.number + PARTS > number + 1;
        let calls: u32 = self.parts.iter().filter(young).map(|p| p.calls).sum();
        let spent: u32 = self.parts.iter().map(|p| p.spent).sum();
        let most = share.slack + share.ratio * f64::from(calls);
        let left = f64::from(spent + 1) <= most;
        if left {
            self.part(share, now).spent += 1;
        }
        left
    }

    /// The part of now; parts older than a window and a part are forgotten.
    fn part(&mut self, share: &RetryShare, now: Millis) -> &mut Part {
        let number = now / (share.window / PARTS).max(1);
        self.parts.retain(|p| p.number + PARTS >= number);
        if self.parts.back().is_none_or(|p| p.number < number) {
            self.parts.push_back(Part { number, calls: 0, spent: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
