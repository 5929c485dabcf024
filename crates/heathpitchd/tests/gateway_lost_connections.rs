//! Links to the store that lose connections silently.
//!
//! A node sent streams to an engine 2.3 s after the store had recorded its drain; the bound is 2.0
//! s. The node's failure domain had been partitioned for 6 s, and its link had been restored for
//! 2.6 s. Its watch of the engines was sent just before the partition, on a connection that did not
//! survive it, while a proof of the configuration on a new connection succeeded immediately. The
//! node took that proof as a sign that its state was complete, and waited up to 16 s for the watch;
//! as planner of its domain it served the same state to the others. The watch that finally returned
//! 46 changes at once had been sent 12.7 s before.
//!
//! Once a link has been restored for the contact bound, an engine whose drain is older than the
//! drain bound must receive no request, whatever happened to the earlier connections.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Cluster, KEY, is_fed, reachable, wait_until, wall_ms};
use heathpitch_standin::{Caller, Engine, GatewayProcess, LinkMode, Proxy};
use hyper::Method;
use serde_json::json;

/// Time after which a node whose links are restored counts as connected: the contact bound.
const CONTACT_BOUND: Duration = Duration::from_millis(3_000);
/// Time for which a draining engine may still be sent requests: the drain bound.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);
/// Calls made to see where they go: with two engines of equal load, all calls miss one of them with
/// a probability of one in a million.
const CALLS: usize = 20;

/// A planner whose link to the store can be disturbed.
async fn planner(cluster: &Cluster) -> (GatewayProcess, Proxy) {
    let (node, link) = cluster.start_behind("n1", &json!({}));
    node.wait_ready().await.unwrap();
    wait_until("the node is planner", async || !node.events("domain_planner").is_empty()).await;
    (node, link)
}

/// Partitions a node from the store until it detects that, then restores the link, but not its
/// connections. Returns the time at which the link was restored, once the store answers.
async fn partition(node: &GatewayProcess, link: &Proxy) -> Instant {
    link.set_mode(LinkMode::Blackhole);
    wait_until("the node finds the store unreachable", async || reachable(node) == Some(false))
        .await;
    link.blackhole_open();
    link.set_mode(LinkMode::Pass);
    let restored = Instant::now();
    wait_until("the store answers", async || reachable(node) == Some(true)).await;
    restored
}

/// Number of a node's calls that an engine receives, out of [`CALLS`].
async fn count_calls(node: &GatewayProcess, engine: &Engine) -> usize {
    let caller = Caller::new(node.listen).key(KEY);
    let before = engine.requests().len();
    for _ in 0..CALLS {
        assert_eq!(caller.call(Method::GET, "/get/x", "").await.unwrap().status, 200);
    }
    engine.requests().len() - before
}

/// Waits until a node whose link was restored at `restored` must know of a drain recorded at
/// `drained`.
async fn wait_until_known(restored: Instant, drained: Instant) {
    let at = (restored + CONTACT_BOUND).max(drained + DRAIN_BOUND);
    tokio::time::sleep(at.saturating_duration_since(Instant::now())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_learns_of_drains_after_a_partition() {
    let cluster = Cluster::new();
    let (a, _b) = (cluster.engine("a", "api"), cluster.engine("b", "api"));
    let (node, link) = planner(&cluster).await;
    assert!(count_calls(&node, &a).await > 0);
    let restored = partition(&node, &link).await;
    a.register("draining");
    wait_until_known(restored, Instant::now()).await;
    assert_eq!(count_calls(&node, &a).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_whose_connection_alone_is_lost_is_not_awaited() {
    let cluster = Cluster::new();
    let (a, _b) = (cluster.engine("a", "api"), cluster.engine("b", "api"));
    let (node, link) = planner(&cluster).await;
    link.blackhole_open();
    let restored = Instant::now();
    a.register("draining");
    wait_until_known(restored, Instant::now()).await;
    assert_eq!(count_calls(&node, &a).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_lost_its_engine_watch_does_not_mislead_followers() {
    let cluster = Cluster::new();
    let (a, _b) = (cluster.engine("a", "api"), cluster.engine("b", "api"));
    let (planner, link) = planner(&cluster).await;
    let other = cluster.start("n2", &json!({}));
    other.wait_ready().await.unwrap();
    wait_until("the second node follows the planner", async || is_fed(&other) == Some(true)).await;
    link.blackhole_open();
    a.register("draining");
    // The second node's own links work all the time.
    wait_until_known(Instant::now() - CONTACT_BOUND, Instant::now()).await;
    assert_eq!(count_calls(&other, &a).await, 0, "the second node");
    tokio::time::sleep(CONTACT_BOUND - DRAIN_BOUND).await;
    assert_eq!(count_calls(&planner, &a).await, 0, "the planner");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_adopts_configurations_immediately_after_a_partition() {
    let mut cluster = Cluster::new();
    cluster.engine("a", "api");
    let (node, link) = planner(&cluster).await;
    partition(&node, &link).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for version in [9, 14, 20, 25] {
        cluster.config.version = version;
        cluster.configure();
        let sent = wall_ms();
        let adopted = || {
            let last = node.events("config_adopted").pop().filter(|e| e["version"] == version);
            last.and_then(|e| e["at"].as_u64())
        };
        wait_until("the configuration is in force", async || adopted().is_some()).await;
        // Without the watch only the next proof finds it, up to two seconds later.
        let elapsed_ms = adopted().unwrap().saturating_sub(sent);
        assert!(elapsed_ms < 150, "version {version}: {elapsed_ms} ms");
        tokio::time::sleep(Duration::from_millis(330)).await;
    }
}
