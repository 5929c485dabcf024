//! Calls that one node forwards to another one.
//!
//! Guards against what a further hop may break: calls that run twice or go in a circle, streams that end with the
//! other node, engines that work on for callers who left, and callers that pass for nodes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod gateway;

use std::net::SocketAddr;
use std::time::Duration;

use gateway::partition::{CallKind, PartitionedFleet};
use gateway::{KEY, wait_until};
use heathpitch_net::{Pool, Reuse, full};
use heathpitch_standin::{Behavior, Engine, LinkMode, Reply};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};

/// Events of a long stream.
const LONG_STREAM: u64 = 60;
/// Time between them.
const LONG_INTERVAL: Duration = Duration::from_millis(40);
/// Time in which an engine has to be free after its caller left.
const RELEASE_TIME: Duration = Duration::from_millis(500);
/// Time in which abandoned calls end at engines.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// Id of the call that a test follows.
const ID: &str = "followed";

/// Nodes in one failure domain, the first of which is cut off from all engines.
async fn fleet(nodes: usize) -> PartitionedFleet {
    let fleet = PartitionedFleet::start(&vec!["mem"; nodes]).await;
    fleet.cut_off(0, LinkMode::Blackhole);
    fleet.wait_cut_off(0).await;
    // Calls that were open when the cut was found end.
    tokio::time::sleep(SETTLE_TIME).await;
    fleet
}

/// Opens a long stream at the first node, and reads its first event.
async fn open_stream(fleet: &PartitionedFleet) -> Incoming {
    fleet.set_streams(LONG_STREAM, LONG_INTERVAL);
    let caller = fleet.caller(0).call_id(ID);
    let (reply, mut body) = caller.open(Method::POST, "/whole/x", "body").await.unwrap();
    assert_eq!(reply.status, 200);
    body.frame().await.unwrap().unwrap();
    body
}

/// Reads a stream to its end, and checks that it holds each event once.
async fn assert_complete(fleet: &PartitionedFleet, body: Incoming) {
    let read = body.collect().await.map(|b| String::from_utf8(b.to_bytes().to_vec()).unwrap());
    let ids = |text: &str| -> Vec<u64> {
        text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect()
    };
    let ids = read.as_deref().map(ids).unwrap_or_default();
    let expected: Vec<u64> = (2..=LONG_STREAM).collect();
    if ids != expected {
        // Lines of the log are written a few times a second.
        tokio::time::sleep(SETTLE_TIME).await;
    }
    let lines: Vec<String> = fleet.nodes.iter().flat_map(|n| n.request_log(ID)).collect();
    assert_eq!(ids, expected, "log of the call:\n{}", lines.join("\n"));
}

/// Guards against engines that work on for a caller who left the node in front of another one.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_is_free_soon_after_the_caller_of_a_forwarded_stream_left() {
    let fleet = fleet(2).await;
    let body = open_stream(&fleet).await;
    let abandoned = || fleet.engines.iter().map(|e| e.abandoned_streams()).sum::<u64>();
    let before = abandoned();
    drop(body);
    tokio::time::sleep(RELEASE_TIME).await;
    assert_eq!(abandoned(), before + 1);
}

/// Guards against streams that end with the node that they were forwarded to.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_continues_after_its_second_node_was_killed() {
    let fleet = fleet(3).await;
    let body = open_stream(&fleet).await;
    fleet.nodes[fleet.forwarded_to(0, ID).await].signal("KILL").unwrap();
    assert_complete(&fleet, body).await;
}

/// Guards against streams that wait for a node that stands still.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_continues_while_its_second_node_is_frozen() {
    let fleet = fleet(3).await;
    let body = open_stream(&fleet).await;
    let frozen = fleet.forwarded_to(0, ID).await;
    fleet.nodes[frozen].signal("STOP").unwrap();
    assert_complete(&fleet, body).await;
    wait_until("it is forwarded to another node", async || {
        fleet.forwarded_to(0, ID).await != frozen
    })
    .await;
}

/// Guards against streams that are cut off when the node that they were forwarded to stops as planned.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_continues_after_its_second_node_was_stopped() {
    let fleet = fleet(3).await;
    let body = open_stream(&fleet).await;
    fleet.nodes[fleet.forwarded_to(0, ID).await].signal("TERM").unwrap();
    assert_complete(&fleet, body).await;
}

/// Guards against calls that run twice, or are said not to have run, when the second node is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_runs_once_is_not_repeated_after_its_second_node_was_killed() {
    let fleet = fleet(3).await;
    fleet.engines.iter().for_each(|e| e.set_behavior(Behavior::Hang));
    let caller = fleet.caller(0).call_id(ID);
    let call = tokio::spawn(async move { caller.call(Method::POST, "/book/x", "body").await });
    wait_until("an engine has the call", async || fleet.received(ID) == 1).await;
    fleet.nodes[fleet.forwarded_to(0, ID).await].signal("KILL").unwrap();
    let reply: Reply = call.await.unwrap().unwrap();
    assert_eq!(reply.status, 502, "it may have run");
    assert_eq!(fleet.received(ID), 1);
}

/// Guards against calls that go in a circle between nodes of which none reaches an engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_forwarded_once_and_refused_where_no_node_reaches_engines() {
    let fleet = fleet(2).await;
    fleet.cut_off(1, LinkMode::Blackhole);
    fleet.wait_cut_off(1).await;
    for kind in [CallKind::Idempotent, CallKind::Layered] {
        let (method, target) = kind.request();
        let id = format!("circle-{target}");
        let reply = fleet.caller(0).call_id(&id).call(method, target, "body").await.unwrap();
        assert_ne!(reply.status, 200);
        let forwards = |node: usize| {
            let events = fleet.nodes[node].events("call_forwarded");
            events.iter().filter(|e| e["request"] == id.as_str()).count()
        };
        assert!(forwards(0) <= 1);
        assert_eq!(forwards(1), 0, "a forwarded call stays where it is");
    }
}

/// Sends a GET request with headers on a new connection, and returns the status.
async fn get(address: SocketAddr, headers: &[(&'static str, &str)]) -> u16 {
    let mut request = Request::builder()
        .uri("/get/x")
        .header("host", "desk.example")
        .header("x-request-id", ID)
        .header("x-deadline-ms", "2000")
        .header("authorization", format!("Bearer {KEY}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut connection = Pool::new().connect(address, 0, Reuse::Never).await.unwrap();
    let sent = connection.send(request.body(full("")).unwrap()).await;
    sent.unwrap().status().as_u16()
}

/// Guards against callers that pass for nodes, on the listener for nodes or by the headers of forwarded calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_pass_for_a_node() {
    let fleet = PartitionedFleet::start(&["mem", "mem"]).await;
    let token = "00".repeat(16);
    let forged = [
        ("x-heathpitch-forward-token", token.as_str()),
        ("x-heathpitch-forward-attempts", "9"),
        ("x-heathpitch-forward-age-ms", "0"),
    ];
    let node = &fleet.nodes[1];
    assert_eq!(get(node.forward, &[]).await, 403);
    assert_eq!(get(node.forward, &forged).await, 403);
    assert_eq!(get(node.forward, &forged[..1]).await, 403, "not even a probe");
    assert_eq!(fleet.received(ID), 0);
    assert_eq!(get(node.listen, &forged).await, 200, "they mean nothing there");
    let metrics = node.metrics().await.unwrap();
    assert!(metrics.contains("heathpitch_calls_of_nodes_total 0"), "{metrics}");
}

/// Guards against engines that are given more time than the caller waits.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_call_keeps_its_deadline_key_and_body() {
    let fleet = fleet(2).await;
    let caller = fleet.caller(0).call_id(ID).deadline(1_500);
    let reply = caller.call(Method::GET, "/get/x", "body").await.unwrap();
    assert_eq!(reply.status, 200);
    let requests: Vec<_> = fleet.engines.iter().flat_map(|e| e.requests()).collect();
    let received = requests.iter().find(|r| r.id() == Some(ID)).unwrap();
    let deadline = received.headers["x-deadline-ms"].to_str().unwrap().parse::<u64>().unwrap();
    assert!(deadline <= 1_500, "{deadline}");
    assert_eq!(received.account(), Some("desk"));
    assert_eq!(&received.body[..], b"body");
    let added = received.headers.keys().filter(|k| k.as_str().starts_with("x-heathpitch"));
    assert_eq!(added.count(), 0);
}

/// Guards against calls that engines refuse at one node after the other as if each sent it for the first time.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_calls_that_engines_refuse_are_paid_for() {
    let fleet = PartitionedFleet::start(&["mem", "mem", "mem", "atl"]).await;
    let plain = |domain: &'static str| {
        fleet.engines.iter().filter(move |e| e.id.starts_with(domain) && e.id.contains("api"))
    };
    // Nodes try the one in their domain first, and then cannot connect to the others.
    plain("mem").skip(1).for_each(Engine::deregister);
    plain("mem").for_each(|e| e.set_behavior(Behavior::Refuse));
    plain("atl").for_each(|e| fleet.shut_down(e));
    fleet.cut_off(0, LinkMode::Blackhole);
    fleet.wait_cut_off(0).await;
    let caller = fleet.caller(0).call_id(ID);
    let reply = caller.call(Method::GET, "/get/x", "").await.unwrap();
    assert_eq!(reply.status, 503);
    let arrivals = fleet.received(ID);
    assert!(arrivals > 0);
    let mut paid = 0;
    for node in &fleet.nodes {
        let text = node.metrics().await.unwrap();
        let made = text.lines().filter(|l| l.starts_with("heathpitch_retries_total"));
        let made = made.filter(|l| !l.contains("denied")).filter_map(|l| l.rsplit_once(' '));
        paid += made.map(|(_, count)| count.parse::<usize>().unwrap()).sum::<usize>();
    }
    assert!(arrivals <= 1 + paid, "{arrivals} arrivals, {paid} retries");
}
