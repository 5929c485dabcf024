//! Promised retries between processes: what callers are told, what a planner sums, and messages that
//! it must not use.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod gateway;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use gateway::{Cluster, KEY, wait_until};
use heathpitch_core::{Name, Revision};
use heathpitch_net::{
    FeedClient, FeedCursor, FeedDemand, FeedNotices, FeedPromise, FeedRequest, FeedResponse,
    NoticeCursor,
};
use heathpitch_standin::{Behavior, Caller, GatewayProcess, RouteSpec};
use hyper::Method;
use serde_json::json;
use tokio::task::LocalSet;

/// Time that a caller waits, milliseconds.
const DEADLINE_MS: u64 = 20_000;
const TIMEOUT: Duration = Duration::from_millis(500);

/// A cluster with a stream's route whose only engine refuses every call.
fn refusing() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.config.version = 4;
    cluster.config.routes.push(RouteSpec::stream("/long/", "one").timeout(DEADLINE_MS));
    cluster.configure();
    cluster.engine("a", "one").set_behavior(Behavior::Refuse);
    cluster
}

/// `Retry-After` of a stream that is refused, milliseconds.
async fn refused(node: &GatewayProcess) -> u64 {
    let caller = Caller::new(node.listen).key(KEY).deadline(DEADLINE_MS);
    let reply = caller.call(Method::POST, "/long/x", "prompt").await.unwrap();
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(String::from_utf8_lossy(&reply.body).contains("engines_refused"), "{reply:?}");
    let seconds: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    (seconds * 1e3) as u64
}

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn peer(node: &GatewayProcess) -> SocketAddr {
    let started = node.events("gateway_started");
    started[0]["peer"].as_str().unwrap().parse().unwrap()
}

/// Polls a node as another node of its failure domain does.
async fn poll(address: SocketAddr, promises: Vec<FeedPromise>) -> FeedResponse {
    poll_with(address, promises, Vec::new()).await
}

async fn poll_with(
    address: SocketAddr,
    promises: Vec<FeedPromise>,
    demand: Vec<FeedDemand>,
) -> FeedResponse {
    let request = FeedRequest {
        to: None,
        node: name("n9"),
        address: ([127, 0, 0, 1], 9).into(),
        can_plan: false,
        revision: Revision(0),
        version: 0,
        digest: 0,
        cursor: FeedCursor::default(),
        reports_only: false,
        notices: FeedNotices::default(),
        notice_cursor: NoticeCursor::default(),
        demand,
        promises,
        forwarder: None,
        wants_forwarders: false,
    };
    let ask = async {
        FeedClient::open(address, TIMEOUT).await.unwrap().poll(&request, TIMEOUT).await.unwrap()
    };
    LocalSet::new().run_until(ask).await
}

/// A refusal whose cause the log hides: the load of the engine is missing.
#[tokio::test]
async fn a_promised_refusal_is_logged_with_the_load_that_led_to_it() {
    let cluster = refusing();
    let node = cluster.node().await;
    refused(&node).await;
    wait_until("the refusal is logged", async || !node.events("call_refused").is_empty()).await;
    let logged = &node.events("call_refused")[0];
    assert!(logged["pressure"].is_number() && logged["back_ms"].is_number(), "{logged}");
}

/// Nodes that kept their promises to themselves would all ask callers back at the same times.
#[tokio::test]
async fn a_planner_sums_what_its_followers_promise() {
    let cluster = refusing();
    let (planner, _link, follower) = cluster.planner_and_follower().await;
    let mut returns = Vec::new();
    for _ in 0..16 {
        let delay = refused(&follower).await;
        assert!((2_000..=6_000).contains(&delay), "{delay}");
        returns.push(Instant::now() + Duration::from_millis(delay));
    }
    // The planner states exact sums only for slots that are too near to be promised.
    tokio::time::sleep(Duration::from_millis(4_200)).await;
    let sums = poll(peer(&planner), Vec::new()).await;
    let now = Instant::now();
    let due = returns.iter().filter(|at| {
        let left = at.saturating_duration_since(now).as_millis();
        (300..1_200).contains(&left)
    });
    let near: u32 = sums.promises.iter().filter(|p| p.in_ms < 1_750).map(|p| p.count).sum();
    let due = due.count() as u32;
    assert!(due > 0, "{returns:?}");
    assert!((due..=16).contains(&near), "{near} retries summed, {due} due: {sums:?}");
    assert_eq!(sums.promise_rates.len(), 1);
}

#[tokio::test]
async fn messages_that_no_node_sends_are_dropped() {
    let cluster = refusing();
    let (planner, _link, _follower) = cluster.planner_and_follower().await;
    let promise = |service: &str| FeedPromise { service: name(service), in_ms: 1_000, count: 3 };
    let sums = poll(peer(&planner), vec![promise("nowhere")]).await;
    assert!(sums.promises.is_empty() && sums.promise_rates.is_empty(), "{sums:?}");
    let sums = poll(peer(&planner), vec![promise("one"); 65]).await;
    assert!(sums.promises.is_empty(), "{sums:?}");
    let sums = poll(peer(&planner), vec![promise("one")]).await;
    assert!(sums.promises.iter().any(|p| p.count == 3), "{sums:?}");
    let logged = |text: &str| {
        let lines = planner.events("message");
        lines.iter().any(|l| l["text"].as_str().is_some_and(|t| t.contains(text)))
    };
    wait_until("both are logged", async || {
        logged("unknown service nowhere") && logged("expected at most 64 entries, got 65")
    })
    .await;
}

/// Admissions that a planner counts although it drops the demand they belong to, since it received
/// them before or since they are inconsistent, would bring back more callers than there is capacity
/// for.
#[tokio::test]
async fn admissions_in_dropped_demand_add_no_capacity() {
    let cluster = refusing();
    let (planner, _link, _follower) = cluster.planner_and_follower().await;
    let promise = || vec![FeedPromise { service: name("one"), in_ms: 1_000, count: 1 }];
    let demand = |asked, admitted| {
        vec![FeedDemand { service: name("one"), rank: 0, account: 0, asked, admitted }]
    };
    poll(peer(&planner), Vec::new()).await;
    let once = poll_with(peer(&planner), promise(), demand(800, 800)).await;
    poll_with(peer(&planner), Vec::new(), demand(800, 800)).await;
    let after = poll_with(peer(&planner), promise(), demand(1, 800)).await;
    let per_slot = |answer: &FeedResponse| answer.promise_rates[0].per_slot;
    let (once, after) = (per_slot(&once), per_slot(&after));
    assert!(once > 20.0 && after <= once, "{once} places, then {after}");
}

/// Where accounts share a service, the demand of a poll replaces the sum of its admissions. If it
/// left out streams without an account, the planner would promise places for the others only.
#[tokio::test]
async fn streams_without_an_account_add_capacity_too() {
    let mut cluster = Cluster::new();
    cluster.config.routes.push(RouteSpec::stream("/later/", "llm").rank(2).public());
    cluster.config.tenants.push(("floor".to_owned(), vec!["key-of-floor".to_owned()]));
    cluster.configure();
    let engines = ["a", "b"].map(|id| cluster.engine(id, "llm"));
    engines[0].set_layers(0, 4);
    engines[1].set_layers(4, 8);
    engines.iter().for_each(|e| e.set_behavior(Behavior::Stream(1, Duration::from_millis(1))));
    let (planner, _link, follower) = cluster.planner_and_follower().await;
    let (public, desk) = (Caller::new(follower.listen), Caller::new(follower.listen).key(KEY));
    let one = async |caller: &Caller| {
        caller.call(Method::POST, "/later/x", "p").await.is_ok_and(|reply| reply.status == 200)
    };
    wait_until("streams are admitted", async || one(&desk).await).await;
    poll(peer(&planner), Vec::new()).await;
    wait_until("the capacity is that of all streams", async || {
        for _ in 0..10 {
            one(&public).await;
        }
        one(&desk).await;
        let promise = FeedPromise { service: name("llm"), in_ms: 1_000, count: 1 };
        let sums = poll(peer(&planner), vec![promise]).await;
        sums.promise_rates.iter().any(|r| r.per_slot > 1.2)
    })
    .await;
}

/// A node that is told not to must neither promise retries nor sum them.
#[tokio::test]
async fn switched_off_it_changes_nothing() {
    let cluster = refusing();
    let binary = Path::new(env!("CARGO_BIN_EXE_heathpitchd"));
    let settings = json!({ "load": { "returns": "off" } });
    let store = cluster.store.address();
    let node = GatewayProcess::spawn_with(binary, store, "n1", "mem", settings).unwrap();
    node.wait_ready().await.unwrap();
    wait_until("the node is planner", async || !node.events("domain_planner").is_empty()).await;
    assert_eq!(refused(&node).await, 400);
    let promise = FeedPromise { service: name("one"), in_ms: 1_000, count: 3 };
    let sums = poll(peer(&node), vec![promise]).await;
    assert!(sums.promises.is_empty() && sums.promise_rates.is_empty(), "{sums:?}");
}
