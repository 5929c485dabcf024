//! Links to the store that lose connections without a word.
//!
//! Seen: a node sent streams to an engine 2.3 s after the store had taken its word that it leaves;
//! 2.0 s are agreed. The node's failure domain had been cut off for 6 s, and its link had been back for
//! 2.6 s. How it came about: its watch of the engines had been asked just before the cut, on a
//! connection that did not come back with the network; a proof of the configuration on a new connection
//! went through at once. Cause: the node took that answer for a sign that it knows all that the store
//! holds, and waited up to 16 s for the watch; as its domain's planner it told the others the same.
//! Proof: the watch that brought 46 changes at once had been asked 12.7 s before.
//!
//! Once a link is back for the time after which nodes count as in touch, an engine that left longer ago
//! than agreed gets no request, whatever became of the connections of before.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{KEY, World, fed, reachable, wait, wall_ms};
use heathpitch_standin::{Caller, Engine, GatewayProcess, LinkMode, Proxy};
use hyper::Method;
use serde_json::json;

/// Time after which a node whose links are sound again counts as in touch.
const IN_TOUCH: Duration = Duration::from_millis(3_000);
/// Time for which an engine that said that it leaves may still be sent requests.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Calls made to see where they go: with two engines of equal load, one of them is missed by all
/// with a likelihood of one in a million.
const CALLS: usize = 20;

/// A node that plans its failure domain, and whose link to the store can be spoilt.
async fn planner(world: &World) -> (GatewayProcess, Proxy) {
    let (node, link) = world.start_behind("n1", &json!({}));
    node.wait_ready().await.unwrap();
    wait("it plans", async || !node.events("domain_planner").is_empty()).await;
    (node, link)
}

/// Cuts a node off from the store until it knows; its connections don't come back with the link. Gives
/// when the link was sound again, once the store answers.
async fn cut_off(node: &GatewayProcess, link: &Proxy) -> Instant {
    link.set_mode(LinkMode::Blackhole);
    wait("the node knows", async || reachable(node) == Some(false)).await;
    link.blackhole_open();
    link.set_mode(LinkMode::Pass);
    let sound = Instant::now();
    wait("the store answers", async || reachable(node) == Some(true)).await;
    sound
}

/// Requests of a node that reach an engine, of as many as show whether any does.
async fn reach(node: &GatewayProcess, engine: &Engine) -> usize {
    let caller = Caller::new(node.listen).key(KEY);
    let before = engine.requests().len();
    for _ in 0..CALLS {
        assert_eq!(caller.call(Method::GET, "/get/x", "").await.unwrap().status, 200);
    }
    engine.requests().len() - before
}

/// Waits until a node in touch since `sound` must know of what happened at `told`.
async fn must_know(sound: Instant, told: Instant) {
    let at = (sound + IN_TOUCH).max(told + DRAIN);
    tokio::time::sleep(at.saturating_duration_since(Instant::now())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_cut_off_hears_of_engines_that_leave_afterwards() {
    let world = World::new();
    let (a, _b) = (world.engine("a", "api"), world.engine("b", "api"));
    let (node, link) = planner(&world).await;
    assert!(reach(&node, &a).await > 0);
    let sound = cut_off(&node, &link).await;
    a.register("draining");
    must_know(sound, Instant::now()).await;
    assert_eq!(reach(&node, &a).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_that_falls_silent_alone_is_not_waited_for() {
    let world = World::new();
    let (a, _b) = (world.engine("a", "api"), world.engine("b", "api"));
    let (node, link) = planner(&world).await;
    link.blackhole_open();
    let sound = Instant::now();
    a.register("draining");
    must_know(sound, Instant::now()).await;
    assert_eq!(reach(&node, &a).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_hears_nothing_of_engines_leads_no_other_node_astray() {
    let world = World::new();
    let (a, _b) = (world.engine("a", "api"), world.engine("b", "api"));
    let (planner, link) = planner(&world).await;
    let other = world.start("n2", &json!({}));
    other.wait_ready().await.unwrap();
    wait("the second node is told", async || fed(&other) == Some(true)).await;
    link.blackhole_open();
    a.register("draining");
    // The second node's own links are sound all the time.
    must_know(Instant::now() - IN_TOUCH, Instant::now()).await;
    assert_eq!(reach(&other, &a).await, 0, "the second node");
    tokio::time::sleep(IN_TOUCH - DRAIN).await;
    assert_eq!(reach(&planner, &a).await, 0, "the planner");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_cut_off_hears_of_configurations_at_once_again() {
    let mut world = World::new();
    world.engine("a", "api");
    let (node, link) = planner(&world).await;
    cut_off(&node, &link).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for version in [9, 14, 20, 25] {
        world.site.version = version;
        world.configure();
        let sent = wall_ms();
        let adopted = || {
            let last = node.events("config_adopted").pop().filter(|e| e["version"] == version);
            last.and_then(|e| e["at"].as_u64())
        };
        wait("it is in force", async || adopted().is_some()).await;
        // Without the watch it is found by the next proof, up to two seconds later.
        let took = adopted().unwrap().saturating_sub(sent);
        assert!(took < 150, "version {version}: {took} ms");
        tokio::time::sleep(Duration::from_millis(330)).await;
    }
}
