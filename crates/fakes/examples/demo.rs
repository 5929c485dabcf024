//! Demo on fakes: three nodes, a model split over three stages, several client accounts and
//! streamed answers checked against independently computed ones.
//!
//! Needs the node binary next to it: `./demo` builds both and runs this example.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use gumdrop::Options;
use heathpitch_fakes::{
    Caller, Deployment, StreamedAnswer, node_binary, reference_answer, sample_document, token_text,
};

/// Layers of the sample models.
const LAYERS: u32 = 24;
/// Concurrent requests of each account.
const CONCURRENCY: usize = 4;

#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Requests of each account, 30 by default.
    #[options(default = "30", meta = "N")]
    requests: usize,
    /// Maximum tokens of each answer, 48 by default.
    #[options(default = "48", meta = "N")]
    tokens: u32,
    /// Node binary; by default the one built next to this example.
    #[options(meta = "FILE")]
    binary: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let binary = match &arguments.binary {
        Some(path) => path.clone(),
        None => node_binary()?,
    };
    let mut d = Deployment::new(&binary)?;
    d.add_chains(&"tickets".parse()?, LAYERS, 3, 2, "memphis")?;
    for (name, domain) in [("n1", "memphis"), ("n2", "memphis"), ("n3", "memphis")] {
        d.start_node(name, domain, |_| {})?;
    }
    d.publish_vms();
    let revision = d.put_config(&sample_document(LAYERS)?).await?;
    println!("{} engines, {} nodes, {LAYERS} layers in 3 stages", d.engines.len(), d.nodes.len());
    if !d.wait_ready(revision, d.engines.len(), Duration::from_secs(20)).await {
        return Err("the nodes did not become ready".into());
    }
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for (i, account) in ["memphis-desk", "adviser-1", "isar-night"].into_iter().enumerate() {
        for worker in 0..CONCURRENCY {
            let node = d.nodes[(i + worker) % d.nodes.len()].listen;
            let caller = Caller::new(account.parse()?);
            let (count, tokens) = (arguments.requests / CONCURRENCY, arguments.tokens);
            let prompt = format!("{account} {worker}: summarise the ticket for the desk");
            tasks.spawn(run_worker(caller, node, prompt, count, tokens));
        }
    }
    let (mut correct, mut tokens, mut firsts) = (0, 0, Vec::new());
    while let Some(done) = tasks.join_next().await {
        for (is_correct, got) in done? {
            if !is_correct {
                println!(
                    "wrong answer: status {}, complete {}, error {:?}",
                    got.status, got.complete, got.error
                );
            }
            correct += usize::from(is_correct);
            tokens += got.pieces.len();
            firsts.push(got.first_token);
        }
    }
    let total = firsts.len();
    firsts.sort();
    let took = start.elapsed();
    println!("correct and complete answers: {correct} of {total}");
    println!("tokens: {tokens}, {:.0} per second", tokens as f64 / took.as_secs_f64());
    println!(
        "first token: median {:?}, 95th percentile {:?}",
        firsts[total / 2],
        firsts[total * 95 / 100]
    );
    if correct == total { Ok(()) } else { Err("some answers were wrong".into()) }
}

/// Sends `count` requests in sequence and checks each answer against the expected one.
async fn run_worker(
    caller: Caller,
    node: SocketAddr,
    prompt: String,
    count: usize,
    tokens: u32,
) -> Vec<(bool, StreamedAnswer)> {
    let (Ok(model), Ok(version)) = ("tickets".parse(), "v1".parse()) else { return Vec::new() };
    let mut answers = Vec::new();
    for r in 0..count {
        let prompt = format!("{prompt}, order {r}");
        let got = caller.stream(node, &model, &prompt, tokens).await.unwrap_or_default();
        let expected = reference_answer(&model, &version, LAYERS, &prompt, tokens);
        let text: Vec<String> = expected.tokens.iter().map(|t| token_text(*t)).collect();
        answers.push((got.complete && got.pieces == text, got));
    }
    answers
}
