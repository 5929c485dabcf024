//! Answers of engines that do not end, in their head or in their body.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Cluster, KEY};
use heathpitch_standin::{Caller, RawEngine, RouteSpec};
use hyper::Method;

/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after that by which every call has to be answered.
const SLACK: Duration = Duration::from_millis(500);

/// Calls a route of each kind whose engine answers with the bytes that `respond` returns and keeps the connection open;
/// returns the statuses.
async fn statuses(respond: fn(&str) -> Vec<u8>) -> [u16; 2] {
    let mut cluster = Cluster::new();
    let timeout = TIMEOUT.as_millis() as u64;
    cluster.config.routes = vec![
        RouteSpec::idempotent("/get/", "api").timeout(timeout),
        RouteSpec::stream("/whole/", "one").timeout(timeout),
    ];
    cluster.configure();
    let engine = RawEngine::spawn(respond).await.unwrap();
    cluster.store.register_engine("a", "api", "mem", engine.address);
    let other = RawEngine::spawn(respond).await.unwrap();
    // As many as the attempts of a call, the last of which is passed on.
    cluster.store.register_engine("b", "one", "mem", engine.address);
    cluster.store.register_engine("c", "one", "mem", other.address);
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    let status = async |method: Method, target: &str| {
        let start = Instant::now();
        let limit = TIMEOUT + SLACK;
        let reply = tokio::time::timeout(2 * limit, caller.call(method, target, "prompt")).await;
        let reply = reply.expect("an answer").unwrap();
        assert!(start.elapsed() < limit, "{target}: {:?}", start.elapsed());
        reply.status
    };
    [status(Method::GET, "/get/x").await, status(Method::POST, "/whole/x").await]
}

/// Guards against an error answer that is read without a limit in time: the call was held past its route's timeout and
/// never answered.
#[tokio::test(flavor = "multi_thread")]
async fn an_unfinished_error_answer_ends_with_the_route_timeout() {
    let respond = |id: &str| {
        let head = RawEngine::response_head(id, "500 Failed");
        format!("{head}content-length: 10\r\n\r\nabc").into_bytes()
    };
    assert_eq!(statuses(respond).await, [504, 504]);
}

/// Guards against a head that is read without a limit in size.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_is_given_up() {
    let respond = |_: &str| {
        let field = "x-more: 0123456789012345678901234567890123456789\r\n";
        format!("HTTP/1.1 200 OK\r\n{}", field.repeat(100_000)).into_bytes()
    };
    assert_eq!(statuses(respond).await, [502, 502]);
}

/// Guards against a body that is read without a limit in size.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_is_given_up() {
    let respond = |id: &str| {
        let head = RawEngine::response_head(id, "200 OK") + "connection: close\r\n\r\n";
        [head.into_bytes(), vec![b'x'; 40_000_000]].concat()
    };
    let [single, stream] = statuses(respond).await;
    assert_eq!(single, 502);
    assert_eq!(stream, 200, "the head of a stream is passed on, and its body cut off");
}
