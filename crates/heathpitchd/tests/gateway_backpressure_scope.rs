//! Scope of backpressure: how long it holds, for which nodes, and how callers are answered
//! meanwhile.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Cluster, KEY, status, wait_until};
use heathpitch_standin::{Behavior, Caller, Engine, GatewayProcess, LinkMode, Reply};
use hyper::Method;
use serde_json::Value;

/// Time within which all nodes know what one of them learned: the contact bound of the smallest
/// deployments.
const CONTACT_BOUND: Duration = Duration::from_millis(3_000);

fn caller(node: &GatewayProcess) -> Caller {
    Caller::new(node.listen).key(KEY)
}

async fn get(node: &GatewayProcess) -> Reply {
    caller(node).call(Method::GET, "/get/x", "").await.unwrap()
}

/// Makes an engine reject requests and request this pause.
fn request_pause(engine: &Engine, pause: &str) {
    engine.set_retry_after(pause);
    engine.set_behavior(Behavior::Refuse);
}

fn is_about(event: &Value, engine: &Engine) -> bool {
    event["engine"] == engine.id.as_str()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_is_refused_immediately_with_a_retry_time_when_all_engines_are_paused() {
    let cluster = Cluster::new();
    let engines = [cluster.engine("a", "api"), cluster.engine("b", "api")];
    engines.iter().for_each(|e| request_pause(e, "1.2"));
    let node = cluster.node().await;
    let start = Instant::now();
    assert_eq!(get(&node).await.status, 503);
    let mut retry_times = Vec::new();
    for _ in 0..6 {
        let sent = Instant::now();
        let reply = get(&node).await;
        assert!(sent.elapsed() < Duration::from_millis(100), "{:?}", sent.elapsed());
        assert_eq!((reply.status, reply.digest()), (503, None));
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(text.contains("resting") && text.contains("not_run"), "{text}");
        retry_times.push(reply.header("retry-after").unwrap().parse::<f64>().unwrap());
    }
    let most = 0.3 * 5.0;
    assert!(
        retry_times.iter().all(|t| (0.5..=most).contains(t)),
        "retry times match the end of the pause: {retry_times:?}"
    );
    assert!(
        retry_times.iter().any(|t| *t != retry_times[0]),
        "retry times are spread: {retry_times:?}"
    );
    let requests: usize = engines.iter().map(|e| e.requests().len()).sum();
    assert_eq!(requests, 2, "each engine rejected one");
    engines.iter().for_each(|e| e.set_behavior(Behavior::Echo));
    wait_until("an engine is used again", async || get(&node).await.status == 200).await;
    assert!(start.elapsed() >= Duration::from_millis(1_200), "{:?}", start.elapsed());
}

/// Responses that were in flight when the pause was requested arrive later, with other times or
/// none.
#[tokio::test(flavor = "multi_thread")]
async fn the_longest_requested_pause_holds() {
    let cluster = Cluster::new();
    let engine = cluster.engine("a", "api");
    let node = cluster.node().await;
    request_pause(&engine, "2");
    get(&node).await;
    let start = Instant::now();
    // No request reaches the engine any more, which could get another response, nor does a health
    // check.
    for pause in ["0.1", "0", "nonsense", "-5", ""] {
        request_pause(&engine, pause);
        get(&node).await;
    }
    wait_until("the engine gets a request again", async || {
        get(&node).await;
        engine.requests().len() > 1
    })
    .await;
    assert!(start.elapsed() >= Duration::from_millis(1_950), "{:?}", start.elapsed());
    assert_eq!(engine.health_checks().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_pauses_are_ignored_and_a_very_long_one_ends_with_a_restart() {
    let cluster = Cluster::new();
    let engine = cluster.engine("a", "api");
    let node = cluster.node().await;
    for malformed in ["soon", "-3", "NaN", "Fri, 04 Dec 2026 00:00:00 GMT"] {
        request_pause(&engine, malformed);
        get(&node).await;
        engine.set_behavior(Behavior::Echo);
        assert_eq!(get(&node).await.status, 200, "{malformed}");
    }
    request_pause(&engine, "1e300");
    get(&node).await;
    engine.set_behavior(Behavior::Echo);
    assert_eq!(get(&node).await.status, 503);
    engine.restart();
    engine.register("ready");
    wait_until("the restarted engine is used", async || get(&node).await.status == 200).await;
}

/// Entries expire and come back, as after an outage of the store.
#[tokio::test(flavor = "multi_thread")]
async fn backpressure_outlives_the_entry_of_its_engine() {
    let cluster = Cluster::new();
    let (paused, draining) = (cluster.engine("a", "api"), cluster.engine("b", "api"));
    let node = cluster.node().await;
    draining.set_draining(true);
    request_pause(&paused, "60");
    wait_until("both signals are known", async || {
        get(&node).await;
        node.events("engine_wished").len() >= 2
    })
    .await;
    let before = paused.requests().len() + draining.requests().len();
    for engine in [&paused, &draining] {
        engine.deregister();
        wait_until("the entry is gone", async || {
            node.events("engine_gone").iter().any(|e| is_about(e, engine))
        })
        .await;
        let listed =
            async || node.events("engine_listed").iter().filter(|e| is_about(e, engine)).count();
        let listings = listed().await;
        engine.register("ready");
        wait_until("the entry is back", async || listed().await > listings).await;
    }
    for _ in 0..10 {
        assert_eq!(get(&node).await.status, 503);
    }
    assert_eq!(paused.requests().len() + draining.requests().len(), before);
}

/// The store is unreachable, and the engine's entry says that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn every_node_avoids_an_engine_that_announced_a_drain_to_one_of_them() {
    let cluster = Cluster::new();
    let (draining, other) = (cluster.engine("a", "api"), cluster.engine("b", "api"));
    let (planner, link, follower) = cluster.planner_and_follower().await;
    let far = cluster.start_in("atl", "n3");
    far.wait_ready().await.unwrap();
    wait_until("planners know each other", async || !far.events("neighbour_changed").is_empty())
        .await;
    link.set_mode(LinkMode::Blackhole);
    draining.set_draining(true);
    wait_until("the follower knows of the drain", async || {
        assert_eq!(status(&caller(&follower), "/open/x").await, 200);
        draining.requests().last().is_some_and(|s| s.at.elapsed() < Duration::from_millis(500))
            && !follower.events("engine_leaves").is_empty()
    })
    .await;
    let announced = Instant::now();
    for node in [&planner, &far] {
        wait_until("the node knows of the drain", async || {
            !node.events("engine_leaves").is_empty()
        })
        .await;
        assert_eq!(node.events("engine_leaves")[0]["by"], "another node");
    }
    assert!(announced.elapsed() < CONTACT_BOUND, "{:?}", announced.elapsed());
    println!("known to all after {:?}", announced.elapsed());
    let before = draining.requests().len();
    for node in [&planner, &far, &follower] {
        for _ in 0..5 {
            assert_eq!(status(&caller(node), "/open/x").await, 200);
        }
    }
    assert_eq!(draining.requests().len(), before);
    assert!(!other.requests().is_empty());
    let new = cluster.start_in("atl", "n4");
    new.wait_ready().await.unwrap();
    wait_until("a new node learns of the drain", async || !new.events("engine_leaves").is_empty())
        .await;
}

/// A wrong drain notice must not cost a service its only engine permanently.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_stays_listed_and_no_longer_announces_a_drain_is_used_again() {
    let cluster = Cluster::new();
    let engine = cluster.engine("a", "api");
    let node = cluster.node().await;
    engine.set_draining(true);
    assert_eq!(get(&node).await.status, 200);
    assert_eq!(get(&node).await.status, 503);
    // Four suspensions of ten seconds: more than the 30 s after which the engine is rechecked.
    for i in 1..=4 {
        node.signal("USR2").unwrap();
        wait_until("the suspension is detected", async || node.events("vm_suspended").len() == i)
            .await;
    }
    wait_until("the engine is rechecked", async || !engine.health_checks().is_empty()).await;
    assert_eq!(get(&node).await.status, 503, "it announced the drain again");
    engine.set_draining(false);
    wait_until("the engine is used again", async || get(&node).await.status == 200).await;
    wait_until("the end of the drain is logged", async || !node.events("engine_stays").is_empty())
        .await;
}

/// Another engine, which is draining itself, uses the address of an engine that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_notice_of_another_engine_at_the_same_address_is_ignored() {
    let cluster = Cluster::new();
    let other = cluster.engine("b", "one");
    other.set_draining(true);
    cluster.store.register_engine("gone", "api", "mem", other.address);
    let node = cluster.node().await;
    assert_eq!(get(&node).await.status, 503);
    assert_eq!(node.events("engine_leaves").len() + node.events("engine_wished").len(), 0);
}

/// The engine that rejects streams is behind the first one of the path, which reports its address.
#[tokio::test(flavor = "multi_thread")]
async fn streams_avoid_an_engine_behind_the_first_that_requested_a_pause() {
    let cluster = Cluster::new();
    let [a, b, c, d] = ["a", "b", "c", "d"].map(|id| cluster.engine(id, "llm"));
    [&a, &d].iter().for_each(|e| e.set_layers(0, 4));
    [&b, &c].iter().for_each(|e| e.set_layers(4, 8));
    let node = cluster.node().await;
    let heads = [&a, &d];
    heads.iter().for_each(|e| e.set_behavior(Behavior::RefuseVia(b.address)));
    heads.iter().for_each(|e| e.set_retry_after("30"));
    let stream = async || caller(&node).call(Method::POST, "/tell/x", "prompt").await.unwrap();
    let through = |engine: &Engine| {
        let seen = [a.requests(), d.requests()].concat();
        seen.iter().filter(|s| s.path().unwrap().contains(&engine.address.to_string())).count()
    };
    for _ in 0..12 {
        // The engine that responded is paused as well as the one at fault, so that no path may be
        // left.
        let reply = stream().await;
        assert!(reply.status == 200 || reply.status == 503, "{}", reply.status);
    }
    assert!(through(&b) <= 1, "{} through it, {} through the other", through(&b), through(&c));
    assert!(through(&c) + through(&b) > 0);
}

/// A running stream is not cut off; new ones go to another engine.
#[tokio::test(flavor = "multi_thread")]
async fn running_streams_continue_at_an_engine_that_requests_a_pause_or_drains() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.engine("a", "one"), cluster.engine("b", "one"));
    [&a, &b].iter().for_each(|e| e.set_behavior(Behavior::Stream(40, Duration::from_millis(20))));
    let node = cluster.node().await;
    let long = async || caller(&node).call(Method::POST, "/whole/x", "long").await.unwrap();
    let signal = async {
        wait_until("one stream runs", async || a.requests().len() + b.requests().len() == 1).await;
        let used = if a.requests().is_empty() { &b } else { &a };
        request_pause(used, "5");
        used.set_draining(true);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let replies = futures::future::join_all((0..4).map(|_| long())).await;
        assert!(replies.iter().all(|r| r.status == 200 && r.complete));
        used.requests().len()
    };
    let (running, received) = tokio::join!(long(), signal);
    assert!(running.complete && running.events() == (1..=40).collect::<Vec<_>>());
    assert!(received <= 3, "only streams in flight may arrive: {received}");
}

/// The engine has the least load of all, as it responds immediately.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_rejects_calls_without_a_retry_time_is_avoided_for_a_short_time() {
    let cluster = Cluster::new();
    let (rejecting, _other) = (cluster.engine("a", "api"), cluster.engine("b", "api"));
    rejecting.set_behavior(Behavior::Refuse);
    let node = cluster.node().await;
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1_000) {
        assert_eq!(get(&node).await.status, 200);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let received = rejecting.requests().len();
    assert!((1..=3).contains(&received), "once in 0.6 s: {received}");
}
