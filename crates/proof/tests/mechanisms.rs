//! Each mechanism carries a promise: with it off, the runs find the violation.

use heathpitch_policy::{Mechanism, without};
use heathpitch_proof::{RunStats, Simulation, random_operations};

/// Seeds tried before a mechanism counts as carrying nothing.
const SEEDS: u64 = 400;
const LENGTH: usize = 600;

/// Simulation in which a mechanism carries its promise.
fn world(mechanism: Mechanism) -> Simulation {
    match mechanism {
        Mechanism::AttemptNumbers
        | Mechanism::Positions
        | Mechanism::ExplicitEnd
        | Mechanism::Evidence
        | Mechanism::NoRepeat => Simulation::Requests,
        Mechanism::ClaimReadBack | Mechanism::LedgerOnce | Mechanism::ForgottenIsRun => {
            Simulation::Keys
        }
        Mechanism::DrainNotice | Mechanism::ListOrder => Simulation::Upstreams,
        Mechanism::RevisionOrder => Simulation::Config,
        Mechanism::Standbys
        | Mechanism::RandomTurns
        | Mechanism::ListAge
        | Mechanism::SuspendedTime => Simulation::Feed,
    }
}

/// Operations until the first violation with the mechanism off.
fn operations_to_breach(mechanism: Mechanism) -> Option<u64> {
    let mut stats = RunStats::default();
    for seed in 0..SEEDS {
        let operations = random_operations(seed, LENGTH);
        let ran =
            without(mechanism, || world(mechanism).run_catching_panics(&operations, &mut stats));
        if let Err(violation) = ran {
            println!("{mechanism:?}: after {} operations: {violation}", stats.operations);
            return Some(stats.operations);
        }
    }
    None
}

#[test]
fn every_mechanism_carries_a_promise() {
    std::panic::set_hook(Box::new(|_| {}));
    let idle: Vec<Mechanism> =
        Mechanism::ALL.into_iter().filter(|m| operations_to_breach(*m).is_none()).collect();
    assert_eq!(idle, Vec::<Mechanism>::new(), "no violation was found with these off");
}

#[test]
fn the_same_runs_hold_with_every_mechanism_on() {
    for mechanism in Mechanism::ALL {
        for seed in 0..40 {
            let mut stats = RunStats::default();
            let ran =
                world(mechanism).run_catching_panics(&random_operations(seed, LENGTH), &mut stats);
            assert_eq!(ran, Ok(()), "seed {seed}");
        }
    }
}
