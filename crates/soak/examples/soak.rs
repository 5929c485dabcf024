//! Plays seeds of the soak by hand.
//!
//! ```sh
//! cargo build --release -p heathpitchd --features seams
//! cargo run --release -p heathpitch-soak --example soak -- --seeds 50 --from 1
//! ```

#![allow(clippy::unwrap_used, clippy::print_stdout, reason = "a tool's own output")]

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use heathpitch_soak::{FaultSchedule, run};

/// Plays seeds of the soak.
#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// The node's binary.
    #[options(default = "target/release/heathpitchd")]
    binary: PathBuf,
    /// Seeds to play.
    #[options(default = "10")]
    seeds: u64,
    /// First seed.
    #[options(default = "1")]
    from: u64,
    /// Runs at once.
    #[options(default = "3")]
    jobs: usize,
    /// Time for which faults begin, seconds.
    #[options(default = "12")]
    length: u64,
}

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let length = Duration::from_secs(arguments.length);
    let seeds: Vec<u64> = (arguments.from..arguments.from + arguments.seeds).collect();
    let mut failed = 0;
    for batch in seeds.chunks(arguments.jobs.max(1)) {
        let runs = batch.iter().map(|seed| {
            let (binary, schedule) = (
                arguments.binary.clone(),
                FaultSchedule::generate(*seed, length)
                    .with_restarts()
                    .with_crashes()
                    .with_backpressure()
                    .with_store_restores()
                    .with_limits(),
            );
            tokio::spawn(async move { (schedule.seed, run(binary, &schedule).await) })
        });
        for run in runs.collect::<Vec<_>>() {
            let (seed, report) = run.await.unwrap();
            let report = report.unwrap();
            failed += usize::from(!report.violations.is_empty());
            println!(
                "seed {seed}: {} calls, {} served, {:.3} in calm, {} breaches",
                report.calls,
                report.succeeded,
                report.recovery_rate,
                report.violations.len()
            );
            for violation in report.violations.iter().take(4) {
                println!("  {}: {:?}, {}", violation.invariant, violation.id, violation.detail);
            }
            report.request_logs.iter().take(20).for_each(|line| println!("    {line}"));
        }
    }
    println!("{failed} of {} seeds broke a promise", seeds.len());
    std::process::exit(i32::from(failed > 0));
}
