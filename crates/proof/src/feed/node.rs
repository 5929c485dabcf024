//! Node of the feed simulation, with its own clock.

use heathpitch_core::{Millis, Name};
use heathpitch_policy::{Clocks, Followers, Quarantine, Source, Sources};

use super::{DOMAIN_SIZE, NODES};

/// State of a node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) sources: Sources,
    pub(super) followers: Followers,
    pub(super) quarantine: Quarantine,
    pub(super) alive: bool,
    pub(super) frozen_until: Millis,
    /// Time for which its VM was suspended, which its monotonic clock did not count.
    pub(super) suspended: Millis,
    pub(super) is_planner: bool,
    /// Whether its last read of the store succeeded.
    pub(super) last_read_ok: bool,
    /// Version of its list, and the time of its proof on the node's clock.
    pub(super) list: Option<(usize, Millis)>,
    pub(super) next_poll: Millis,
    pub(super) next_read: Millis,
    pub(super) next_remote_poll: Millis,
}

impl Node {
    /// Converts a time of the simulation to the node's own clock.
    pub(super) fn clock(&self, at: Millis) -> Millis {
        // Never negative, because the simulation starts late enough.
        Clocks { boot: at, monotonic: at - self.suspended }.now()
    }

    /// Version of its list, and the age of its proof by the node's clock.
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

/// Name of the failure domain of a node; domains share the names of the first nodes.
pub(super) fn domain(i: usize) -> Name {
    name(i / DOMAIN_SIZE)
}

/// Index of the node of a source.
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
        frozen_until: 0,
        suspended: 0,
        is_planner: false,
        last_read_ok: true,
        list: None,
        next_poll: now,
        next_read: now,
        next_remote_poll: now,
    }
}
