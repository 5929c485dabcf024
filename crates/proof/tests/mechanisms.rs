//! Checks that each mechanism is necessary: with it switched off, a simulation finds a violation.

use heathpitch_policy::{Mechanism, without};
use heathpitch_proof::{RunStats, Simulation, random_operations};

/// Seeds tried before a mechanism counts as unnecessary.
const SEEDS: u64 = 400;
const OPERATIONS: usize = 600;

/// Simulation in which a mechanism is necessary.
fn simulation(mechanism: Mechanism) -> Simulation {
    match mechanism {
        Mechanism::AttemptNumbers
        | Mechanism::Positions
        | Mechanism::ExplicitEnd
        | Mechanism::Evidence
        | Mechanism::NoRepeat => Simulation::Requests,
        Mechanism::ClaimReadBack | Mechanism::DispatchOnce | Mechanism::EvictedAsRun => {
            Simulation::Keys
        }
        Mechanism::DrainNotice | Mechanism::ListOrder => Simulation::Upstreams,
        Mechanism::RevisionOrder => Simulation::Config,
        Mechanism::Standbys
        | Mechanism::RandomizedReads
        | Mechanism::ListAge
        | Mechanism::SuspendedTime => Simulation::Feed,
    }
}

/// Operations until the first violation with the mechanism off, if any is found.
fn operations_to_breach(mechanism: Mechanism) -> Option<u64> {
    let mut stats = RunStats::default();
    for seed in 0..SEEDS {
        let operations = random_operations(seed, OPERATIONS);
        let result = without(mechanism, || {
            simulation(mechanism).run_catching_panics(&operations, &mut stats)
        });
        if let Err(violation) = result {
            println!("{mechanism:?}: after {} operations: {violation}", stats.operations);
            return Some(stats.operations);
        }
    }
    None
}

#[test]
fn every_mechanism_is_necessary() {
    std::panic::set_hook(Box::new(|_| {}));
    let unnecessary: Vec<Mechanism> =
        Mechanism::ALL.into_iter().filter(|m| operations_to_breach(*m).is_none()).collect();
    assert_eq!(
        unnecessary,
        Vec::<Mechanism>::new(),
        "no violation was found with these mechanisms off"
    );
}

#[test]
fn same_runs_pass_with_every_mechanism_on() {
    for mechanism in Mechanism::ALL {
        for seed in 0..40 {
            let mut stats = RunStats::default();
            let result = simulation(mechanism)
                .run_catching_panics(&random_operations(seed, OPERATIONS), &mut stats);
            assert_eq!(result, Ok(()), "seed {seed}");
        }
    }
}
