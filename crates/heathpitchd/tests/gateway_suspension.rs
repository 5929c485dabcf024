//! A VM that is suspended for ten seconds: its monotonic clock does not count them, but the node's
//! measurements do.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Cluster, KEY, is_fed, status, wait_until};
use heathpitch_standin::{Behavior, Caller, LinkMode};
use hyper::Method;
use serde_json::json;

/// The node's proof of the configuration is too old after the suspension, and the store does not
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_may_have_been_revoked_meanwhile_is_rejected() {
    let cluster = Cluster::new();
    cluster.engine("a", "api");
    let (node, link) = cluster.start_behind("n1", &json!({}));
    node.wait_ready().await.unwrap();
    let caller = Caller::new(node.listen).key(KEY);
    wait_until("calls are served", async || status(&caller, "/get/x").await == 200).await;
    link.set_mode(LinkMode::Blackhole);
    node.signal("USR2").unwrap();
    wait_until("the suspension is detected", async || !node.events("vm_suspended").is_empty())
        .await;
    assert_eq!(status(&caller, "/get/x").await, 503);
    assert!(!node.is_ready().await, "callers should use another node");
    wait_until("the refusal is logged", async || !node.events("call_refused").is_empty()).await;
    let refused = node.events("call_refused");
    assert_eq!(refused[0]["kind"], "stale_keys");
    assert!(refused[0]["proof_ms"].as_u64().unwrap() >= 10_000);
    link.set_mode(LinkMode::Pass);
    wait_until("the store answers and calls are served again", async || {
        status(&caller, "/get/x").await == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_was_suspended_serves_no_outdated_feed() {
    let cluster = Cluster::new();
    cluster.engine("a", "api");
    let (planner, link, other) = cluster.planner_and_follower().await;
    link.set_mode(LinkMode::Blackhole);
    planner.signal("USR2").unwrap();
    let start = Instant::now();
    wait_until("the follower drops its planner", async || is_fed(&other) == Some(false)).await;
    assert!(start.elapsed() < Duration::from_millis(1_300), "{:?}", start.elapsed());
}

/// Timers alone would end the call late, by the length of the suspension.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_deadline_passed_meanwhile_is_answered_immediately() {
    let cluster = Cluster::new();
    let engine = cluster.engine("a", "api");
    let stream = cluster.engine("b", "one");
    engine.set_behavior(Behavior::Hang);
    stream.set_behavior(Behavior::Stream(10_000, Duration::from_millis(50)));
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    let start = Instant::now();
    let suspend = async {
        wait_until("both calls run", async || {
            !engine.requests().is_empty() && !stream.requests().is_empty()
        })
        .await;
        node.signal("USR2").unwrap();
    };
    let call = caller.call(Method::GET, "/get/x", "");
    let streamed = caller.call(Method::POST, "/whole/x", "prompt");
    let (call, streamed, ()) = tokio::join!(call, streamed, suspend);
    assert_eq!(call.unwrap().status, 504);
    assert!(!streamed.unwrap().complete, "a stream that was cut off must not look complete");
    assert!(start.elapsed() < Duration::from_millis(2_500), "{:?}", start.elapsed());
    wait_until("the engine's connection is closed", async || stream.abandoned_streams() == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_serves_again_soon_after_a_suspension() {
    let cluster = Cluster::new();
    cluster.engine("a", "api");
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    assert_eq!(status(&caller, "/get/x").await, 200);
    node.signal("USR2").unwrap();
    wait_until("the suspension is detected", async || !node.events("vm_suspended").is_empty())
        .await;
    let start = Instant::now();
    wait_until("calls are served", async || status(&caller, "/get/x").await == 200).await;
    assert!(start.elapsed() < Duration::from_millis(2_500), "{:?}", start.elapsed());
}
