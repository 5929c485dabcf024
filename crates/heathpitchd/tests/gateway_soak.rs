//! A short run of the soak on fixed seeds; longer ones are played by hand (`heathpitch-soak`).

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use std::path::PathBuf;
use std::time::Duration;

use heathpitch_soak::{Script, run};

/// Seeds played each time, and the time for which faults begin.
const SEEDS: [(u64, Duration); 3] = [
    (1, Duration::from_secs(5)),
    (2, Duration::from_secs(5)),
    // A node's watch of the engines died without a word; it sent calls to engines that had left.
    (2_017, Duration::from_secs(12)),
];

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_whatever_goes_wrong() {
    for (seed, length) in SEEDS {
        let script = Script::draw(seed, length);
        play(&script).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_while_engines_start_again_and_others_write_entries() {
    play(&Script::draw(3, Duration::from_secs(5)).with_lives()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_while_vms_are_suspended_and_a_request_ends_engines() {
    for seed in [4, 5] {
        play(&Script::draw(seed, Duration::from_secs(8)).with_ends()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_while_engines_ask_for_rest_and_the_store_comes_back_older() {
    for seed in [6, 7] {
        play(&Script::draw(seed, Duration::from_secs(8)).with_wishes().with_returns()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_while_engines_name_limits() {
    for seed in [8, 9] {
        play(&Script::draw(seed, Duration::from_secs(12)).with_limits()).await;
    }
}

/// An engine behind the first named a limit, which the store kept; all nodes began anew, and it did not end for them.
#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_when_a_limit_ends_after_all_nodes_began_anew() {
    let script = Script::draw(44_029, Duration::from_secs(12));
    play(&script.with_lives().with_ends().with_wishes().with_returns().with_limits()).await;
}

async fn play(script: &Script) {
    println!("seed {}: {:?}", script.seed, script.steps);
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_heathpitchd"));
    let report = run(binary, script).await.unwrap();
    assert!(report.calls > 100, "{} calls", report.calls);
    assert_eq!(report.breaches, [], "seed {}", script.seed);
}
