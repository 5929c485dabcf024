//! Requests that crash engines.
//!
//! Without a quarantine, one request crashed nine to seventeen engines in turn, each with all
//! streams that ran there, and a failure domain was left without the first layers for a time.
//! The request crashed an engine, was sent to a second one, and was then repeated by its caller
//! with another id at another node; what a node learned from the crash was dropped with the call
//! and known to no other node. Without the fix the first test here counts nine to twelve more
//! crashes after the third, mostly two for each time that the request is received.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Cluster, KEY, is_fed, wait_until, wall_ms};
use heathpitch_standin::{Behavior, Caller, Engine, GatewayProcess, Reply};
use hyper::Method;
use serde_json::{Value, json};

/// Body of the request that crashes engines.
const FATAL: &str = "fatal";
/// Time after the third crash within which all connected nodes know: the contact bound of the
/// smallest deployments.
const CONTACT_BOUND: Duration = Duration::from_millis(3_000);
/// Sends that are allowed after that.
const MAX_LATE_SENDS: usize = 3;

/// Engines that crash when they start to run the fatal request.
fn engines(cluster: &Cluster, count: usize) -> Vec<Engine> {
    let engine = |i: usize| {
        let engine = cluster.engine(&format!("e{i}"), "one");
        engine.set_behavior(Behavior::Stream(40, Duration::from_millis(25)));
        engine.exit_on_body(FATAL);
        engine
    };
    (0..count).map(engine).collect()
}

/// Two nodes of one failure domain and one of another.
async fn nodes(cluster: &Cluster) -> [GatewayProcess; 3] {
    let planner = cluster.node().await;
    let follower = cluster.start("n2", &json!({}));
    let other = cluster.start_in("atl", "n3");
    for node in [&follower, &other] {
        node.wait_ready().await.unwrap();
    }
    wait_until("the second node follows the planner", async || is_fed(&follower) == Some(true))
        .await;
    wait_until("the third node is planner", async || !other.events("domain_planner").is_empty())
        .await;
    wait_until("planners know each other", async || !other.events("neighbour_changed").is_empty())
        .await;
    [planner, follower, other]
}

/// Sends a streaming request.
async fn stream(node: &GatewayProcess, body: &str) -> Reply {
    let caller = Caller::new(node.listen).key(KEY);
    caller.call(Method::POST, "/whole/x", body).await.unwrap()
}

/// Times at which the fatal request reached an engine.
fn sends(engines: &[Engine]) -> Vec<Instant> {
    let received = engines.iter().flat_map(Engine::requests);
    received.filter(|s| &s.body[..] == FATAL.as_bytes()).map(|s| s.at).collect()
}

fn crashed(engines: &[Engine]) -> usize {
    engines.iter().filter(|e| e.has_exited()).count()
}

/// Sends the fatal request to one node after the other until it has crashed three engines.
async fn crash_three(nodes: &[GatewayProcess], engines: &[Engine]) -> Instant {
    for node in nodes.iter().cycle() {
        stream(node, FATAL).await;
        if crashed(engines) >= 3 {
            return Instant::now();
        }
    }
    Instant::now()
}

/// Waits until every node holds the request back.
async fn wait_held_back(nodes: &[GatewayProcess]) {
    for node in nodes {
        wait_until("the request is held back", async || {
            !node.events("request_held_back").is_empty()
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_engines_reaches_at_most_three_more() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 18);
    let nodes = nodes(&cluster).await;
    let third = crash_three(&nodes, &engines).await;
    tokio::time::sleep(CONTACT_BOUND).await;
    for node in nodes.iter().cycle().take(6) {
        stream(node, FATAL).await;
    }
    let late = sends(&engines).into_iter().filter(|at| *at > third + CONTACT_BOUND).count();
    assert!(late <= MAX_LATE_SENDS, "{late} late sends, {} engines crashed", crashed(&engines));
}

/// The delays add up: a probe, a follower's poll, a planner's, another follower's.
#[tokio::test(flavor = "multi_thread")]
async fn every_node_knows_within_the_contact_bound() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 18);
    let nodes = nodes(&cluster).await;
    crash_three(&nodes[..2], &engines).await;
    let third = wall_ms();
    wait_held_back(&nodes).await;
    for node in &nodes {
        let known = node.events("request_held_back")[0]["at"].as_u64().unwrap();
        let elapsed_ms = known.saturating_sub(third);
        println!("known after {elapsed_ms} ms");
        assert!(elapsed_ms < 2_000, "{elapsed_ms} ms");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_caller_of_a_held_back_request_is_refused_immediately_with_a_long_retry_after() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 18);
    let nodes = nodes(&cluster).await;
    crash_three(&nodes, &engines).await;
    wait_held_back(&nodes).await;
    for node in &nodes {
        let start = Instant::now();
        let reply = stream(node, FATAL).await;
        assert!(start.elapsed() < Duration::from_millis(200), "{:?}", start.elapsed());
        assert_eq!(reply.status, 503);
        let text = String::from_utf8_lossy(&reply.body);
        assert!(text.contains("held_back") && text.contains("not_run"), "{text}");
        let retry_after: f64 = reply.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after > 60.0, "{retry_after} s");
        assert!(node.metrics().await.unwrap().contains("heathpitch_requests_held_back 1"));
        wait_until("the held list names all crashed engines", async || {
            let held: Value = serde_json::from_str(&node.held().await.unwrap()).unwrap();
            held[0]["engines"].as_array().is_some_and(|e| e.len() == crashed(&engines))
        })
        .await;
    }
    assert_eq!(stream(&nodes[0], "another one").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn harmless_requests_cut_off_by_the_same_crashes_are_not_held_back() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 18);
    let nodes = nodes(&cluster).await;
    let listen = nodes.iter().map(|n| n.listen).collect::<Vec<_>>();
    let harmless = (0..24).map(|i| {
        let address = listen[i % listen.len()];
        tokio::spawn(async move {
            let caller = Caller::new(address).key(KEY);
            let body = format!("proper {i}");
            let mut held = 0;
            // Callers retry after a failure.
            for _ in 0..8 {
                match caller.call(Method::POST, "/whole/x", &body).await {
                    Ok(reply) if reply.status == 200 && reply.complete => return (held, true),
                    Ok(reply) => {
                        held +=
                            usize::from(String::from_utf8_lossy(&reply.body).contains("held_back"));
                    }
                    Err(_) => {}
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            (held, false)
        })
    });
    let harmless: Vec<_> = harmless.collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    for node in nodes.iter().cycle().take(9) {
        stream(node, FATAL).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    for outcome in futures::future::join_all(harmless).await {
        assert_eq!(outcome.unwrap(), (0, true), "times held back, whether served");
    }
    let held: Vec<_> = nodes.iter().flat_map(|n| n.events("request_held_back")).collect();
    let fingerprints: std::collections::BTreeSet<_> =
        held.iter().map(|e| e["print"].to_string()).collect();
    assert!(crashed(&engines) >= 3);
    assert_eq!(fingerprints.len(), 1, "{held:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_later_knows_before_it_is_ready() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 18);
    let nodes = nodes(&cluster).await;
    crash_three(&nodes, &engines).await;
    wait_held_back(&nodes).await;
    let sent = sends(&engines).len();
    for (domain, name) in [("mem", "n4"), ("atl", "n5")] {
        let node = cluster.start_in(domain, name);
        node.wait_ready().await.unwrap();
        assert_eq!(stream(&node, FATAL).await.status, 503);
    }
    assert_eq!(sends(&engines).len(), sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_quarantine_survives_a_restart_of_all_nodes_and_an_operator_can_release_it() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 18);
    let nodes = nodes(&cluster).await;
    crash_three(&nodes, &engines).await;
    let entry = || cluster.store.list("heathpitch/quarantine/").into_iter().next();
    wait_until("the store has the entry", async || entry().is_some()).await;
    let sent = sends(&engines).len();
    nodes.iter().for_each(|n| n.signal("KILL").unwrap());
    drop(nodes);
    let restarted = [("mem", "n1"), ("atl", "n3")].map(|(d, n)| cluster.start_in(d, n));
    for node in &restarted {
        node.wait_ready().await.unwrap();
        assert_eq!(stream(node, FATAL).await.status, 503);
    }
    assert_eq!(sends(&engines).len(), sent);
    for node in &restarted {
        wait_until("each domain has a planner", async || !node.events("domain_planner").is_empty())
            .await;
    }
    cluster.store.remove(&entry().unwrap().0);
    for node in &restarted {
        wait_until("the request is released", async || {
            !node.events("request_let_through").is_empty()
        })
        .await;
    }
    engines.iter().for_each(|e| e.exit_on_body("nothing any more"));
    wait_until("the request is served", async || stream(&restarted[0], FATAL).await.status == 200)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_calls_are_held_back_too() {
    let cluster = Cluster::new();
    let engines: Vec<_> = (0..8).map(|i| cluster.engine(&format!("e{i}"), "api")).collect();
    engines.iter().for_each(|e| e.exit_on_body(FATAL));
    let nodes = nodes(&cluster).await;
    let mut ran = 0;
    for node in nodes.iter().cycle().take(9) {
        let caller = Caller::new(node.listen).key(KEY);
        let reply = caller.call(Method::POST, "/book/x", FATAL).await.unwrap();
        ran += usize::from(reply.status == 502);
        assert!(reply.status == 502 || reply.status == 503, "{}", reply.status);
        tokio::time::sleep(Duration::from_millis(1_000)).await;
    }
    assert_eq!((crashed(&engines), ran), (3, 3), "each ran at one engine and was reported as such");
    let caller = Caller::new(nodes[0].listen).key(KEY);
    assert_eq!(caller.call(Method::POST, "/book/x", "other").await.unwrap().status, 200);
}

/// A connection that a live engine resets or cuts off is no evidence against the request.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_cut_responses_off_do_not_count_as_crashed() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 6);
    engines.iter().for_each(|e| e.set_behavior(Behavior::TruncateAfter(0)));
    let node = cluster.node().await;
    for _ in 0..8 {
        stream(&node, "proper").await;
    }
    assert_eq!(node.events("engine_ended").len(), 0);
    engines.iter().for_each(|e| e.set_behavior(Behavior::Stream(3, Duration::from_millis(2))));
    assert_eq!(stream(&node, "proper").await.status, 200);
}

/// Engines crash on their own, one after the other, while they run the same long stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_had_run_for_long_when_engines_crashed_is_not_held_back() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 8);
    let node = cluster.node().await;
    for _ in 0..4 {
        let call = stream(&node, "proper");
        let fault = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let runs = |e: &&Engine| {
                !e.has_exited()
                    && e.requests()
                        .last()
                        .is_some_and(|s| s.at.elapsed() < Duration::from_millis(700))
            };
            engines.iter().filter(runs).for_each(Engine::crash);
        };
        tokio::join!(call, fault);
    }
    assert!(crashed(&engines) >= 3);
    assert_eq!(node.events("request_held_back").len(), 0);
}

/// When each node had to detect the exit itself, a caller was refused after four attempts at
/// engines that had exited: entries expire only three seconds after an exit.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_avoid_an_engine_whose_exit_another_node_detected() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 6);
    let nodes = nodes(&cluster).await;
    let call = stream(&nodes[0], "proper");
    let fault = async {
        wait_until("the stream runs", async || engines.iter().any(|e| !e.requests().is_empty()))
            .await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        engines.iter().filter(|e| !e.requests().is_empty()).for_each(Engine::crash);
    };
    tokio::join!(call, fault);
    let gone = engines.iter().find(|e| e.has_exited()).unwrap();
    engines.iter().for_each(|e| e.set_behavior(Behavior::Stream(2, Duration::from_millis(2))));
    for node in &nodes {
        let avoided = |e: &Value| e["engine"] == gone.id.as_str() && e["why"] == "engine exited";
        wait_until("the engine is avoided", async || {
            node.events("engine_doubted").iter().any(avoided)
        })
        .await;
        for _ in 0..8 {
            assert_eq!(stream(node, "proper").await.status, 200);
        }
        assert_eq!(node.events("engine_doubted").iter().filter(|e| avoided(e)).count(), 1);
        let sent =
            node.events("call_routed").into_iter().filter(|e| e["engine"] == gone.id.as_str());
        assert!(sent.count() <= 1, "only the call that was cut off");
    }
}

/// Guards against crashes that are forgotten because all nodes start again before the third one.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_count_although_all_nodes_start_again_after_each() {
    let cluster = Cluster::new();
    let engines = engines(&cluster, 18);
    let mut node = cluster.node().await;
    for crash in 1..=4 {
        stream(&node, FATAL).await;
        if crashed(&engines) < crash {
            break;
        }
        tokio::time::sleep(CONTACT_BOUND).await;
        drop(node);
        node = cluster.node().await;
    }
    let crashes = crashed(&engines);
    assert_eq!(stream(&node, FATAL).await.status, 503);
    assert_eq!(crashed(&engines), crashes);
}
