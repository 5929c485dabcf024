//! A node of the world of telling, with its own clock.

use heathpitch_core::{Millis, Name};
use heathpitch_policy::{Clocks, Followers, Source, Sources};

use crate::telling::{BESIDE, NODES};

/// A node: what it knows, and whether it runs.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) sources: Sources,
    pub(crate) followers: Followers,
    pub(crate) alive: bool,
    /// Until when it stands still.
    pub(crate) frozen: Millis,
    /// Time in which its VM was suspended, which its steady clock did not count.
    pub(crate) suspended: Millis,
    pub(crate) plans: bool,
    pub(crate) reachable: bool,
    /// Version of the list that it knows, and when that was proven, on its own clock.
    pub(crate) list: Option<(usize, Millis)>,
    pub(crate) next_ask: Millis,
    pub(crate) next_read: Millis,
}

impl Node {
    /// A moment of the world on the node's own clock.
    pub(crate) fn clock(&self, at: Millis) -> Millis {
        // The world begins late enough for it never to be negative.
        Clocks { boot: at, steady: at - self.suspended }.now()
    }

    /// The list that it knows, and how old its proof seems to it.
    pub(crate) fn known(&self, now: Millis) -> Option<(usize, Millis)> {
        self.list.map(|(version, at)| (version, self.clock(now).saturating_sub(at)))
    }
}

thread_local! {
    static NAMES: Vec<Name> =
        (0..NODES).map(|i| heathpitch_core::digest(&[b"node", &[i as u8]])).collect();
}

pub(crate) fn name(i: usize) -> Name {
    NAMES.with(|names| names[i].clone())
}

/// Domains have names of the same kind.
pub(crate) fn domain(i: usize) -> Name {
    name(i / BESIDE)
}

/// The node that a source names.
pub(crate) fn index(source: &Source) -> Option<usize> {
    NAMES.with(|names| names.iter().position(|n| n == &source.node))
}

pub(crate) fn source(i: usize) -> Source {
    Source { node: name(i), address: ([10, 0, 0, i as u8], 7).into() }
}

pub(crate) fn node(i: usize, now: Millis) -> Node {
    Node {
        sources: Sources::new(name(i), domain(i), now),
        followers: Followers::default(),
        alive: true,
        frozen: 0,
        suspended: 0,
        plans: false,
        reachable: true,
        list: None,
        next_ask: now,
        next_read: now,
    }
}
