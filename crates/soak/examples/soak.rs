//! Runs the soak for a range of seeds.
//!
//! ```sh
//! cargo build --release -p heathpitchd --features seams
//! cargo run --release -p heathpitch-soak --example soak -- --seeds 50 --from 1
//! ```

#![allow(
    clippy::unwrap_used,
    clippy::print_stdout,
    reason = "a command-line tool prints its results"
)]

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use heathpitch_soak::{FaultSchedule, run};

/// Runs the soak for a range of seeds.
#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Path of the node binary.
    #[options(default = "target/release/heathpitchd")]
    binary: PathBuf,
    /// Number of seeds to run.
    #[options(default = "10")]
    seeds: u64,
    /// First seed.
    #[options(default = "1")]
    from: u64,
    /// Concurrent runs.
    #[options(default = "3")]
    jobs: usize,
    /// Time within which faults start, in seconds.
    #[options(default = "12")]
    length: u64,
    /// Only configuration changes, invalid parts, refused calls on the store and sources cut off from it beside silent nodes, in a cluster of five nodes, without other faults.
    configs: bool,
    /// With `--configs`: all nodes and the store stand still at times, in a cluster of nine nodes.
    standstills: bool,
    /// Only requests and parts of prompts that crash engines, beside control threads that are held up and restarts of most nodes.
    crashes: bool,
    /// Directory for the logs of runs that violate an invariant.
    logs: Option<PathBuf>,
}

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let length = Duration::from_secs(arguments.length);
    let seeds: Vec<u64> = (arguments.from..arguments.from + arguments.seeds).collect();
    let mut failed = 0;
    for batch in seeds.chunks(arguments.jobs.max(1)) {
        let runs = batch.iter().map(|seed| {
            let binary = arguments.binary.clone();
            let schedule = match arguments.configs {
                _ if arguments.crashes => FaultSchedule::empty(*seed, length)
                    .with_crashes()
                    .with_part_crashes()
                    .with_hold_ups(),
                true => {
                    let schedule = FaultSchedule::empty(*seed, length)
                        .with_config_changes()
                        .with_invalid_parts()
                        .with_refused_calls()
                        .with_cut_sources();
                    if arguments.standstills { schedule.with_standstills() } else { schedule }
                }
                false => FaultSchedule::generate(*seed, length)
                    .with_restarts()
                    .with_crashes()
                    .with_part_crashes()
                    .with_backpressure()
                    .with_store_restores()
                    .with_limits()
                    .with_cuts()
                    .with_invalid_parts(),
            };
            tokio::spawn(async move { (schedule.seed, run(binary, &schedule).await) })
        });
        for run in runs.collect::<Vec<_>>() {
            let (seed, report) = run.await.unwrap();
            let report = report.unwrap();
            failed += usize::from(!report.violations.is_empty());
            println!(
                "seed {seed}: {} calls, {} succeeded, {:.3} after recovery, {} violations",
                report.calls,
                report.succeeded,
                report.recovery_rate,
                report.violations.len()
            );
            for violation in report.violations.iter().take(4) {
                println!("  {}: {:?}, {}", violation.invariant, violation.id, violation.detail);
            }
            report.request_logs.iter().take(20).for_each(|line| println!("    {line}"));
            if let Some(directory) = arguments.logs.as_ref().filter(|_| !report.log.is_empty()) {
                std::fs::write(directory.join(format!("{seed}.log")), report.log.join("\n"))
                    .unwrap();
            }
        }
    }
    println!("{failed} of {} seeds violated an invariant", seeds.len());
    std::process::exit(i32::from(failed > 0));
}
