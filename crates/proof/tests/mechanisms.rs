//! Each mechanism carries a promise: with it off, the runs find the breach.

use heathpitch_policy::{Mechanism, without};
use heathpitch_proof::{Tally, World, draw};

/// Seeds tried before a mechanism counts as carrying nothing.
const SEEDS: u64 = 400;
const LENGTH: usize = 600;

/// World in which a mechanism carries its promise.
fn world(mechanism: Mechanism) -> World {
    match mechanism {
        Mechanism::AttemptNumbers
        | Mechanism::Positions
        | Mechanism::ExplicitEnd
        | Mechanism::Evidence
        | Mechanism::NoRepeat => World::Requests,
        Mechanism::ClaimReadBack | Mechanism::DispatchOnce | Mechanism::EvictedAsRun => World::Keys,
        Mechanism::DrainNotice | Mechanism::ListOrder => World::Upstreams,
        Mechanism::RevisionOrder => World::Config,
        Mechanism::Standbys
        | Mechanism::RandomizedReads
        | Mechanism::ListAge
        | Mechanism::SuspendedTime => World::Telling,
    }
}

/// Operations until the first breach with the mechanism off.
fn operations_to_breach(mechanism: Mechanism) -> Option<u64> {
    let mut tally = Tally::default();
    for seed in 0..SEEDS {
        let operations = draw(seed, LENGTH);
        let ran = without(mechanism, || world(mechanism).run_caught(&operations, &mut tally));
        if let Err(breach) = ran {
            println!("{mechanism:?}: after {} operations: {breach}", tally.operations);
            return Some(tally.operations);
        }
    }
    None
}

#[test]
fn every_mechanism_carries_a_promise() {
    std::panic::set_hook(Box::new(|_| {}));
    let idle: Vec<Mechanism> =
        Mechanism::ALL.into_iter().filter(|m| operations_to_breach(*m).is_none()).collect();
    assert_eq!(idle, Vec::<Mechanism>::new(), "no breach was found with these off");
}

#[test]
fn the_same_runs_hold_with_every_mechanism_on() {
    for mechanism in Mechanism::ALL {
        for seed in 0..40 {
            let mut tally = Tally::default();
            let ran = world(mechanism).run_caught(&draw(seed, LENGTH), &mut tally);
            assert_eq!(ran, Ok(()), "seed {seed}");
        }
    }
}
