//! Overhead of the router, compared with direct calls to the fake engine in the same run.
//!
//! `cargo build --release --bins && cargo run --release -p heathpitch-fakes --example cost`

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt;
use heathpitch_core::{Attempt, Epoch, LayerRange, Name, Priority};
use heathpitch_fakes::{
    Caller, Deployment, EngineConfig, Fault, NodeProcess, StreamedAnswer, node_binary,
    sample_document,
};
use heathpitch_net::{Client, EngineClient, Frame, GenerateCall, Hop, HttpEngine};
use tokio::task::JoinSet;

const LAYERS: u32 = 4;
const ROUNDS: usize = 300;
const TOKENS: u32 = 20;
/// Open streams in the memory measurement.
const OPEN_STREAMS: usize = 1_000;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Result<()> {
    let mut d = Deployment::new(&node_binary()?)?;
    let layers = LayerRange::new(0, LAYERS);
    let mut config = EngineConfig::new("e".parse()?, "tickets".parse()?, "v1".parse()?, layers);
    config.step_time = Duration::from_millis(5);
    config.slots = 4_096;
    config.queue_capacity = 4_096;
    d.add_engine(config, "memphis")?;
    d.start_node("n1", "memphis", |_| {})?;
    d.publish_vms();
    let mut document = sample_document(LAYERS)?;
    document.routes[0].settings.max_open = 100_000;
    let revision = d.put_config(&document).await?;
    if !d.wait_ready(revision, 1, Duration::from_secs(20)).await {
        return Err("the node did not become ready".into());
    }
    let (node, engine) = (d.nodes[0].listen, d.engines[0].0.address());
    latency(node, engine).await?;
    cpu(&d.nodes[0]).await?;
    // Slower steps let the fake engine keep a thousand streams open.
    d.engines[0].0.inject(Fault::Slow(40.0));
    memory(&d.nodes[0]).await
}

/// Measures time to first token and time per token, routed and direct in alternation.
async fn latency(node: SocketAddr, engine: SocketAddr) -> Result<()> {
    let caller = Caller::new("memphis-desk".parse()?);
    let client = HttpEngine::new(Client::new());
    let (mut routed, mut direct) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        let prompt = format!("round {round}");
        let start = Instant::now();
        let answer = caller.stream(node, &"tickets".parse()?, &prompt, TOKENS).await?;
        routed.push(token_times(&answer, start.elapsed()));
        direct.push(stream_direct(&client, engine, &prompt).await?);
    }
    let percentiles = |v: &[(f64, f64)], f: fn(&(f64, f64)) -> f64| {
        let mut all: Vec<f64> = v.iter().map(f).collect();
        all.sort_by(f64::total_cmp);
        (all[all.len() / 2], all[all.len() * 95 / 100])
    };
    println!("| | routed p50 ms | routed p95 | direct p50 | direct p95 | added p50 |");
    println!("|---|---|---|---|---|---|");
    for (name, f) in [("first token", (|x| x.0) as fn(&(f64, f64)) -> f64), ("per token", |x| x.1)]
    {
        let (r, d) = (percentiles(&routed, f), percentiles(&direct, f));
        println!(
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
            r.0,
            r.1,
            d.0,
            d.1,
            r.0 - d.0
        );
    }
    Ok(())
}

/// Time to first token and mean time per further token, milliseconds.
fn token_times(answer: &StreamedAnswer, total: Duration) -> (f64, f64) {
    let first = answer.first_token.as_secs_f64() * 1_000.0;
    let rest = total.as_secs_f64() * 1_000.0 - first;
    (first, rest / (answer.pieces.len().max(2) - 1) as f64)
}

async fn stream_direct(
    client: &HttpEngine,
    engine: SocketAddr,
    prompt: &str,
) -> Result<(f64, f64)> {
    let start = Instant::now();
    let address: Name = engine.into();
    let call = GenerateCall {
        request: format!("direct {prompt}"),
        attempt: Attempt(1),
        model: "tickets".parse()?,
        version: "v1".parse()?,
        account: "memphis-desk".parse()?,
        priority: Priority::Normal,
        prompt: prompt.to_owned(),
        resumed: vec![],
        max_tokens: TOKENS,
        options: serde_json::Value::Null,
        hops: vec![Hop {
            engine: "e".parse()?,
            address: address.clone(),
            layers: LayerRange::new(0, LAYERS),
            epoch: Epoch(0),
        }],
    };
    let mut frames = client.generate(&address, call).await?;
    let (mut first, mut last, mut count) = (None, start, 0);
    while let Some(frame) = frames.next().await {
        if let Frame::Token { .. } = frame? {
            last = Instant::now();
            first.get_or_insert(last);
            count += 1;
        }
    }
    let first = first.unwrap_or(last);
    let ms = |d: Duration| d.as_secs_f64() * 1_000.0;
    Ok((ms(first - start), ms(last - first) / (count.max(2) - 1) as f64))
}

/// Measures CPU time of the node per request and per token from answers of two lengths.
async fn cpu(node: &NodeProcess) -> Result<()> {
    let idle = node.cpu_seconds()?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let control = (node.cpu_seconds()? - idle) / 2.0;
    println!("\ncontrol: {:.2} % of a core with no traffic", control * 100.0);
    let mut times = Vec::new();
    for tokens in [1_u32, 64] {
        let (count, start, before) = (4_000, Instant::now(), node.cpu_seconds()?);
        let done = send_requests(node.listen, count, tokens).await?;
        let used = node.cpu_seconds()? - before;
        let each = used / count as f64 * 1e6;
        let rate = done as f64 / start.elapsed().as_secs_f64();
        println!(
            "{tokens} tokens: {done} of {count} complete, {rate:.0} requests/s, {each:.0} us of CPU each"
        );
        times.push(each);
    }
    println!(
        "CPU time: {:.0} us a request, {:.1} us a token",
        times[0],
        (times[1] - times[0]) / 63.0
    );
    Ok(())
}

/// Sends `count` requests from concurrent workers and returns how many complete.
async fn send_requests(node: SocketAddr, count: usize, tokens: u32) -> Result<usize> {
    let mut tasks = JoinSet::new();
    const WORKERS: usize = 64;
    for worker in 0..WORKERS {
        let caller = Caller::new("memphis-desk".parse()?);
        let model: Name = "tickets".parse()?;
        tasks.spawn(async move {
            let mut complete = 0;
            for n in 0..count / WORKERS {
                let prompt = format!("{worker} {n}");
                let got = caller.stream(node, &model, &prompt, tokens).await;
                complete += usize::from(got.is_ok_and(|a| a.complete));
            }
            complete
        });
    }
    Ok(tasks.join_all().await.into_iter().sum())
}

/// Measures the memory of the node with a thousand open streams.
async fn memory(node: &NodeProcess) -> Result<()> {
    let before = node.resident_kb()?;
    let mut tasks = JoinSet::new();
    for i in 0..OPEN_STREAMS {
        let caller = Caller::new("memphis-desk".parse()?);
        let (listen, model) = (node.listen, "tickets".parse::<Name>()?);
        tasks
            .spawn(async move { caller.stream(listen, &model, &format!("open {i}"), 1_500).await });
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let open = node.status().await["open"].as_u64().unwrap_or(0);
    let with = node.resident_kb()?;
    println!(
        "\nresident memory: {before} kB before, {with} kB with {open} streams open: {} kB each",
        (with.saturating_sub(before)) / open.max(1)
    );
    tasks.abort_all();
    Ok(())
}
