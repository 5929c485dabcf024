//! Streams: complete paths, complete events, resumption at other engines, callers that disconnect.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod gateway;

use std::time::Duration;

use gateway::{Cluster, KEY, wait_until};
use heathpitch_standin::{Behavior, Caller, Engine};
use http_body_util::BodyExt;
use hyper::Method;

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Engines `a` and `b` hold the model together; `c` holds the same layers as `a`.
fn engines(cluster: &Cluster) -> [Engine; 3] {
    let [a, b, c] = ["a", "b", "c"].map(|id| cluster.engine(id, "llm"));
    a.set_layers(0, 4);
    b.set_layers(4, 8);
    c.set_layers(0, 4);
    for e in [&a, &b, &c] {
        e.set_behavior(Behavior::Stream(20, EVENT_INTERVAL));
    }
    [a, b, c]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_runs_every_layer_once_and_is_complete() {
    let cluster = Cluster::new();
    let [a, b, c] = engines(&cluster);
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    for _ in 0..6 {
        let reply = caller.call(Method::POST, "/tell/x", "prompt").await.unwrap();
        assert_eq!((reply.status, reply.complete), (200, true));
        assert_eq!(reply.events(), (1..=20).collect::<Vec<_>>());
    }
    assert_eq!(b.requests().len(), 0);
    for (engine, seen) in [a.requests(), c.requests()].concat().into_iter().map(|s| {
        let path = s.path().unwrap().to_owned();
        (path, s)
    }) {
        let head = seen.engine().unwrap();
        let first = if head == "a" { a.address } else { c.address };
        assert_eq!(engine, format!("{first}=0-4,{}=4-8", b.address));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_resumes_after_its_last_complete_event() {
    let cluster = Cluster::new();
    let [a, b, c] = engines(&cluster);
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    for (broken, other) in [(&a, &c), (&c, &a)] {
        broken.set_behavior(Behavior::TruncateAfter(7));
        other.set_behavior(Behavior::Stream(20, EVENT_INTERVAL));
        for _ in 0..4 {
            let reply = caller.call(Method::POST, "/tell/x", "prompt").await.unwrap();
            assert_eq!((reply.status, reply.complete), (200, true));
            assert_eq!(reply.events(), (1..=20).collect::<Vec<_>>());
        }
    }
    let resumed = [a.requests(), c.requests()].concat();
    assert!(resumed.iter().any(|s| s.after() == Some(7)));
    assert_eq!(b.requests().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_resumes_a_stream_gets_the_events_that_follow() {
    let cluster = Cluster::new();
    let _engines = engines(&cluster);
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY).after(12);
    let reply = caller.call(Method::POST, "/tell/x", "prompt").await.unwrap();
    assert_eq!(reply.events(), (13..=20).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_finished_does_not_look_complete() {
    let cluster = Cluster::new();
    let engine = cluster.engine("only", "one");
    let node = cluster.node().await;
    engine.set_behavior(Behavior::TruncateAfter(3));
    let caller = Caller::new(node.listen).key(KEY);
    let reply = caller.call(Method::POST, "/whole/x", "prompt").await.unwrap();
    assert_eq!(reply.status, 200);
    assert!(!reply.complete);
    assert_eq!(reply.events(), [1, 2, 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_frees_the_engine() {
    let cluster = Cluster::new();
    let engine = cluster.engine("only", "one");
    let node = cluster.node().await;
    engine.set_behavior(Behavior::Stream(10_000, EVENT_INTERVAL));
    let caller = Caller::new(node.listen).key(KEY);
    let (reply, body) = caller.open(Method::POST, "/whole/x", "prompt").await.unwrap();
    assert_eq!(reply.status, 200);
    drop(body);
    wait_until("the engine notices the disconnect", async || engine.abandoned_streams() == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_refused_at_once_if_a_layer_is_missing() {
    let cluster = Cluster::new();
    let a = cluster.engine("a", "llm");
    a.set_layers(0, 4);
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    let reply = caller.call(Method::POST, "/tell/x", "prompt").await.unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(a.requests().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_running_stream_is_moved_off_an_engine_that_exits() {
    let cluster = Cluster::new();
    let [a, b, c, d] = ["a", "b", "c", "d"].map(|id| cluster.engine(id, "llm"));
    a.set_layers(0, 4);
    b.set_layers(4, 8);
    c.set_layers(4, 8);
    d.set_layers(0, 4);
    let node = cluster.node().await;
    // The stream is silent after its first event, as if the second engine had exited.
    for head in [&a, &d] {
        head.set_behavior(Behavior::Stream(3, Duration::from_millis(1_500)));
    }
    let caller = Caller::new(node.listen).key(KEY);
    let (_, body) = caller.open(Method::POST, "/tell/x", "prompt").await.unwrap();
    let seen = [a.requests(), d.requests()].concat().remove(0);
    let path = seen.path().unwrap().to_owned();
    let (dead, other) = match path.contains(&b.address.to_string()) {
        true => (&b, &c),
        false => (&c, &b),
    };
    dead.crash();
    let head = if seen.engine() == Some("a") { &a } else { &d };
    wait_until("the first engine gets another path", async || {
        head.orders().iter().any(|o| o["op"] == "repath")
    })
    .await;
    let order = head.orders().into_iter().find(|o| o["op"] == "repath").unwrap();
    assert_eq!(order["id"].as_str(), seen.id());
    assert_eq!(order["path"], format!("{}=0-4,{}=4-8", head.address, other.address));
    drop(body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_moved_stream_keeps_engines_that_already_hold_its_tokens() {
    let cluster = Cluster::new();
    let [a, b, c, d, e] = ["a", "b", "c", "d", "e"].map(|id| cluster.engine(id, "llm"));
    // Capacity for 1 250 000 tokens on the first engine, 500 000 on each other one.
    a.set_layers(0, 2);
    b.set_layers(2, 5);
    c.set_layers(2, 5);
    d.set_layers(5, 8);
    e.set_layers(5, 8);
    let node = cluster.node().await;
    a.set_behavior(Behavior::Stream(3, Duration::from_millis(4_000)));
    // More than half of the capacity with three layers loaded: an engine that already holds the stream
    // would count as full for it.
    let caller = Caller::new(node.listen).key(KEY).token_counts("300000,10");
    let (_, body) = caller.open(Method::POST, "/tell/x", "prompt").await.unwrap();
    let path = a.requests().remove(0).path().unwrap().to_owned();
    let on = |engine: &Engine| path.contains(&format!("{}=", engine.address));
    let (dead, other) = if on(&b) { (&b, &c) } else { (&c, &b) };
    let kept = if on(&d) { &d } else { &e };
    dead.crash();
    wait_until("the first engine gets another path", async || {
        a.orders().iter().any(|o| o["op"] == "repath")
    })
    .await;
    let order = a.orders().into_iter().find(|o| o["op"] == "repath").unwrap();
    let expected = format!("{}=0-2,{}=2-5,{}=5-8", a.address, other.address, kept.address);
    assert_eq!(order["path"], expected);
    drop(body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_continues_if_no_other_engine_takes_it() {
    let cluster = Cluster::new();
    let [a, b] = ["a", "b"].map(|id| cluster.engine(id, "llm"));
    a.set_layers(0, 4);
    b.set_layers(4, 8);
    let node = cluster.node().await;
    a.set_behavior(Behavior::Stream(4, Duration::from_millis(600)));
    let caller = Caller::new(node.listen).key(KEY);
    let (_, body) = caller.open(Method::POST, "/tell/x", "prompt").await.unwrap();
    // The first engine accepts no more connections, but its stream continues; the other refuses.
    let d = cluster.engine("d", "llm");
    d.set_behavior(Behavior::Refuse);
    d.set_layers(0, 4);
    a.stop_accepting();
    let body = body.collect().await.unwrap().to_bytes();
    assert!(body.ends_with(b"data: 4 of a\n\n"), "{body:?}");
    assert_eq!(d.requests().len(), 1, "the stream was sent to the other engine");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_avoids_an_engine_that_refuses_its_stage() {
    let cluster = Cluster::new();
    let [a, b, c] = ["a", "b", "c"].map(|id| cluster.engine(id, "llm"));
    a.set_layers(0, 4);
    b.set_layers(4, 8);
    c.set_layers(4, 8);
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    for refusing in [&b, &c] {
        a.set_behavior(Behavior::RefuseVia(refusing.address));
        let reply = caller.call(Method::POST, "/tell/x", "prompt").await.unwrap();
        assert_eq!((reply.status, reply.complete), (200, true));
        assert_eq!(reply.events(), (1..=20).collect::<Vec<_>>());
        let last = a.requests().pop().unwrap().path().unwrap().to_owned();
        assert!(!last.contains(&format!("{}=", refusing.address)), "{last}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_no_path_has_capacity_for_is_refused_at_once() {
    let cluster = Cluster::new();
    let [a, b] = ["a", "b"].map(|id| cluster.engine(id, "llm"));
    a.set_layers(0, 4);
    b.set_layers(4, 8);
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    a.set_behavior(Behavior::Stream(3, Duration::from_millis(5)));
    // Capacity for 125 000 tokens with four layers loaded.
    b.set_held_tokens(124_000);
    wait_until("the engine's report is known", async || {
        caller.call(Method::POST, "/tell/x", "prompt").await.unwrap().status == 503
    })
    .await;
    let (sent, start) = (a.requests().len(), std::time::Instant::now());
    let reply = caller.call(Method::POST, "/tell/x", "prompt").await.unwrap();
    assert!(start.elapsed() < Duration::from_millis(200), "refused at once");
    assert_eq!((reply.status, a.requests().len()), (503, sent), "nothing was sent to an engine");
    wait_until("the refusal is logged", async || !node.events("call_refused").is_empty()).await;
    let refused = node.events("call_refused").pop().unwrap();
    assert_eq!(refused["kind"], "overloaded");
    let detail = refused["detail"].as_str().unwrap();
    assert!(
        detail.contains("engine b") && detail.contains("0.99 of its token capacity by its report"),
        "{detail}"
    );
    b.set_held_tokens(0);
    wait_until("streams are served again", async || {
        caller.call(Method::POST, "/tell/x", "prompt").await.unwrap().status == 200
    })
    .await;
}
