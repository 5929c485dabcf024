//! Proof of heathpitch's promises over its state machines.
//!
//! Each world drives the real state machines with random operations and faults and checks them
//! against what really happened there. Nothing here is published.

mod breach;
mod config;
mod keys;
mod matrix;
mod members;
mod requests;
mod tally;
mod telling;
mod upstreams;

pub use breach::{Breach, Promise};
pub use matrix::{Cell, Fault, Step, Verdict as CellVerdict, cells, run_cell};
pub use tally::Tally;

use std::panic::{AssertUnwindSafe, catch_unwind};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A world of state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum World {
    /// Requests over paths of engines.
    Requests,
    /// Keys of requests that may not be repeated.
    Keys,
    /// Copies of the configuration.
    Config,
    /// Upstreams that come, fail and leave.
    Upstreams,
    /// Membership between nodes.
    Members,
    /// What the store holds, told between nodes.
    Telling,
}

impl World {
    /// Every world.
    pub const ALL: [World; 6] = [
        World::Requests,
        World::Keys,
        World::Config,
        World::Upstreams,
        World::Members,
        World::Telling,
    ];

    /// Runs one operation for each number.
    ///
    /// # Errors
    ///
    /// The first [`Breach`] of a promise.
    pub fn run(self, operations: &[u64], tally: &mut Tally) -> Result<(), Breach> {
        match self {
            World::Requests => requests::run(operations, tally),
            World::Keys => keys::run(operations, tally),
            World::Config => config::run(operations, tally),
            World::Upstreams => upstreams::run(operations, tally),
            World::Members => members::run(operations, tally),
            World::Telling => telling::run(operations, tally),
        }
    }

    /// Runs as [`World::run`]; an invariant violated inside the program is a breach too.
    ///
    /// # Errors
    ///
    /// The first [`Breach`].
    pub fn run_caught(self, operations: &[u64], tally: &mut Tally) -> Result<(), Breach> {
        let ran = catch_unwind(AssertUnwindSafe(|| self.run(operations, tally)));
        ran.unwrap_or_else(|panic| {
            let text = panic.downcast_ref::<String>().cloned().unwrap_or_default();
            Err(Breach::new(Promise::Invariant, text))
        })
    }
}

/// `count` operations drawn from a seed.
pub fn draw(seed: u64, count: usize) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..count).map(|_| rng.random()).collect()
}
