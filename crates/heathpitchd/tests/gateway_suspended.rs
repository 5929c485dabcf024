//! A VM that is suspended for ten seconds: its steady clock does not count them, and all that the node
//! measures does.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{KEY, World, fed, status, wait};
use heathpitch_standin::{Behavior, Caller, LinkMode};
use hyper::Method;
use serde_json::json;

/// Nothing that it knew of keys is young enough, and the store does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_may_have_been_taken_away_meanwhile_does_not_work() {
    let world = World::new();
    world.engine("a", "api");
    let (node, link) = world.start_behind("n1", &json!({}));
    node.wait_ready().await.unwrap();
    let caller = Caller::new(node.listen).key(KEY);
    wait("calls are served", async || status(&caller, "/get/x").await == 200).await;
    link.set_mode(LinkMode::Blackhole);
    node.signal("USR2").unwrap();
    wait("it knows", async || !node.events("vm_suspended").is_empty()).await;
    assert_eq!(status(&caller, "/get/x").await, 503);
    assert!(!node.is_ready().await, "callers had better go elsewhere");
    wait("its log is written", async || !node.events("call_refused").is_empty()).await;
    let refused = node.events("call_refused");
    assert_eq!(refused[0]["kind"], "stale_keys");
    assert!(refused[0]["proof_ms"].as_u64().unwrap() >= 10_000);
    link.set_mode(LinkMode::Pass);
    wait("it is told and serves again", async || status(&caller, "/get/x").await == 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_others_follow_tells_nothing_that_is_old() {
    let world = World::new();
    world.engine("a", "api");
    let (planner, link, other) = world.planner_and_follower().await;
    link.set_mode(LinkMode::Blackhole);
    planner.signal("USR2").unwrap();
    let begun = Instant::now();
    wait("it gives its planner up", async || fed(&other) == Some(false)).await;
    assert!(begun.elapsed() < Duration::from_millis(1_300), "{:?}", begun.elapsed());
}

/// Timers would end it as much later as the VM was suspended.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_time_is_over_meanwhile_is_answered_at_once() {
    let world = World::new();
    let engine = world.engine("a", "api");
    let stream = world.engine("b", "one");
    engine.set_behavior(Behavior::Hang);
    stream.set_behavior(Behavior::Stream(10_000, Duration::from_millis(50)));
    let node = world.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    let begun = Instant::now();
    let suspend = async {
        wait("both run", async || !engine.requests().is_empty() && !stream.requests().is_empty())
            .await;
        node.signal("USR2").unwrap();
    };
    let call = caller.call(Method::GET, "/get/x", "");
    let told = caller.call(Method::POST, "/whole/x", "prompt");
    let (call, told, ()) = tokio::join!(call, told, suspend);
    assert_eq!(call.unwrap().status, 504);
    assert!(!told.unwrap().complete, "a stream that is cut off does not look whole");
    assert!(begun.elapsed() < Duration::from_millis(2_500), "{:?}", begun.elapsed());
    wait("the engine sees that its reader left", async || stream.abandoned_streams() == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_serves_again_soon_after() {
    let world = World::new();
    world.engine("a", "api");
    let node = world.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    assert_eq!(status(&caller, "/get/x").await, 200);
    node.signal("USR2").unwrap();
    wait("it knows", async || !node.events("vm_suspended").is_empty()).await;
    let begun = Instant::now();
    wait("calls are served", async || status(&caller, "/get/x").await == 200).await;
    assert!(begun.elapsed() < Duration::from_millis(2_500), "{:?}", begun.elapsed());
}
