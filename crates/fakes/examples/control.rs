//! Control overhead of an idle node at default settings, by number of nodes and engines: CPU,
//! memory, control traffic, platform reads and time until a new configuration is active.
//!
//! `cargo build --release --bins && cargo run --release -p heathpitch-fakes --example control`

use std::error::Error;
use std::time::{Duration, Instant};

use heathpitch_core::{LayerRange, Timing};
use heathpitch_fakes::{Deployment, EngineConfig, NodeProcess, node_binary, sample_document};
use hyper::Method;

const MEASURE_TIME: Duration = Duration::from_secs(10);

type Result<T> = std::result::Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Result<()> {
    println!(
        "| nodes | engines | core % | resident MB | kB/s | platform reads/s | config active ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (nodes, engines) in [(2, 12), (4, 12), (8, 12), (16, 12), (4, 6), (4, 24), (4, 48)] {
        measure(nodes, engines).await?;
    }
    Ok(())
}

async fn measure(nodes: usize, engines: usize) -> Result<()> {
    let mut d = Deployment::new(&node_binary()?)?;
    for i in 0..engines {
        let first = (i % 3) as u32 * 4;
        let layers = LayerRange::new(first, first + 4);
        let name = format!("e{i}").parse()?;
        let config = EngineConfig::new(name, "tickets".parse()?, "v1".parse()?, layers);
        d.add_engine(config, "memphis")?;
    }
    let timing = serde_json::to_value(Timing::default())?;
    for i in 0..nodes {
        d.start_node(&format!("n{i}"), "memphis", |s| s["timing"] = timing.clone())?;
    }
    d.publish_vms();
    let mut document = sample_document(12)?;
    let revision = d.put_config(&document).await?;
    if !d.wait_ready(revision, engines, Duration::from_secs(60)).await {
        return Err("the nodes did not become ready".into());
    }
    let (cpu, bytes, reads) =
        (total(&d, NodeProcess::cpu_seconds)?, control_bytes(&d).await, d.platform.calls().reads);
    tokio::time::sleep(MEASURE_TIME).await;
    let seconds = MEASURE_TIME.as_secs_f64();
    let cpu = (total(&d, NodeProcess::cpu_seconds)? - cpu) / seconds / nodes as f64 * 100.0;
    let bytes = (control_bytes(&d).await - bytes) / seconds / nodes as f64 / 1_000.0;
    let reads = (d.platform.calls().reads - reads) as f64 / seconds;
    let memory = total(&d, |n| n.resident_kb().map(|m| m as f64))? / nodes as f64 / 1_000.0;
    document.accounts[0].weight = 7;
    let revision = d.put_config(&document).await?;
    let start = Instant::now();
    d.wait_ready(revision, engines, Duration::from_secs(30)).await;
    let active_ms = start.elapsed().as_millis();
    println!(
        "| {nodes} | {engines} | {cpu:.2} | {memory:.1} | {bytes:.1} | {reads:.1} | {active_ms} |"
    );
    Ok(())
}

fn total(d: &Deployment, metric: fn(&NodeProcess) -> std::io::Result<f64>) -> Result<f64> {
    Ok(d.nodes.iter().map(metric).sum::<std::io::Result<f64>>()?)
}

/// Bytes of control traffic of all nodes; an exchange is counted by the node that started it.
async fn control_bytes(d: &Deployment) -> f64 {
    let client = heathpitch_net::Client::new();
    let mut sum = 0.0;
    for node in &d.nodes {
        let uri = format!("http://{}/metrics", node.admin);
        let response =
            client.exchange(Method::GET, &uri, None::<&()>, Duration::from_secs(2)).await;
        let text =
            response.map(|(_, b)| String::from_utf8_lossy(&b).into_owned()).unwrap_or_default();
        let lines = text.lines().filter(|l| l.starts_with("heathpitch_control_bytes_total"));
        for line in lines {
            let value: f64 = line.rsplit(' ').next().and_then(|v| v.parse().ok()).unwrap_or(0.0);
            // An exchange between peers is traffic of two nodes.
            sum += if line.contains("peers") { 2.0 * value } else { value };
        }
    }
    sum
}
