//! A short run of the soak on fixed seeds; longer ones are played by hand (`heathpitch-soak`).

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use std::path::PathBuf;
use std::time::Duration;

use heathpitch_soak::{Script, run};

/// Seeds played each time. One that ever failed by hand is added, with a line on the cause.
const SEEDS: [u64; 2] = [1, 2];
/// Time for which faults begin.
const LENGTH: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_whatever_goes_wrong() {
    for seed in SEEDS {
        let script = Script::draw(seed, LENGTH);
        println!("seed {seed}: {:?}", script.steps);
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_heathpitchd"));
        let report = run(binary, &script).await.unwrap();
        assert!(report.calls > 100, "{} calls", report.calls);
        assert_eq!(report.breaches, [], "seed {seed}");
    }
}
