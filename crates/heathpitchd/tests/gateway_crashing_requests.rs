//! Requests under which engines end.
//!
//! Seen: one request ended nine to seventeen engines, one after the other, each with all streams that ran
//! there; between two of them a failure domain had no first layers. It came about because the request ended
//! the engine that began to run it, was sent to a second one, and came back by its caller, with another
//! id and at another node. The cause: what a node learned from the loss of an engine ended with the
//! call, and was known nowhere else. Proof: on that code the first test here ends twelve engines more once
//! three have ended (nine to twelve in three runs), two for most times that the request comes.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{KEY, World, fed, wait};
use heathpitch_standin::{Caller, Engine, GatewayProcess, Play, Reply};
use hyper::Method;
use serde_json::json;

/// Body of the request that ends engines.
const FATAL: &str = "fatal";
/// Time after the third end in which all nodes in touch have to know, as agreed on the smallest deployments.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Sends that are allowed after that.
const MORE: usize = 3;

/// Engines that end when they begin to run the fatal request.
fn engines(world: &World, count: usize) -> Vec<Engine> {
    let engine = |i: usize| {
        let engine = world.engine(&format!("e{i}"), "one");
        engine.play(Play::Stream(40, Duration::from_millis(25)));
        engine.end_by(FATAL);
        engine
    };
    (0..count).map(engine).collect()
}

/// Two nodes of one failure domain and one of another.
async fn nodes(world: &World) -> [GatewayProcess; 3] {
    let planner = world.node().await;
    let follower = world.start("n2", &json!({}));
    let other = world.start_in("atl", "n3");
    for node in [&follower, &other] {
        node.wait_ready().await.unwrap();
    }
    wait("the second node is told", async || fed(&follower) == Some(true)).await;
    wait("the third node plans", async || !other.events("domain_planner").is_empty()).await;
    wait("planners know each other", async || !other.events("neighbour_changed").is_empty()).await;
    [planner, follower, other]
}

/// Sends a stream's request.
async fn tell(node: &GatewayProcess, body: &str) -> Reply {
    let caller = Caller::new(node.listen).key(KEY);
    caller.call(Method::POST, "/whole/x", body).await.unwrap()
}

/// Times at which the fatal request reached an engine.
fn sends(engines: &[Engine]) -> Vec<Instant> {
    let seen = engines.iter().flat_map(Engine::seen);
    seen.filter(|s| &s.body[..] == FATAL.as_bytes()).map(|s| s.at).collect()
}

fn ended(engines: &[Engine]) -> usize {
    engines.iter().filter(|e| e.ended()).count()
}

/// Has the request come, at one node after the other, until it has ended three engines.
async fn end_three(nodes: &[GatewayProcess], engines: &[Engine]) -> Instant {
    for node in nodes.iter().cycle() {
        tell(node, FATAL).await;
        if ended(engines) >= 3 {
            return Instant::now();
        }
    }
    Instant::now()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ended_three_engines_reaches_three_more_at_most() {
    let world = World::new();
    let engines = engines(&world, 18);
    let nodes = nodes(&world).await;
    let third = end_three(&nodes, &engines).await;
    tokio::time::sleep(CONTACT).await;
    for node in nodes.iter().cycle().take(6) {
        tell(node, FATAL).await;
    }
    let later = sends(&engines).into_iter().filter(|at| *at > third + CONTACT).count();
    assert!(later <= MORE, "it reached engines {later} times more, {} ended", ended(&engines));
}
