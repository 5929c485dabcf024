//! Nodes that poll a planner, and which of them are its standbys.

use std::collections::BTreeMap;

use heathpitch_core::{Forwarder, Millis, Name};

use crate::{STANDBYS, Source};

/// Time after its last poll for which a follower counts as present: two polls and the time limit of
/// an answer.
const PRESENT_MS: Millis = 1_200;
/// Time after its last poll for which a follower counts towards the size of its failure domain: one
/// that is cut off goes on using its share of the limits agreed for the fleet, and comes back.
const COUNTED_MS: Millis = 60_000;

/// A node that polls this one.
#[derive(Clone, Debug)]
struct Follower {
    source: Source,
    can_plan: bool,
    at: Millis,
    /// How it takes calls of other nodes; none if it does not.
    forwarder: Option<Forwarder>,
}

impl Follower {
    /// Whether it reaches the engines of every service, as far as it says so.
    fn reaches_all(&self) -> bool {
        self.forwarder.as_ref().is_none_or(|f| f.unserved.is_empty())
    }
}

/// The followers of a planner.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{Followers, Source};
///
/// let source = |node: &str| Source {
///     node: node.parse().unwrap(),
///     address: ([10, 0, 0, 1], 1).into(),
/// };
/// let mut followers = Followers::default();
/// followers.record_poll(source("n2"), false, 0);
/// followers.record_poll(source("n3"), true, 0);
/// assert_eq!(followers.standbys(10)[0], source("n3"), "its VM can run a planner");
/// assert_eq!(followers.count(10), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Followers {
    seen: BTreeMap<Name, Follower>,
    standbys: Vec<Name>,
}

/// # Updates
impl Followers {
    /// Records a poll by a node, and returns the time since its last one; `can_plan` says whether its VM can run a
    /// planner.
    pub fn record_poll(&mut self, source: Source, can_plan: bool, now: Millis) -> Option<Millis> {
        let last = self.seen.remove(&source.node);
        let silent = last.as_ref().map(|f| now.saturating_sub(f.at));
        let forwarder = last.and_then(|f| f.forwarder);
        let node = source.node.clone();
        self.seen.insert(node, Follower { source, can_plan, at: now, forwarder });
        silent
    }

    /// Records how a node that polled takes calls of other nodes; none if it does not.
    pub fn record_forwarder(&mut self, node: &Name, forwarder: Option<Forwarder>) {
        if let Some(follower) = self.seen.get_mut(node) {
            follower.forwarder = forwarder;
        }
    }

    /// Drops all followers, when this node stops being the planner.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Selects the standbys: nodes that can run a planner first, then those that reach the engines of
    /// every service, then the previous standbys, then by name.
    ///
    /// The selection changes as little as possible, so that all followers know the same standbys.
    pub fn standbys(&mut self, now: Millis) -> Vec<Source> {
        let mut present: Vec<&Follower> =
            self.seen.values().filter(|f| now < f.at + PRESENT_MS).collect();
        let rank = |f: &Follower| {
            let previous = self.standbys.iter().position(|n| n == &f.source.node);
            (!f.can_plan, !f.reaches_all(), previous.unwrap_or(STANDBYS))
        };
        // The sort is stable and keeps the order by name.
        present.sort_by_key(|f| rank(f));
        present.truncate(STANDBYS);
        let chosen: Vec<Source> = present.into_iter().map(|f| f.source.clone()).collect();
        self.standbys = chosen.iter().map(|s| s.node.clone()).collect();
        chosen
    }
}

/// # Queries
impl Followers {
    /// Whether a node polled within the last minute.
    pub fn contains(&self, node: &Name, now: Millis) -> bool {
        self.seen.get(node).is_some_and(|f| now < f.at + COUNTED_MS)
    }

    /// Present followers that take calls of other nodes.
    pub fn forwarders(&self, now: Millis) -> impl Iterator<Item = &Forwarder> {
        let present = self.seen.values().filter(move |f| now < f.at + PRESENT_MS);
        present.filter_map(|f| f.forwarder.as_ref())
    }

    /// Whether a present follower reaches the engines of every service; with `must_plan`, only those whose VM
    /// can run a planner count.
    pub fn has_connected(&self, must_plan: bool, now: Millis) -> bool {
        let mut present = self.seen.values().filter(|f| now < f.at + PRESENT_MS);
        present.any(|f| (f.can_plan || !must_plan) && f.forwarder.is_some() && f.reaches_all())
    }

    /// Number of followers that are present.
    pub fn present(&self, now: Millis) -> u32 {
        self.seen.values().filter(|f| now < f.at + PRESENT_MS).count() as u32
    }

    /// Number of followers that polled within the last minute.
    pub fn count(&self, now: Millis) -> u32 {
        self.seen.values().filter(|f| now < f.at + COUNTED_MS).count() as u32
    }
}
