//! Bodies of calls that arrive slowly, and those that do not fit into the memory of the node.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use gateway::{Cluster, KEY, wait_until};
use heathpitch_standin::{Behavior, Caller, GatewayProcess, RawEngine};
use hyper::Method;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Puts a configuration with other limits on callers into force.
async fn limit(cluster: &mut Cluster, node: &GatewayProcess, limits: [(&str, u64); 2]) {
    cluster.config.version += 4;
    let mut document = cluster.config.json();
    limits.iter().for_each(|(key, value)| document["limits"][key] = (*value).into());
    cluster.store.put_config(&document);
    let version = cluster.config.version;
    wait_until("the limits are in force", async || {
        node.events("config_adopted").iter().any(|e| e["version"] == version)
    })
    .await;
}

/// Sends a call whose body arrives in pieces, each so long after the one before; returns the status of its answer.
async fn send_slowly(node: SocketAddr, pieces: usize, piece: &[u8], pause: Duration) -> u16 {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let length = pieces * piece.len();
    let head = format!(
        "POST /book/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: c1\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..pieces {
        tokio::time::sleep(pause).await;
        // A node that has refused the call may close the connection.
        if stream.write_all(piece).await.is_err() {
            break;
        }
    }
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[9..]).parse().unwrap()
}

/// Guards against an idle timeout that counts the whole body: callers that go on sending got a 400, after which they do
/// not return.
#[tokio::test(flavor = "multi_thread")]
async fn the_idle_timeout_counts_from_the_last_piece_of_a_body() {
    let mut cluster = Cluster::new();
    cluster.engine("a", "api");
    let node = cluster.node().await;
    limit(&mut cluster, &node, [("idleTimeoutMs", 1_000), ("maxBodyBytes", 65_536)]).await;
    let pause = Duration::from_millis(400);
    assert_eq!(send_slowly(node.listen, 6, b"piece", pause).await, 200);
    assert_eq!(send_slowly(node.listen, 1, b"piece", 4 * pause).await, 400, "it was idle");
    // The route's timeout is 5 s.
    assert_eq!(send_slowly(node.listen, 14, b"piece", pause).await, 503, "nothing ran");
}

/// Guards against bodies that are read without a bound on the memory of the node: one that got the callers of a lost
/// failure domain went over its memory and was killed, again and again.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_beyond_the_memory_of_a_node_are_refused_before_they_are_read() {
    let mut cluster = Cluster::new();
    let engine = cluster.engine("a", "api");
    let binary = Path::new(env!("CARGO_BIN_EXE_heathpitchd"));
    // Half of it are for large bodies: 8 MB.
    let settings = json!({ "vm": { "memory_mb": 16 } });
    let store = cluster.store.address();
    let node = GatewayProcess::spawn_with(binary, store, "n1", "mem", settings).unwrap();
    node.wait_ready().await.unwrap();
    limit(&mut cluster, &node, [("idleTimeoutMs", 15_000), ("maxBodyBytes", 4 << 20)]).await;
    engine.set_behavior(Behavior::Hang);
    let large = "x".repeat(4_100_000);
    let caller = || Caller::new(node.listen).key(KEY);
    let open = caller();
    let first = open.call(Method::POST, "/book/x", &large);
    let others = async {
        wait_until("the first body has reached the engine", async || {
            engine.requests().iter().any(|r| r.body.len() == large.len())
        })
        .await;
        engine.set_behavior(Behavior::Echo);
        // Of a body that is not read, nothing more is sent than its head.
        let mut stream = TcpStream::connect(node.listen).await.unwrap();
        let head = format!(
            "POST /book/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: c2\r\n\
             authorization: Bearer {KEY}\r\ncontent-length: 4100000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut answer = vec![0; 12];
        stream.read_exact(&mut answer).await.unwrap();
        assert_eq!(&answer[9..], b"503", "soon, and not run");
        let small = caller().call(Method::POST, "/book/x", "small").await.unwrap();
        assert_eq!((small.status, &small.body[..]), (200, &b"small"[..]));
    };
    let (first, ()) = tokio::join!(first, others);
    assert_eq!(first.unwrap().status, 504, "the engine did not answer");
    let refused = node.events("call_refused");
    assert!(refused.iter().any(|e| e["kind"] == "no_memory"), "{refused:?}");
    assert_eq!(engine.requests().len(), 2);
    let again = caller().call(Method::POST, "/book/x", &large).await.unwrap();
    assert_eq!((again.status, again.body.len()), (200, large.len()), "the memory is free again");
}

/// Sends a call whose body arrives in chunks of this size; returns its answer as far as it came.
async fn send_in_chunks(node: SocketAddr, body: &[u8], chunk: usize) -> String {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let head = format!(
        "POST /book/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: c1\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    for piece in body.chunks(chunk) {
        bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    let (mut reading, mut writing) = stream.split();
    let mut answer = Vec::new();
    let write = async {
        // A node that ends the connection fails the check of the answer.
        let _ = writing.write_all(&bytes).await;
    };
    let read = async {
        let _ = reading.read_to_end(&mut answer).await;
    };
    tokio::join!(write, read);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against memory for a body that is taken from one part of the budget and counted as that of another: a body in
/// chunks that grew past the size of a large one ended the task of its connection, and was never answered.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_any_size_in_chunks_of_any_size_are_served() {
    let mut cluster = Cluster::new();
    let engine = cluster.engine("a", "api");
    engine.set_behavior(Behavior::Echo);
    let node = cluster.node().await;
    limit(&mut cluster, &node, [("idleTimeoutMs", 5_000), ("maxBodyBytes", 4 << 20)]).await;
    for size in [1, 1_023, 65_535, 65_536, 81_920, 100_000, 200_000, 1_500_000] {
        let body = vec![b'x'; size];
        for chunk in [997, 16_000, 65_536, 1 << 20] {
            let answer = send_in_chunks(node.listen, &body, chunk.min(size)).await;
            let whole = answer.starts_with("HTTP/1.1 200") && answer.ends_with("x");
            let echoed = answer.split("\r\n\r\n").nth(1).map_or(0, str::len);
            assert!(whole && echoed == size, "{size} bytes in chunks of {chunk}: {echoed} echoed");
        }
    }
}

/// Guards against answers that each hold a part of the memory and wait for more: answers in chunks that filled it together
/// all waited until their deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn answers_beyond_the_memory_of_a_node_do_not_wait_for_each_other() {
    const ANSWER_BYTES: usize = 1_500_000;
    const CALLS: usize = 12;
    let cluster = Cluster::new();
    let engine = RawEngine::spawn(|id| {
        let head = RawEngine::response_head(id, "200 OK");
        let chunk = format!("{:x}\r\n{}\r\n", ANSWER_BYTES / 100, "x".repeat(ANSWER_BYTES / 100));
        let chunks = chunk.repeat(100);
        format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n").into_bytes()
    });
    cluster.store.register_engine("a", "api", "mem", engine.await.unwrap().address);
    let binary = Path::new(env!("CARGO_BIN_EXE_heathpitchd"));
    // 15 % of it are for large answers: 4.8 MB.
    let settings = json!({ "vm": { "memory_mb": 32 } });
    let store = cluster.store.address();
    let node = GatewayProcess::spawn_with(binary, store, "n1", "mem", settings).unwrap();
    node.wait_ready().await.unwrap();
    let calls = (0..CALLS).map(|_| async {
        let caller = Caller::new(node.listen).key(KEY);
        let reply = caller.call(Method::POST, "/book/x", "").await.unwrap();
        (reply.status, reply.complete, reply.body.len())
    });
    let replies = futures::future::join_all(calls).await;
    assert_eq!(replies, vec![(200, true, ANSWER_BYTES); CALLS]);
    wait_until("the log tells which did not fit", async || {
        !node.events("answer_relayed").is_empty()
    })
    .await;
}
