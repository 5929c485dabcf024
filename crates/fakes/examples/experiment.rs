//! Experiments on real nodes and fake engines: throughput of each routing strategy relative to the
//! hardware limit, and recovery from lost stages as seen by the caller.
//!
//! `cargo build --release --bins && cargo run --release -p heathpitch-fakes --example experiment`

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use gumdrop::Options;
use heathpitch_core::{LayerRange, Name, Strategy};
use heathpitch_fakes::{
    Caller, Deployment, EngineConfig, Fault, StreamedAnswer, node_binary, sample_document,
};
use tokio::task::JoinSet;

const LAYERS: u32 = 24;
const STAGES: u32 = 3;
const SLOTS: u32 = 8;
/// Groups of callers with a common long prefix.
const PREFIX_GROUPS: usize = 10;
/// Decode step of a fast and of a slow engine.
const STEP_TIMES: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(20)];
/// Prompt tokens per second of a fast engine; a slow one has half of it.
const PREFILL_RATE: f64 = 20_000.0;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Duration of each run, seconds.
    #[options(default = "8", no_short, meta = "S")]
    seconds: u64,
    /// Rounds of each recovery experiment.
    #[options(default = "12", no_short, meta = "N")]
    rounds: u32,
    /// Experiment to run: throughput, recovery or all.
    #[options(default = "all", no_short, meta = "WHAT")]
    only: String,
    /// Load to run: steady, mixed, bursts or prefixes; all by default.
    #[options(no_short, meta = "LOAD")]
    load: Option<String>,
    /// Node binary; by default the one built next to this example.
    #[options(no_short, meta = "FILE")]
    binary: Option<PathBuf>,
}

/// Load of one run.
#[derive(Clone, Copy, Debug)]
enum Load {
    Steady,
    Mixed,
    Bursts,
    Prefixes,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let binary = match &arguments.binary {
        Some(path) => path.clone(),
        None => node_binary()?,
    };
    if arguments.only != "recovery" {
        throughput(&binary, &arguments).await?;
    }
    if arguments.only != "throughput" {
        recovery(&binary, arguments.rounds).await?;
    }
    Ok(())
}

async fn throughput(binary: &std::path::Path, arguments: &Arguments) -> Result<()> {
    println!(
        "| load | strategy | tokens/s | of limit | first p50 ms | first p95 ms | gap p95 ms | refused |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let selected = |l: &Load| {
        let name = format!("{l:?}").to_lowercase();
        arguments.load.as_ref().is_none_or(|s| *s == name)
    };
    let loads = [Load::Steady, Load::Mixed, Load::Bursts, Load::Prefixes];
    for load in loads.into_iter().filter(selected) {
        for strategy in
            [Strategy::Affinity, Strategy::TwoChoices, Strategy::LeastReported, Strategy::Random]
        {
            let d = deployment(binary, 4, strategy).await?;
            run(&d, load, strategy, arguments.seconds).await?;
        }
    }
    Ok(())
}

/// Deployment with four replicas of each stage, half of them fast and half slow.
async fn deployment(
    binary: &std::path::Path,
    nodes: usize,
    strategy: Strategy,
) -> Result<Deployment> {
    let mut d = Deployment::new(binary)?;
    for replica in 0..4_u32 {
        for stage in 0..STAGES {
            let layers = LayerRange::new(LAYERS * stage / STAGES, LAYERS * (stage + 1) / STAGES);
            let name = format!("e{stage}{replica}").parse()?;
            let mut config = EngineConfig::new(name, "tickets".parse()?, "v1".parse()?, layers);
            let slow = (replica % 2) as usize;
            config.step_time = STEP_TIMES[slow];
            config.prefill_rate = PREFILL_RATE / (slow as f64 + 1.0);
            config.slots = SLOTS;
            config.cache_blocks = 1_200;
            config.report_lag = Duration::from_millis(500);
            d.add_engine(config, "memphis")?;
        }
    }
    for i in 0..nodes {
        d.start_node(&format!("n{i}"), "memphis", |_| {})?;
    }
    d.publish_vms();
    let mut document = sample_document(LAYERS)?;
    document.routes[0].settings.strategy = strategy;
    let revision = d.put_config(&document).await?;
    match d.wait_ready(revision, d.engines.len(), Duration::from_secs(20)).await {
        true => Ok(d),
        false => Err("the nodes did not become ready".into()),
    }
}

/// Tokens per second of the hardware if each chain has engines of one speed and none ever waits.
fn throughput_limit() -> f64 {
    let chain_rate = |step: Duration| f64::from(SLOTS) / (step.as_secs_f64() * f64::from(STAGES));
    2.0 * (chain_rate(STEP_TIMES[0]) + chain_rate(STEP_TIMES[1]))
}

async fn run(d: &Deployment, load: Load, strategy: Strategy, seconds: u64) -> Result<()> {
    let start = Instant::now();
    let end = start + Duration::from_secs(seconds);
    let workers = match load {
        Load::Bursts => 48,
        _ => 30,
    };
    let mut tasks = JoinSet::new();
    for worker in 0..workers {
        let node = d.nodes[worker % d.nodes.len()].listen;
        tasks.spawn(run_worker(node, worker, load, end));
    }
    let all: Vec<StreamedAnswer> = tasks.join_all().await.into_iter().flatten().collect();
    let took = start.elapsed().as_secs_f64();
    let tokens: usize = all.iter().map(|a| a.pieces.len()).sum();
    let complete: Vec<&StreamedAnswer> = all.iter().filter(|a| a.complete).collect();
    let firsts = sorted(complete.iter().map(|a| a.first_token));
    let gaps = sorted(complete.iter().map(|a| a.max_gap));
    let rate = tokens as f64 / took;
    println!(
        "| {load:?} | {strategy:?} | {rate:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {} |",
        rate / throughput_limit(),
        quantile(&firsts, 0.5),
        quantile(&firsts, 0.95),
        quantile(&gaps, 0.95),
        all.len() - complete.len()
    );
    Ok(())
}

/// Sends requests until `end`; the load determines lengths, pauses and prompts.
async fn run_worker(
    node: SocketAddr,
    worker: usize,
    load: Load,
    end: Instant,
) -> Vec<StreamedAnswer> {
    let accounts = ["memphis-desk", "adviser-1", "isar-night"];
    // Prefixes are cached per account, so all workers of a group use the same one.
    let account = accounts[worker % PREFIX_GROUPS % 3];
    let (Ok(account), Ok(model)) = (account.parse::<Name>(), "tickets".parse()) else {
        return Vec::new();
    };
    let caller = Caller::new(account);
    let mut answers = Vec::new();
    let mut n = 0;
    while Instant::now() < end {
        n += 1;
        let (prompt, tokens) = make_prompt(load, worker, n);
        if matches!(load, Load::Bursts) && n % 4 == 0 {
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        let got = caller.stream(node, &model, &prompt, tokens).await.unwrap_or_default();
        if !got.complete {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        answers.push(got);
    }
    answers
}

/// Prompt and maximum number of tokens of the `n`th request.
fn make_prompt(load: Load, worker: usize, n: usize) -> (String, u32) {
    match load {
        Load::Steady | Load::Bursts => (format!("{worker}/{n} {}", "crash report ".repeat(20)), 16),
        Load::Mixed if n.is_multiple_of(3) => {
            (format!("{worker}/{n} {}", "stack trace ".repeat(250)), 40)
        }
        Load::Mixed => (format!("{worker}/{n} short"), 8),
        Load::Prefixes => {
            let group = worker % PREFIX_GROUPS;
            let notes = format!("account notes {group} ").repeat(200);
            (format!("{notes} order {worker}/{n}"), 8)
        }
    }
}

async fn recovery(binary: &std::path::Path, rounds: u32) -> Result<()> {
    println!("\n| fault | answers | complete | stall p50 ms | p95 ms | max ms |");
    println!("|---|---|---|---|---|---|");
    let cases = [
        ("none", None, 0),
        ("killed stage", Some(Fault::Exit), 1),
        ("frozen stage", Some(Fault::Freeze), 1),
        ("stage 30 times slower", Some(Fault::Slow(30.0)), 1),
        ("two killed stages", Some(Fault::Exit), 2),
        ("two frozen stages", Some(Fault::Freeze), 2),
    ];
    for (name, fault, count) in cases {
        let mut gaps = Vec::new();
        let (mut complete, mut total) = (0, 0);
        for round in 0..rounds.div_ceil(4) {
            let d = deployment(binary, 2, Strategy::Affinity).await?;
            let mut tasks = JoinSet::new();
            for i in 0..4_usize {
                let node = d.nodes[i % 2].listen;
                let model = "tickets".parse()?;
                let caller = Caller::new("memphis-desk".parse()?);
                let prompt = format!("round {round} answer {i}");
                tasks.spawn(async move { caller.stream(node, &model, &prompt, 40).await });
            }
            tokio::time::sleep(Duration::from_millis(700)).await;
            if let Some(fault) = fault {
                inject(&d, fault, count);
            }
            for got in tasks.join_all().await {
                let got = got.unwrap_or_default();
                total += 1;
                complete += u32::from(got.complete);
                gaps.push(got.max_gap);
            }
        }
        let gaps = sorted(gaps.into_iter());
        let (p50, p95, max) = (quantile(&gaps, 0.5), quantile(&gaps, 0.95), quantile(&gaps, 1.0));
        println!("| {name} | {total} | {complete} | {p50:.0} | {p95:.0} | {max:.0} |");
    }
    Ok(())
}

/// Injects the fault into three of the four replicas of `count` stages, from the second one on.
fn inject(d: &Deployment, fault: Fault, count: u32) {
    for stage in (1..STAGES).take(count as usize) {
        let of_stage =
            d.engines.iter().filter(|(e, _)| e.name().as_str().starts_with(&format!("e{stage}")));
        // With only one healthy replica left, most answers are on an affected path.
        of_stage.take(3).for_each(|(e, _)| e.inject(fault));
    }
}

fn sorted(times: impl Iterator<Item = Duration>) -> Vec<f64> {
    let mut times: Vec<f64> = times.map(|t| t.as_secs_f64() * 1_000.0).collect();
    times.sort_by(f64::total_cmp);
    times
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * fraction).round() as usize).copied().unwrap_or(f64::NAN)
}
