//! Answers that an engine cuts off after any of their bytes, and then closes the connection.
//!
//! On systems like this one, callers got a 200 with an empty or short body that was framed as whole, because the engine
//! had stopped within the head of its answer. An answer without a length that ends with its connection cannot be told
//! from a whole one, unless it is empty.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use gateway::{Cluster, KEY, wait_until};
use heathpitch_standin::{
    Caller, Engine, GatewayProcess, LinkMode, Proxy, RawEngine, Reply, Scope,
};
use hyper::Method;

/// Layers that the engine holds.
const LAYERS: (u32, u32) = (0, 4);
/// Events of a whole stream.
const EVENTS: [&str; 3] =
    ["id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\ndata: three\n\n"];
/// Step between cuts behind the head, where a stream that has begun waits for another engine.
const BODY_STEP: usize = 19;

/// Most digits of the number of a call, which its id and so the head ends with.
const ID_DIGITS: usize = 4;
/// Step between cuts of forwarded calls, which take longer.
const FORWARDED_STEP: usize = 12;

/// How an engine frames its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    /// The body ends with the connection.
    Close,
}

/// An engine that sends so many bytes of each answer.
struct CutEngine {
    engine: RawEngine,
    sent: Arc<AtomicUsize>,
    framing: Framing,
}

impl CutEngine {
    async fn spawn(framing: Framing) -> Self {
        let sent = Arc::new(AtomicUsize::new(usize::MAX));
        let limit = sent.clone();
        let respond = move |id: &str| {
            if id.is_empty() {
                return RawEngine::report(LAYERS);
            }
            let mut whole = response(id, framing);
            whole.truncate(limit.load(Relaxed));
            whole
        };
        Self { engine: RawEngine::spawn_closing(respond).await.unwrap(), sent, framing }
    }

    /// Cuts after which answers are not whole: each one within the head, and some behind it.
    fn cuts(&self) -> Vec<usize> {
        let whole = response("call-1", self.framing);
        let head = whole.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
        (0..head + ID_DIGITS).chain((head..whole.len() - 1).step_by(BODY_STEP)).collect()
    }
}

/// A whole response to the call with this id.
fn response(id: &str, framing: Framing) -> Vec<u8> {
    let head = RawEngine::response_head(id, "200 OK");
    let body = EVENTS.concat();
    let chunk = |event: &&str| format!("{:x}\r\n{event}\r\n", event.len());
    let text = match framing {
        Framing::Length => format!("{head}content-length: {}\r\n\r\n{body}", body.len()),
        Framing::Chunked => {
            let chunks: String = EVENTS.iter().map(chunk).collect();
            format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
        }
        Framing::Close => format!("{head}connection: close\r\n\r\n{body}"),
    };
    text.into_bytes()
}

/// Whether a reply claims to be a whole answer without being one.
fn is_short(reply: &Reply, framing: Framing, is_stream: bool) -> bool {
    let whole = EVENTS.concat();
    let is_whole = reply.body == whole.as_bytes();
    let cannot_be_told = match framing {
        Framing::Length | Framing::Chunked => false,
        Framing::Close => !reply.body.is_empty() && (!is_stream || reply.body.ends_with(b"\n\n")),
    };
    reply.status == 200 && reply.complete && !is_whole && !cannot_be_told
}

/// Lists an engine for a service; one of `llm` holds the first half of the layers.
fn list(cluster: &Cluster, id: &str, service: &str, address: std::net::SocketAddr) {
    match service {
        "llm" => cluster.store.register_layers(id, service, "mem", address, LAYERS),
        _ => cluster.store.register_engine(id, service, "mem", address),
    }
}

/// Method, target and service of a call of each kind.
const CALLS: [(Method, &str, &str); 4] = [
    (Method::GET, "/get/x", "api"),
    (Method::POST, "/book/x", "api"),
    (Method::POST, "/whole/x", "one"),
    (Method::POST, "/tell/x", "llm"),
];

/// Calls a node for every `step`-th cut, and returns the cuts whose replies are short.
async fn short_replies(
    caller: &Caller,
    engine: &CutEngine,
    step: usize,
    (method, target, service): &(Method, &str, &str),
) -> Vec<usize> {
    let mut short = Vec::new();
    for sent in engine.cuts().into_iter().step_by(step) {
        engine.sent.store(sent, Relaxed);
        let is_stream = matches!(*service, "one" | "llm");
        // A connection that is closed before the head of an answer does not look whole.
        let reply = caller.call(method.clone(), target, "prompt").await;
        if reply.is_ok_and(|reply| is_short(&reply, engine.framing, is_stream)) {
            short.push(sent);
        }
    }
    engine.sent.store(usize::MAX, Relaxed);
    short
}

async fn serves(caller: &Caller, (method, target, _): &(Method, &str, &str)) -> bool {
    let reply = caller.call(method.clone(), target, "prompt").await.unwrap();
    (reply.status, reply.complete, reply.body == EVENTS.concat().as_bytes()) == (200, true, true)
}

/// A node and an engine of each service that frames its answers in this way.
async fn node_and_engine(framing: Framing) -> (Cluster, GatewayProcess, CutEngine, Engine) {
    let cluster = Cluster::new();
    let rest = cluster.engine("rest", "llm");
    rest.set_layers(4, 8);
    let engine = CutEngine::spawn(framing).await;
    for service in ["api", "one", "llm"] {
        list(&cluster, &format!("cut-{service}"), service, engine.engine.address);
    }
    let node = cluster.node().await;
    (cluster, node, engine, rest)
}

async fn no_cut_looks_whole(framing: Framing) {
    let (_cluster, node, engine, _rest) = node_and_engine(framing).await;
    let caller = Caller::new(node.listen).key(KEY);
    for call in &CALLS {
        wait_until("the engine serves", async || serves(&caller, call).await).await;
        assert_eq!(short_replies(&caller, &engine, 1, call).await, Vec::<usize>::new(), "{call:?}");
    }
}

/// Guards against an answer that is passed on as whole though its engine closed the connection within its head or body.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_length_that_is_cut_off_does_not_look_whole() {
    no_cut_looks_whole(Framing::Length).await;
}

/// The same for an answer in chunks, as streams are.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_chunks_that_is_cut_off_does_not_look_whole() {
    no_cut_looks_whole(Framing::Chunked).await;
}

/// Guards against an empty answer that is passed on as whole, because its engine stopped right after the head of an answer
/// that ends with its connection.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_that_is_cut_off_behind_its_head_does_not_look_whole() {
    no_cut_looks_whole(Framing::Close).await;
}

/// Guards against a stream that is resumed after any cut and lacks events, or has some twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_cut_off_anywhere_is_resumed_without_gap() {
    for framing in [Framing::Length, Framing::Chunked] {
        let (cluster, node, engine, _rest) = node_and_engine(framing).await;
        let other = cluster.engine("whole", "one");
        other.set_behavior(heathpitch_standin::Behavior::Stream(3, std::time::Duration::ZERO));
        let caller = Caller::new(node.listen).key(KEY);
        let mut resumed = 0;
        for sent in engine.cuts() {
            engine.sent.store(sent, Relaxed);
            let reply = caller.call(Method::POST, "/whole/x", "prompt").await.unwrap();
            let whole = reply.status == 200 && reply.complete;
            assert!(!whole || reply.events() == [1, 2, 3], "{framing:?}, cut {sent}: {reply:?}");
            resumed += usize::from(whole);
        }
        assert!(2 * resumed > engine.cuts().len(), "{framing:?}: {resumed} served");
    }
}

/// Guards against an answer that the node which a call was forwarded to passes on as whole though it was cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_answer_that_is_cut_off_does_not_look_whole() {
    for framing in [Framing::Length, Framing::Chunked] {
        let cluster = Cluster::new();
        let nodes = [cluster.start_in("mem", "n1"), cluster.start_in("atl", "n2")];
        let engine = CutEngine::spawn(framing).await;
        let proxy = Proxy::spawn(engine.engine.address).unwrap();
        proxy.track(nodes[0].process());
        for service in ["api", "one"] {
            list(&cluster, &format!("cut-{service}"), service, proxy.address());
        }
        for node in &nodes {
            node.wait_ready().await.unwrap();
        }
        let caller = Caller::new(nodes[0].listen).key(KEY);
        for call in &CALLS[..3] {
            wait_until("the engine serves", async || serves(&caller, call).await).await;
        }
        proxy.set_process_mode(nodes[0].process(), Some(LinkMode::Blackhole), Scope::All);
        for call in &CALLS[..3] {
            let of_service = |e: &serde_json::Value| e["service"] == call.2;
            wait_until("calls are forwarded", async || {
                serves(&caller, call).await
                    && nodes[0].events("call_forwarded").iter().any(of_service)
            })
            .await;
            let short = short_replies(&caller, &engine, FORWARDED_STEP, call).await;
            assert_eq!(short, Vec::<usize>::new(), "{framing:?}, {call:?}");
        }
    }
}
