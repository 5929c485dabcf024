//! Age of the configuration by which a node serves that is in touch with the store.
//!
//! A call sent later than the agreed time after the store accepted a configuration must be handled by that
//! configuration or a newer one. On real processes a node whose fellow nodes stopped at once ran calls by the version
//! before for up to 4.6 s: its polls went round the silent nodes, and it did not read the store until they all had
//! failed within the same second.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::partition::{CallKind, PartitionedFleet};
use gateway::{Cluster, KEY, is_fed, wait_until};
use heathpitch_standin::{Caller, Engine, GatewayProcess, LinkMode, RouteSpec};
use hyper::Method;
use serde_json::json;

/// Agreed time from the acceptance of a configuration until nodes in touch serve by it.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Time after [`APPLY_BOUND`] in which calls are checked.
const CHECK_TIME: Duration = Duration::from_millis(3_000);
/// Time between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// A failure domain of `count` nodes, the first of which is its planner.
async fn domain(cluster: &Cluster, count: usize) -> Vec<GatewayProcess> {
    let mut nodes = vec![cluster.node().await];
    nodes.extend((2..=count).map(|i| cluster.start(&format!("n{i}"), &json!({}))));
    for node in &nodes[1..] {
        node.wait_ready().await.unwrap();
        wait_until("the node is fed", async || is_fed(node) == Some(true)).await;
    }
    // Until every follower knows the standbys.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    nodes
}

/// Replaces a route, and returns when the store had accepted that.
fn replace_route(cluster: &mut Cluster, index: usize, route: RouteSpec) -> Instant {
    cluster.config.version += 4;
    cluster.config.routes[index] = route;
    cluster.configure();
    Instant::now()
}

/// Calls a node beyond [`APPLY_BOUND`] after `accepted`, and returns how many of the calls `new` did not run.
async fn count_outdated(node: &GatewayProcess, new: &Engine, accepted: Instant) -> usize {
    tokio::time::sleep_until((accepted + APPLY_BOUND).into()).await;
    let caller = Caller::new(node.listen).key(KEY).keep_alive();
    let (mut calls, before) = (0, new.requests().len());
    while accepted.elapsed() < APPLY_BOUND + CHECK_TIME {
        caller.call(Method::GET, "/get/x", "").await.unwrap();
        calls += 1;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    calls + before - new.requests().len()
}

/// Stops all nodes of a failure domain but one, moves a route `pause` later, and returns how many calls that node did
/// not handle by the new configuration in time.
async fn outdated_beside_stopped(count: usize, survivor: usize, pause: Duration) -> usize {
    let mut cluster = Cluster::new();
    cluster.config.services.push("new".to_owned());
    cluster.configure();
    let (_old, new) = (cluster.engine("a", "api"), cluster.engine("b", "new"));
    let nodes = domain(&cluster, count).await;
    let others = || nodes.iter().enumerate().filter(|(i, _)| *i != survivor).map(|(_, n)| n);
    others().for_each(|n| n.signal("STOP").unwrap());
    tokio::time::sleep(pause).await;
    let accepted = replace_route(&mut cluster, 0, RouteSpec::idempotent("/get/", "new"));
    let late = count_outdated(&nodes[survivor], &new, accepted).await;
    others().for_each(|n| n.signal("CONT").unwrap());
    late
}

/// Guards against polls of silent nodes that keep a standby from reading the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_standby_applies_configurations_in_time_beside_stopped_nodes() {
    for pause in [0, 250, 500].map(Duration::from_millis) {
        assert_eq!(outdated_beside_stopped(4, 3, pause).await, 0, "change {pause:?} later");
    }
}

/// Guards against a node that is no standby and waits its turn to read the store beyond the agreed time.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_applies_configurations_in_time_beside_stopped_nodes() {
    for pause in [0, 250, 500].map(Duration::from_millis) {
        assert_eq!(outdated_beside_stopped(5, 4, pause).await, 0, "change {pause:?} later");
    }
}

/// Guards against a failure domain that goes to the store as a whole once its planner is silent: with hundreds of nodes
/// that would exceed the rate agreed for the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn silent_nodes_send_only_standbys_to_the_store() {
    for silent in [1, 2] {
        let cluster = Cluster::new();
        let _engine = cluster.engine("a", "api");
        let nodes = domain(&cluster, 20).await;
        let due = || nodes.iter().map(|n| n.events("config_proof_due").len()).sum::<usize>();
        assert_eq!(due(), 0, "no node proves by itself while the planner answers");
        nodes[..silent].iter().for_each(|n| n.signal("STOP").unwrap());
        tokio::time::sleep(APPLY_BOUND * 2).await;
        let rank =
            |n: &GatewayProcess| n.events("config_proof_due").iter().all(|e| !e["rank"].is_null());
        assert!(nodes.iter().all(rank), "{silent} silent: {} proofs", due());
        nodes[..silent].iter().for_each(|n| n.signal("CONT").unwrap());
    }
}

/// Guards against a node that resumes and handles a call, which a node in touch forwarded to it meanwhile, by the
/// configuration from before its pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_call_is_not_handled_by_an_older_configuration() {
    let mut fleet = PartitionedFleet::start(&["mem", "atl"]).await;
    let book = |service| RouteSpec::at_most_once("/book/", service);
    replace_route(&mut fleet.cluster, 1, book("one"));
    let version = fleet.cluster.config.version;
    for node in &fleet.nodes {
        wait_until("the route has moved", async || {
            node.events("config_adopted").iter().any(|e| e["version"] == version)
        })
        .await;
    }
    fleet.cut_off(0, LinkMode::Blackhole);
    wait_until("the first node forwards calls to the other service", async || {
        fleet.call(0, CallKind::Idempotent).await.is_ok_and(|r| r.status == 200)
            && !fleet.nodes[0].events("call_forwarded").is_empty()
    })
    .await;
    fleet.nodes[1].signal("STOP").unwrap();
    let accepted = replace_route(&mut fleet.cluster, 1, book("api"));
    tokio::time::sleep_until((accepted + APPLY_BOUND).into()).await;
    let runs = || {
        let of_service = fleet.engines.iter().filter(|e| e.id.contains("one"));
        of_service.flat_map(|e| e.requests()).filter(|r| r.target.starts_with("/book/")).count()
    };
    let resume = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.nodes[1].signal("CONT").unwrap();
    };
    let (reply, ()) = tokio::join!(fleet.call(0, CallKind::AtMostOnce), resume);
    let status = reply.unwrap().status;
    assert_eq!(runs(), 0, "status {status}: run by the service of the route before");
}
