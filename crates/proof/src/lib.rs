//! Proof of heathpitch's promises over its state machines.
//!
//! Each world drives the real state machines with random operations and faults and checks them
//! against what really happened there. Nothing here is published.

mod config;
mod feed;
mod keys;
mod matrix;
mod membership;
mod requests;
mod run;
mod upstreams;
mod violation;

pub use matrix::{Cell, CellResult, Fault, Step, cells, run_cell};
pub use run::RunStats;
pub use violation::{Property, Violation};

use std::panic::{AssertUnwindSafe, catch_unwind};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A world of state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Simulation {
    /// Requests over paths of engines.
    Requests,
    /// Keys of requests that may not be repeated.
    Keys,
    /// Copies of the configuration.
    Config,
    /// Upstreams that come, fail and leave.
    Upstreams,
    /// Membership between nodes.
    Membership,
    /// What the store holds, told between nodes.
    Feed,
}

impl Simulation {
    /// Every world.
    pub const ALL: [Simulation; 6] = [
        Simulation::Requests,
        Simulation::Keys,
        Simulation::Config,
        Simulation::Upstreams,
        Simulation::Membership,
        Simulation::Feed,
    ];

    /// Runs one operation for each number.
    ///
    /// # Errors
    ///
    /// The first [`Violation`] of a promise.
    pub fn run(self, operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
        match self {
            Simulation::Requests => requests::run(operations, stats),
            Simulation::Keys => keys::run(operations, stats),
            Simulation::Config => config::run(operations, stats),
            Simulation::Upstreams => upstreams::run(operations, stats),
            Simulation::Membership => membership::run(operations, stats),
            Simulation::Feed => feed::run(operations, stats),
        }
    }

    /// Runs as [`Simulation::run`]; an invariant violated inside the program is a violation too.
    ///
    /// # Errors
    ///
    /// The first [`Violation`].
    pub fn run_catching_panics(
        self,
        operations: &[u64],
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let ran = catch_unwind(AssertUnwindSafe(|| self.run(operations, stats)));
        ran.unwrap_or_else(|panic| {
            let text = panic.downcast_ref::<String>().cloned().unwrap_or_default();
            Err(Violation::new(Property::Invariant, text))
        })
    }
}

/// `count` operations drawn from a seed.
pub fn random_operations(seed: u64, count: usize) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..count).map(|_| rng.random()).collect()
}
