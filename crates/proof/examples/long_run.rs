//! A long randomised run of every world, with a summary.
//!
//! `cargo run --release -p heathpitch-proof --example long_run -- --seconds 60 --seed 1`

use std::time::{Duration, Instant};

use gumdrop::Options;
use heathpitch_proof::{Tally, World, cells, draw, run_cell};

/// Operations of one case.
const LENGTH: usize = 2_000;

#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// First seed.
    #[options(default = "1", no_short, meta = "N")]
    seed: u64,
    /// Time for each world, seconds.
    #[options(default = "20", no_short, meta = "S")]
    seconds: u64,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut breaches = 0;
    for world in World::ALL {
        let end = Instant::now() + Duration::from_secs(arguments.seconds);
        let mut tally = Tally::default();
        let mut seed = arguments.seed;
        while Instant::now() < end {
            if let Err(breach) = world.run_caught(&draw(seed, LENGTH), &mut tally) {
                breaches += 1;
                println!("{world:?}, seed {seed}: {breach}");
            }
            seed += 1;
        }
        println!("{world:?}: {} operations, seeds {}..{seed}", tally.operations, arguments.seed);
        tally.events.iter().for_each(|(name, n)| println!("    {name}: {n}"));
        tally.faults.iter().for_each(|(name, n)| println!("  ! {name}: {n}"));
    }
    let all = cells();
    let failed = all.iter().filter(|c| run_cell(**c).is_err()).count();
    println!("fault matrix: {} cells, {failed} failed", all.len());
    println!("breaches: {breaches}");
    std::process::exit(i32::from(breaches + failed > 0));
}
