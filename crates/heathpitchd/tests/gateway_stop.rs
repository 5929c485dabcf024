//! Graceful shutdown, and reload of the settings.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod gateway;

use std::time::Duration;

use gateway::{Cluster, KEY, WAIT_TIMEOUT, wait_until};
use heathpitch_standin::{Behavior, Caller};
use http_body_util::BodyExt;
use hyper::Method;

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_reports_it_at_once_and_cuts_off_no_call() {
    let cluster = Cluster::new();
    let engine = cluster.engine("one", "one");
    cluster.engine("a", "api");
    let mut node = cluster.node().await;
    engine.set_behavior(Behavior::Stream(100, Duration::from_millis(40)));
    let caller = Caller::new(node.listen).key(KEY);
    let (reply, body) = caller.open(Method::POST, "/whole/x", "prompt").await.unwrap();
    assert_eq!(reply.status, 200);
    node.signal("TERM").unwrap();
    wait_until("the node is not ready", async || !node.is_ready().await).await;
    // The load balancer has not noticed yet: new calls are still served.
    let reply = caller.call(Method::GET, "/get/x", "").await.unwrap();
    assert_eq!((reply.status, reply.header("connection")), (200, Some("close")));
    let body = body.collect().await.unwrap().to_bytes();
    assert!(body.ends_with(b"data: 100 of one\n\n"));
    assert_eq!(node.wait_exit(WAIT_TIMEOUT), Some(0));
    wait_until("the end is logged", async || !node.events("gateway_stopped").is_empty()).await;
    assert_eq!(node.events("gateway_stopped")[0]["cut"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_reloaded_on_sighup() {
    let cluster = Cluster::new();
    cluster.engine("a", "api");
    let node = cluster.node().await;
    node.signal("HUP").unwrap();
    wait_until("the settings are reloaded", async || !node.events("gateway_reloaded").is_empty())
        .await;
    assert_eq!(node.events("gateway_reloaded")[0]["error"], serde_json::Value::Null);
    assert!(node.is_ready().await);
}
