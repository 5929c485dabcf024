//! Short soak runs with fixed seeds; longer ones are run by hand with `heathpitch-soak`.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

use std::path::PathBuf;
use std::time::Duration;

use heathpitch_soak::{Script, run};

/// Seeds, and the time in which faults are injected.
const SEEDS: [(u64, Duration); 3] = [
    (1, Duration::from_secs(5)),
    (2, Duration::from_secs(5)),
    // A node's watch of the engines failed silently, so that it sent calls to engines that had
    // left.
    (2_017, Duration::from_secs(12)),
];

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() {
    for (seed, length) in SEEDS {
        let script = Script::draw(seed, length);
        run_script(&script).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_engines_restart_and_others_write_entries() {
    run_script(&Script::draw(3, Duration::from_secs(5)).with_lives()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_vms_are_suspended_and_a_request_crashes_engines() {
    for seed in [4, 5] {
        run_script(&Script::draw(seed, Duration::from_secs(8)).with_ends()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_engines_ask_for_pauses_and_the_store_is_restored() {
    for seed in [6, 7] {
        run_script(&Script::draw(seed, Duration::from_secs(8)).with_wishes().with_returns()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_engines_set_rate_limits() {
    for seed in [8, 9] {
        run_script(&Script::draw(seed, Duration::from_secs(12)).with_limits()).await;
    }
}

/// An engine downstream of the first one had set a rate limit, which the store kept. After all
/// nodes had restarted, the limit never ended for them.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_a_limit_ends_after_all_nodes_restarted() {
    let script = Script::draw(44_029, Duration::from_secs(12));
    run_script(&script.with_lives().with_ends().with_wishes().with_returns().with_limits()).await;
}

async fn run_script(script: &Script) {
    println!("seed {}: {:?}", script.seed, script.steps);
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_heathpitchd"));
    let report = run(binary, script).await.unwrap();
    assert!(report.calls > 100, "{} calls", report.calls);
    assert_eq!(report.breaches, [], "seed {}", script.seed);
}
