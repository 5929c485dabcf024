//! The main job on stand-ins: three nodes, a model split over three engines, several client
//! accounts, streamed answers checked against independently computed ones.
//!
//! Needs the node's binary beside it: `./demo` builds both and runs this.

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
/// Requests of an account at once.
const AT_ONCE: usize = 4;

#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Requests of each account, 30 if not given.
    #[options(default = "30", meta = "N")]
    requests: usize,
    /// Tokens of each answer, 48 if not given.
    #[options(default = "48", meta = "N")]
    tokens: u32,
    /// The node's binary; by default the one built beside this example.
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
        for worker in 0..AT_ONCE {
            let node = d.nodes[(i + worker) % d.nodes.len()].listen;
            let caller = Caller::new(account.parse()?);
            let (count, tokens) = (arguments.requests / AT_ONCE, arguments.tokens);
            let prompt = format!("{account} {worker}: summarise the ticket for the desk");
            tasks.spawn(work(caller, node, prompt, count, tokens));
        }
    }
    let (mut right, mut tokens, mut firsts) = (0, 0, Vec::new());
    while let Some(done) = tasks.join_next().await {
        for (good, got) in done? {
            if !good {
                println!("wrong: status {} whole {} {:?}", got.status, got.complete, got.error);
            }
            right += usize::from(good);
            tokens += got.pieces.len();
            firsts.push(got.first_token);
        }
    }
    let total = firsts.len();
    firsts.sort();
    let took = start.elapsed();
    println!("answers right and whole: {right} of {total}");
    println!("tokens: {tokens}, {:.0} a second", tokens as f64 / took.as_secs_f64());
    println!(
        "first token: median {:?}, 95 in 100 within {:?}",
        firsts[total / 2],
        firsts[total * 95 / 100]
    );
    if right == total { Ok(()) } else { Err("some answers were wrong".into()) }
}

/// Asks `count` times, one after another, and checks each answer against the right one.
async fn work(
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
        let right = reference_answer(&model, &version, LAYERS, &prompt, tokens);
        let text: Vec<String> = right.tokens.iter().map(|t| token_text(*t)).collect();
        answers.push((got.complete && got.pieces == text, got));
    }
    answers
}
