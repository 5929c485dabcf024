//! Whom a planner tells, and which of them stand by for it.

use std::collections::BTreeMap;

use heathpitch_core::{Millis, Name};

use crate::{STANDBYS, Source};

/// Time after its last question for which a follower counts as there, milliseconds: two questions and an
/// answer's limit.
const PRESENT: Millis = 1_200;
/// Time for which a follower counts for the size of its failure domain, milliseconds: one that is cut
/// off uses its share of what is agreed for the fleet, and comes back.
const COUNTED: Millis = 60_000;

/// A node that asks this one.
#[derive(Clone, Debug)]
struct Follower {
    source: Source,
    able: bool,
    at: Millis,
}

/// The followers of a planner.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{Followers, Source};
///
/// let source = |node: &str| Source { node: node.parse().unwrap(), address: ([10, 0, 0, 1], 1).into() };
/// let mut followers = Followers::default();
/// followers.record_poll(source("n2"), false, 0);
/// followers.record_poll(source("n3"), true, 0);
/// assert_eq!(followers.standbys(10)[0], source("n3"), "whose VM can carry it");
/// assert_eq!(followers.count(10), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Followers {
    seen: BTreeMap<Name, Follower>,
    standbys: Vec<Name>,
}

/// # Changes
impl Followers {
    /// Takes note that a node asked, whose VM can carry a planner's work or not.
    pub fn record_poll(&mut self, source: Source, able: bool, now: Millis) {
        self.seen.insert(source.node.clone(), Follower { source, able, at: now });
    }

    /// Forgets all, when this node ceases to plan.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// The standbys: able ones first, among these the ones of before, then by name.
    ///
    /// They change as little as can be, so that all followers know the same ones.
    pub fn standbys(&mut self, now: Millis) -> Vec<Source> {
        let mut present: Vec<&Follower> =
            self.seen.values().filter(|f| now < f.at + PRESENT).collect();
        let place = |f: &Follower| {
            let before = self.standbys.iter().position(|n| n == &f.source.node);
            (!f.able, before.unwrap_or(STANDBYS))
        };
        // Sorting keeps the order of names among equals.
        present.sort_by_key(|f| place(f));
        present.truncate(STANDBYS);
        let chosen: Vec<Source> = present.into_iter().map(|f| f.source.clone()).collect();
        self.standbys = chosen.iter().map(|s| s.node.clone()).collect();
        chosen
    }
}

/// # Reading
impl Followers {
    /// Nodes that are there now.
    pub fn present(&self, now: Millis) -> u32 {
        self.seen.values().filter(|f| now < f.at + PRESENT).count() as u32
    }

    /// Nodes that have asked within the last minute.
    pub fn count(&self, now: Millis) -> u32 {
        self.seen.values().filter(|f| now < f.at + COUNTED).count() as u32
    }
}
