//! Short randomized runs of every simulation. `PROPTEST_RNG_SEED` replays one.

use std::cell::Cell;

use heathpitch_proof::{RunStats, Simulation, random_operations};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Seed used unless the environment sets one.
const DEFAULT_SEED: u64 = 20_261_202;
const CASES: u32 = 300;
/// Cases of the membership and feed simulations, each of which runs many rounds of every node.
const LARGE_CASES: u32 = 40;
const MAX_OPERATIONS: usize = 400;

fn assert_holds(simulation: Simulation) {
    let seed = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|s| s.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}");
    let config = Config {
        cases: if matches!(simulation, Simulation::Membership | Simulation::Feed) {
            LARGE_CASES
        } else {
            CASES
        },
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    };
    let total = Cell::new(0);
    let result = TestRunner::new(config).run(&vec(any::<u64>(), 1..MAX_OPERATIONS), |operations| {
        let mut stats = RunStats::default();
        let result = simulation.run_catching_panics(&operations, &mut stats);
        total.set(total.get() + stats.operations);
        result.map_err(|v| TestCaseError::fail(v.to_string()))
    });
    println!("{simulation:?}: {} operations", total.get());
    assert!(result.is_ok(), "{simulation:?}: {result:?}");
}

#[test]
fn requests_satisfy_their_properties() {
    assert_holds(Simulation::Requests);
}

#[test]
fn keys_are_dispatched_at_most_once() {
    assert_holds(Simulation::Keys);
}

#[test]
fn configuration_never_reverts() {
    assert_holds(Simulation::Config);
}

#[test]
fn draining_upstreams_get_no_requests() {
    assert_holds(Simulation::Upstreams);
}

#[test]
fn members_find_each_other() {
    assert_holds(Simulation::Membership);
}

#[test]
fn relayed_store_data_is_correct_and_fresh() {
    assert_holds(Simulation::Feed);
}

/// A node that had read the store itself had a slightly newer proof than its planner, declined the
/// planner's list for that reason, and kept reading the store forever.
#[test]
fn a_node_that_read_the_store_returns_to_its_source() {
    for seed in [10, 65, 80, 90, 191, 344, 362] {
        let result = Simulation::Feed
            .run_catching_panics(&random_operations(seed, 400), &mut RunStats::default());
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

/// Nodes kept relaying a dead node to each other, so that it was never removed.
#[test]
fn a_dead_node_is_not_kept_alive_by_others() {
    for seed in [18, 73, 145, 446, 452, 474, 483, 550] {
        let result = Simulation::Membership
            .run_catching_panics(&random_operations(seed, 2_000), &mut RunStats::default());
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

/// A key that had run was evicted from the idempotency table and requested again. The claim failed
/// because the store did not respond, and the key was then treated as never run. Found by a long run
/// over 23,500 seeds.
#[test]
fn evicted_keys_are_dispatched_at_most_once() {
    for seed in [20_762, 25_713] {
        let result = Simulation::Keys
            .run_catching_panics(&random_operations(seed, 2_000), &mut RunStats::default());
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

/// Two reports of an engine arrived before the first list of VMs, in reverse order, and the older
/// one replaced the newer one.
#[test]
fn reports_before_the_first_list_do_not_revert() {
    let result = Simulation::Upstreams
        .run_catching_panics(&random_operations(5_208, 2_000), &mut RunStats::default());
    assert_eq!(result, Ok(()));
}
