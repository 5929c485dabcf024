//! Long randomized run of every simulation, with a summary.
//!
//! `cargo run --release -p heathpitch-proof --example long_run -- --seconds 60 --seed 1`

use std::time::{Duration, Instant};

use gumdrop::Options;
use heathpitch_proof::{RunStats, Simulation, cells, random_operations, run_cell};

/// Operations per seed.
const OPERATIONS: usize = 2_000;

#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// First seed.
    #[options(default = "1", no_short, meta = "N")]
    seed: u64,
    /// Time for each simulation, seconds.
    #[options(default = "20", no_short, meta = "S")]
    seconds: u64,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut violations = 0;
    for simulation in Simulation::ALL {
        let end = Instant::now() + Duration::from_secs(arguments.seconds);
        let mut stats = RunStats::default();
        let mut seed = arguments.seed;
        while Instant::now() < end {
            if let Err(violation) =
                simulation.run_catching_panics(&random_operations(seed, OPERATIONS), &mut stats)
            {
                violations += 1;
                println!("{simulation:?}, seed {seed}: {violation}");
            }
            seed += 1;
        }
        println!(
            "{simulation:?}: {} operations, seeds {}..{seed}",
            stats.operations, arguments.seed
        );
        stats.events.iter().for_each(|(name, n)| println!("    {name}: {n}"));
        stats.faults.iter().for_each(|(name, n)| println!("  ! {name}: {n}"));
    }
    let all = cells();
    let failed = all.iter().filter(|c| run_cell(**c).is_err()).count();
    println!("fault matrix: {} cells, {failed} failed", all.len());
    println!("violations: {violations}");
    std::process::exit(i32::from(violations + failed > 0));
}
