//! Streams of a loaded failure domain run in another one before the own one is full.
//!
//! Failures guarded against: a part of the streams waits at home although engines elsewhere are idle, or
//! streams are sent to a domain whose load is no longer known.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod gateway;

use std::path::Path;
use std::time::Duration;

use gateway::{Cluster, KEY, wait_until};
use heathpitch_standin::{Behavior, Caller, Engine, GatewayProcess};
use hyper::Method;
use serde_json::json;

/// Held tokens of a loaded and of an almost idle engine; four layers leave room for 125 000.
const LOADED: u64 = 100_000;
const ALMOST_IDLE: u64 = 5_000;
/// Requests queued at a first engine, as many as it has slots, and the factor by which it is slow:
/// their prompts then take 0.75 of the latency target, while one request takes 0.2.
const QUEUED: u32 = 8;
const SLOWDOWN: f64 = 40.0;
/// Longer than reports are used.
const EXPIRY: Duration = Duration::from_millis(3_500);

/// Starts a node with this mode of the balance.
async fn spawn(cluster: &Cluster, balance: &str) -> GatewayProcess {
    let binary = Path::new(env!("CARGO_BIN_EXE_heathpitchd"));
    let settings = json!({ "load": { "balance": balance } });
    let store = cluster.store.address();
    let node = GatewayProcess::spawn_with(binary, store, "n1", "mem", settings).unwrap();
    node.wait_ready().await.unwrap();
    wait_until("the node knows the fleet", async || {
        node.metrics().await.is_ok_and(|text| text.contains("heathpitch_nodes 1"))
    })
    .await;
    node
}

/// Two engines in each of the domains `mem`, loaded, and `far`, almost idle.
fn engines(cluster: &Cluster) -> Vec<Engine> {
    let spawn = |(id, domain, first, held): (&str, &str, u32, u64)| {
        let engine = Engine::spawn(&cluster.store, id, "llm", domain, Some("small")).unwrap();
        engine.set_layers(first, first + 4);
        engine.set_held_tokens(held);
        engine.set_behavior(Behavior::Stream(2, Duration::from_millis(5)));
        engine
    };
    let home = [("a", "mem", 0, LOADED), ("b", "mem", 4, LOADED)];
    let far = [("c", "far", 0, ALMOST_IDLE), ("d", "far", 4, ALMOST_IDLE)];
    home.into_iter().chain(far).map(spawn).collect()
}

/// Streams sent so far with this locality of their path.
async fn routed(node: &GatewayProcess, locality: &str) -> u32 {
    let text = node.metrics().await.unwrap();
    let prefix = format!("heathpitch_routed_total{{locality=\"{locality}\"}} ");
    text.lines().find_map(|l| l.strip_prefix(&prefix)?.parse().ok()).unwrap_or(0)
}

async fn stream(caller: &Caller) {
    let reply = caller.call(Method::POST, "/tell/x", "prompt").await.unwrap();
    assert_eq!((reply.status, reply.complete), (200, true));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_loaded_domain_sends_streams_to_another_one_as_long_as_its_load_is_known() {
    let cluster = Cluster::new();
    let engines = engines(&cluster);
    let node = spawn(&cluster, "auto").await;
    let far = cluster.start_in("far", "n2");
    far.wait_ready().await.unwrap();
    let caller = Caller::new(node.listen).key(KEY);
    wait_until("the fractions change", async || {
        stream(&caller).await;
        !node.events("balance_changed").is_empty()
    })
    .await;
    let change = node.events("balance_changed").pop().unwrap();
    assert_eq!((&change["service"], &change["fractions"][0][0]), (&json!("llm"), &json!("far")));
    wait_until("both domains run streams", async || {
        stream(&caller).await;
        routed(&node, "balanced").await > 3 && routed(&node, "home").await > 3
    })
    .await;
    for seen in engines[2].requests() {
        let (c, d) = (engines[2].address, engines[3].address);
        assert_eq!(seen.path().unwrap(), format!("{c}=0-4,{d}=4-8"), "whole in one domain");
    }
    assert_eq!(routed(&node, "overflow").await, 0);

    // Without the other domain's planner, reports of its engines end.
    drop(far);
    tokio::time::sleep(EXPIRY).await;
    let (balanced, home) = (routed(&node, "balanced").await, routed(&node, "home").await);
    for _ in 0..20 {
        stream(&caller).await;
    }
    let now = (routed(&node, "balanced").await, routed(&node, "home").await);
    assert_eq!(now, (balanced, home + 20));
}

/// Guards against domains that are compared by memory and by what this node measured alone: a queue that
/// other nodes' streams wait in would send nobody away until this node's own first events are late.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_with_a_reported_queue_sends_streams_to_another_one() {
    let cluster = Cluster::new();
    let engines = engines(&cluster);
    engines.iter().for_each(|e| e.set_held_tokens(ALMOST_IDLE));
    engines[0].set_queued(QUEUED);
    engines[0].set_slowdown(SLOWDOWN);
    let node = spawn(&cluster, "auto").await;
    let far = cluster.start_in("far", "n2");
    far.wait_ready().await.unwrap();
    let caller = Caller::new(node.listen).key(KEY);
    wait_until("streams run in the other domain", async || {
        stream(&caller).await;
        routed(&node, "balanced").await > 3
    })
    .await;
    assert_eq!(routed(&node, "overflow").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_balancing_off_all_streams_stay_in_a_domain_that_is_not_full() {
    let cluster = Cluster::new();
    let _engines = engines(&cluster);
    let node = spawn(&cluster, "off").await;
    let far = cluster.start_in("far", "n2");
    far.wait_ready().await.unwrap();
    wait_until("the domains know each other", async || {
        !node.events("neighbour_changed").is_empty()
    })
    .await;
    let caller = Caller::new(node.listen).key(KEY);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for _ in 0..30 {
        stream(&caller).await;
    }
    assert_eq!((routed(&node, "home").await, routed(&node, "balanced").await), (30, 0));
}
