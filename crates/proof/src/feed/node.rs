//! A node of the world of telling, with its own clock.

use heathpitch_core::{Millis, Name};
use heathpitch_policy::{Clocks, Followers, Quarantine, Source, Sources};

use super::{BESIDE, NODES};

/// A node: what it knows, and whether it runs.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) sources: Sources,
    pub(super) followers: Followers,
    pub(super) quarantine: Quarantine,
    pub(super) alive: bool,
    /// Until when it stands still.
    pub(super) frozen: Millis,
    /// Time in which its VM was suspended, which its steady clock did not count.
    pub(super) suspended: Millis,
    pub(super) plans: bool,
    pub(super) reachable: bool,
    /// Version of the list that it knows, and when that was proven, on its own clock.
    pub(super) list: Option<(usize, Millis)>,
    pub(super) next_ask: Millis,
    pub(super) next_read: Millis,
    pub(super) next_near: Millis,
}

impl Node {
    /// A moment of the world on the node's own clock.
    pub(super) fn clock(&self, at: Millis) -> Millis {
        // The world begins late enough for it never to be negative.
        Clocks { boot: at, monotonic: at - self.suspended }.now()
    }

    /// The list that it knows, and how old its proof seems to it.
    pub(super) fn known(&self, now: Millis) -> Option<(usize, Millis)> {
        self.list.map(|(version, at)| (version, self.clock(now).saturating_sub(at)))
    }
}

thread_local! {
    static NAMES: Vec<Name> =
        (0..NODES).map(|i| heathpitch_core::digest(&[b"node", &[i as u8]])).collect();
}

pub(super) fn name(i: usize) -> Name {
    NAMES.with(|names| names[i].clone())
}

/// Domains have names of the same kind.
pub(super) fn domain(i: usize) -> Name {
    name(i / BESIDE)
}

/// The node that a source names.
pub(super) fn index(source: &Source) -> Option<usize> {
    NAMES.with(|names| names.iter().position(|n| n == &source.node))
}

pub(super) fn source(i: usize) -> Source {
    Source { node: name(i), address: ([10, 0, 0, i as u8], 7).into() }
}

pub(super) fn node(i: usize, now: Millis) -> Node {
    Node {
        sources: Sources::new(name(i), domain(i), now),
        followers: Followers::default(),
        quarantine: Quarantine::default(),
        alive: true,
        frozen: 0,
        suspended: 0,
        plans: false,
        reachable: true,
        list: None,
        next_ask: now,
        next_read: now,
        next_near: now,
    }
}
