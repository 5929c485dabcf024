//! Calls that cannot end within the grace period of a planned stop.
//!
//! They were passed on, ran, and were cut without an answer when the process ended, among them calls that may not be
//! repeated.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gateway::{Cluster, KEY, WAIT_TIMEOUT};
use heathpitch_standin::{Behavior, Caller, Engine, GatewayProcess, Reply, RouteSpec};
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// Grace period of a node, by its default settings.
const GRACE: Duration = Duration::from_secs(8);
/// Time for which a stopping node still accepts connections.
const ACCEPTS: Duration = Duration::from_millis(2_500);

/// A node whose routes give calls enough time, and its engine.
async fn start() -> (Cluster, Engine, GatewayProcess) {
    let mut cluster = Cluster::new();
    cluster.config.routes = vec![
        RouteSpec::idempotent("/get/", "api").timeout(20_000),
        RouteSpec::at_most_once("/book/", "api").timeout(20_000),
        RouteSpec::stream("/whole/", "one").timeout(20_000),
    ];
    cluster.config.version += 1;
    cluster.configure();
    let engine = cluster.engine("a", "api");
    let node = cluster.node().await;
    (cluster, engine, node)
}

/// A call sent at a time; none for a connection that ended without an answer.
async fn call(node: SocketAddr, at: Instant, method: Method, target: &str) -> Option<Reply> {
    sleep_until(at.into()).await;
    let caller = Caller::new(node).key(KEY).deadline(9_000);
    caller.call(method, target, "body").await.ok().filter(|reply| reply.complete)
}

/// Calls of both kinds at these times after `start`; returns their answers, and whether they were taken.
async fn calls(
    node: SocketAddr,
    start: Instant,
    times: impl Iterator<Item = u64>,
) -> Vec<(u64, &'static str, Option<Reply>)> {
    let sent = times.flat_map(|ms| {
        let at = start + Duration::from_millis(ms);
        [(Method::GET, "/get/x"), (Method::POST, "/book/x")].map(|(method, target)| async move {
            (ms, target, call(node, at, method, target).await)
        })
    });
    futures::future::join_all(sent).await
}

/// Calls without an answer, and refused ones that ran, by the number of requests that the engine got.
fn faults(calls: &[(u64, &'static str, Option<Reply>)], ran: usize) -> Vec<String> {
    let unanswered = calls.iter().filter(|(.., reply)| reply.is_none());
    let mut faults: Vec<String> =
        unanswered.map(|(ms, target, _)| format!("{target} at {ms} ms: no answer")).collect();
    let not_run = calls.iter().filter(|c| c.2.as_ref().is_some_and(|r| r.status == 503)).count();
    if ran + not_run > calls.len() {
        faults.push(format!("{ran} ran and {not_run} were said not to, of {}", calls.len()));
    }
    faults
}

/// Guards against calls that are taken late in the grace period, run, and are cut without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_refuses_calls_that_usually_take_longer_than_its_grace() {
    let (_cluster, engine, mut node) = start().await;
    engine.set_behavior(Behavior::EchoAfter(Duration::from_millis(5_500)));
    let warm_up = calls(node.listen, Instant::now(), (0..400).step_by(100)).await;
    assert!(warm_up.iter().all(|c| c.2.as_ref().is_some_and(|r| r.status == 200)));
    let before = engine.requests().len();
    node.signal("TERM").unwrap();
    let start = Instant::now();
    let sent = calls(node.listen, start, (100..ACCEPTS.as_millis() as u64).step_by(200)).await;
    assert_eq!(node.wait_exit(WAIT_TIMEOUT), Some(0));
    assert!(start.elapsed() <= GRACE + Duration::from_millis(500), "{:?}", start.elapsed());
    let faults = faults(&sent, engine.requests().len() - before);
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    let status = |reply: &Option<Reply>| reply.as_ref().map_or(0, |r| r.status);
    // The first ones fit; the last ones cannot, and do not run.
    assert_eq!(status(&sent[0].2), 200);
    assert_eq!(status(&sent[sent.len() - 1].2), 503);
    assert!(node.events("call_refused").iter().any(|e| e["kind"] == "stopping"));
}

/// Guards against a call whose time at the engine is not known, and which is cut without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_answers_calls_that_do_not_end_within_its_grace() {
    let (_cluster, engine, mut node) = start().await;
    engine.set_behavior(Behavior::EchoAfter(Duration::from_millis(8_500)));
    node.signal("TERM").unwrap();
    let sent = calls(node.listen, Instant::now(), (100..2_200).step_by(500)).await;
    assert_eq!(node.wait_exit(WAIT_TIMEOUT), Some(0));
    let faults = faults(&sent, engine.requests().len());
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    assert!(sent.iter().all(|c| c.2.as_ref().is_some_and(|r| r.status == 504)), "{sent:?}");
    let remaining = engine.requests().into_iter().filter_map(|r| r.remaining_ms()).max();
    assert!(remaining.unwrap() < GRACE.as_millis() as u64, "time beyond the grace: {remaining:?}");
}

/// Guards against calls whose bodies are whole only late in the grace period: they were passed on and cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_refuses_bodies_that_are_whole_too_late() {
    let (_cluster, engine, mut node) = start().await;
    engine.set_behavior(Behavior::EchoAfter(Duration::from_millis(1_000)));
    let warm_up = calls(node.listen, Instant::now(), (0..400).step_by(100)).await;
    assert!(warm_up.iter().all(|c| c.2.as_ref().is_some_and(|r| r.status == 200)));
    let before = engine.requests().len();
    let (listen, start) = (node.listen, Instant::now());
    let slow = [5_000, 6_500, 6_800, 7_200].map(|whole_ms| async move {
        let mut stream = TcpStream::connect(listen).await.unwrap();
        let head = format!(
            "POST /book/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: s{whole_ms}\r\n\
             authorization: Bearer {KEY}\r\nx-deadline-ms: 15000\r\ncontent-length: 10\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        for piece in 1..=10 {
            sleep_until((start + Duration::from_millis(whole_ms * piece / 10)).into()).await;
            let _ = stream.write_all(b"x").await;
        }
        let mut status = [0; 12];
        let answered = stream.read_exact(&mut status).await.is_ok();
        (whole_ms, answered.then(|| String::from_utf8_lossy(&status[9..]).into_owned()))
    });
    node.signal("TERM").unwrap();
    let answers = futures::future::join_all(slow).await;
    assert_eq!(node.wait_exit(WAIT_TIMEOUT), Some(0));
    let statuses: Vec<&str> = answers.iter().map(|a| a.1.as_deref().unwrap_or("none")).collect();
    assert_eq!(statuses, ["200", "503", "503", "503"], "{answers:?}");
    assert_eq!(engine.requests().len() - before, 1, "what was refused did not run");
}

/// Guards against streams that are taken late in the grace period and cut in the middle.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_refuses_streams_that_usually_take_longer_than_its_grace() {
    let (cluster, _engine, mut node) = start().await;
    let engine = cluster.engine("one", "one");
    engine.set_behavior(Behavior::Stream(55, Duration::from_millis(100)));
    let listen = node.listen;
    let stream = |at| call(listen, at, Method::POST, "/whole/x");
    let now = Instant::now();
    let warm_up = futures::future::join_all((0..4).map(|_| stream(now))).await;
    assert!(warm_up.iter().flatten().all(|r| r.events().len() == 55));
    node.signal("TERM").unwrap();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let sent = futures::future::join_all([100, 1_900, 2_100, 2_300].map(|ms| stream(at(ms)))).await;
    assert_eq!(node.wait_exit(WAIT_TIMEOUT), Some(0));
    let statuses: Vec<u16> = sent.iter().map(|r| r.as_ref().map_or(0, |r| r.status)).collect();
    assert_eq!(statuses, [200, 503, 503, 503]);
}
