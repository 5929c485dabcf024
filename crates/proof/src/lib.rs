//! Randomized simulations and a fault matrix that check heathpitch's guarantees.
//!
//! Each simulation drives the production state machines with random operations and faults, and
//! compares their results with the simulated state. This crate is not published.

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

/// Simulation of a group of state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Simulation {
    /// Requests over paths of engines.
    Requests,
    /// Idempotency keys of requests that may not be repeated.
    Keys,
    /// Replication of the configuration.
    Config,
    /// Upstreams that start, fail and drain.
    Upstreams,
    /// Membership of nodes.
    Membership,
    /// Content of the store, relayed between nodes.
    Feed,
}

impl Simulation {
    /// Every simulation.
    pub const ALL: [Simulation; 6] = [
        Simulation::Requests,
        Simulation::Keys,
        Simulation::Config,
        Simulation::Upstreams,
        Simulation::Membership,
        Simulation::Feed,
    ];

    /// Runs one operation per number.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`].
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

    /// Runs like [`Simulation::run`], and reports a panic as a violated invariant.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`].
    pub fn run_catching_panics(
        self,
        operations: &[u64],
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let result = catch_unwind(AssertUnwindSafe(|| self.run(operations, stats)));
        result.unwrap_or_else(|panic| {
            let text = panic.downcast_ref::<String>().cloned().unwrap_or_default();
            Err(Violation::new(Property::Invariant, text))
        })
    }
}

/// Returns `count` operations generated from a seed.
pub fn random_operations(seed: u64, count: usize) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..count).map(|_| rng.random()).collect()
}
