//! Answers of engines whose heads are spoilt.
//!
//! A head that tells two ends of its body, names end-to-end headers as those of the connection, or has no final status
//! got through to callers, as a success with another body or as bytes that they took for their next answer.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::{Cluster, KEY, wait_until};
use heathpitch_standin::{LinkMode, Proxy, RawEngine, Scope};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Body of the engine's sound answers: two events, so that streams relay it too.
const BODY: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// Time after which an answer is taken not to end.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What a caller may get for a form of head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Allowed {
    /// A failure, or an answer that is visibly cut.
    Failure,
    /// A whole success with the engine's body and digest.
    Success,
}
use Allowed::{Failure, Success};

/// Status and header lines of an answer, whether its body is in chunks, and what a caller may get for it.
const FORMS: [(&str, &str, bool, Allowed); 26] = [
    ("200 OK", "content-length: 34", false, Success),
    ("200 OK", "content-length: 34, 34", false, Success),
    ("200 OK", "content-length: 34\r\ncontent-length: 34", false, Success),
    ("200 OK", "transfer-encoding: chunked", true, Success),
    ("200 OK", "Transfer-Encoding: Chunked", true, Success),
    ("200 OK", "content-length: 34\r\nconnection: x-other", false, Success),
    ("200 OK", "transfer-encoding: chunked\r\ncontent-length: 10", true, Failure),
    ("200 OK", "content-length: 34\r\ntransfer-encoding: chunked", true, Failure),
    ("200 OK", "transfer-encoding: chunked\r\ncontent-length: 340", true, Failure),
    ("200 OK", "transfer-encoding: chunked\r\ncontent-length: x", true, Failure),
    ("200 OK", "transfer-encoding: chunked\r\ncontent-length: 34, 34", true, Failure),
    ("200 OK", "transfer-encoding: chunked\r\ncontent-length:", true, Failure),
    ("200 OK", "transfer-encoding: chunkd", true, Failure),
    ("200 OK", "transfer-encoding:", true, Failure),
    ("200 OK", "transfer-encoding: chunked, gzip", true, Failure),
    ("200 OK", "transfer-encoding: gzip, chunked", true, Failure),
    ("200 OK", "transfer-encoding: chunked\r\ntransfer-encoding: chunked", true, Failure),
    ("200 OK", "content-length: 34\r\nconnection: x-response-stamp", false, Failure),
    ("200 OK", "content-length: 34\r\nconnection: keep-alive, X-Request-Id", false, Failure),
    ("200 OK", "content-length: 34\r\ncontent-encoding: gzip", false, Failure),
    ("200 OK", "contnt-length: 34", false, Failure),
    ("200 OK", "content length: 34", false, Failure),
    ("204 No Content", "content-length: 34", false, Failure),
    ("600 Odd", "content-length: 34", false, Failure),
    ("999 Odd", "content-length: 34", false, Failure),
    ("101 Switching Protocols", "connection: upgrade\r\nupgrade: x", false, Failure),
];

/// Answer of the engine to the call `id`.
fn answer(id: &str, (status, lines, chunked, _): (&str, &str, bool, Allowed)) -> Vec<u8> {
    let head = RawEngine::response_head(id, status);
    let body = match chunked {
        true => format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len()),
        false => BODY.to_owned(),
    };
    format!("{head}{lines}\r\n\r\n{body}").into_bytes()
}

/// All bytes that a node writes for a call on a connection that is kept; ends early once a whole answer has come and
/// nothing follows it.
async fn call(node: SocketAddr, method: &str, target: &str, id: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\n\
         authorization: Bearer {KEY}\r\nx-deadline-ms: 1500\r\nx-token-usage: 100,50\r\n\
         content-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let wait = match whole_answer(&bytes) {
            Some(_) => Duration::from_millis(60),
            None => END_TIMEOUT,
        };
        match tokio::time::timeout(wait, stream.read(&mut chunk)).await {
            Ok(Ok(n @ 1..)) => bytes.extend_from_slice(&chunk[..n]),
            Ok(_) | Err(_) => return bytes,
        }
    }
}

/// Status, head and body of one whole answer, and the bytes behind it.
fn whole_answer(bytes: &[u8]) -> Option<(u16, String, Vec<u8>, Vec<u8>)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.get(9..12)?.parse().ok()?;
    let field = |name: &str| {
        head.lines().find_map(|l| l.strip_prefix(name)).map(|value| value.trim().to_owned())
    };
    let rest = &bytes[end..];
    match (field("content-length:"), field("transfer-encoding:").as_deref()) {
        (Some(length), None) => {
            let length: usize = length.parse().ok()?;
            let body = rest.get(..length)?.to_vec();
            Some((status, head, body, rest[length..].to_vec()))
        }
        (None, Some("chunked")) => {
            let (mut body, mut rest) = (Vec::new(), rest);
            loop {
                let line = rest.windows(2).position(|w| w == b"\r\n")?;
                let size = std::str::from_utf8(&rest[..line]).ok()?;
                let size = usize::from_str_radix(size, 16).ok()?;
                body.extend_from_slice(rest.get(line + 2..line + 2 + size)?);
                rest = rest.get(line + 4 + size..)?;
                if size == 0 {
                    return Some((status, head, body, rest.to_vec()));
                }
            }
        }
        _ => None,
    }
}

/// What is wrong with the bytes that a caller got.
fn fault(bytes: &[u8], allowed: Allowed) -> Option<String> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    match (whole_answer(bytes), allowed) {
        (Some((.., behind)), _) if !behind.is_empty() => Some(format!("bytes behind it: {text}")),
        (Some((200, head, body, _)), Success)
            if body == BODY.as_bytes() && head.contains("x-response-stamp") =>
        {
            None
        }
        (Some((500..=599, head, ..)), Failure) if !head.contains("x-response-stamp") => None,
        // A stream may have begun, and is cut.
        (None, Failure) if text.starts_with("HTTP/1.1 200") => None,
        _ => Some(text),
    }
}

const CALLS: [(&str, &str); 3] = [("GET", "/get/x"), ("POST", "/book/x"), ("POST", "/whole/x")];

type Form = (&'static str, &'static str, bool, Allowed);

/// An engine that answers in the form set last.
async fn engine(form: &Arc<Mutex<Form>>) -> RawEngine {
    let form = form.clone();
    let respond = move |id: &str| match id.is_empty() {
        true => RawEngine::report((0, 8)),
        false => answer(id, *form.lock()),
    };
    RawEngine::spawn(respond).await.unwrap()
}

/// Calls a node once for each form and route, and returns what is wrong with the answers.
async fn faults(node: SocketAddr, form: &Mutex<Form>) -> Vec<String> {
    let mut faults = Vec::new();
    for (i, of_engine) in FORMS.into_iter().enumerate() {
        *form.lock() = of_engine;
        for (k, (method, target)) in CALLS.into_iter().enumerate() {
            let bytes = call(node, method, target, &format!("f{i}-{k}")).await;
            if let Some(fault) = fault(&bytes, of_engine.3) {
                faults.push(format!("{of_engine:?} {target}: {fault}"));
            }
        }
    }
    faults
}

/// Guards against a success whose body, framing or digest is not the engine's, after an answer whose head contradicts
/// itself, cannot be framed, or gives its end-to-end headers to the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_spoilt_head_never_becomes_a_success() {
    let cluster = Cluster::new();
    let form = Arc::new(Mutex::new(FORMS[0]));
    let engine = engine(&form).await;
    for service in ["api", "one"] {
        cluster.store.register_engine(&format!("e-{service}"), service, "mem", engine.address);
    }
    let node = cluster.node().await;
    let faults = faults(node.listen, &form).await;
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

/// The same for answers that another node passes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_spoilt_head_never_becomes_a_success_of_a_forwarded_call() {
    let cluster = Cluster::new();
    let nodes = [cluster.start_in("mem", "n1"), cluster.start_in("atl", "n2")];
    let form = Arc::new(Mutex::new(FORMS[0]));
    let engine = engine(&form).await;
    let proxy = Proxy::spawn(engine.address).unwrap();
    proxy.track(nodes[0].process());
    for service in ["api", "one"] {
        cluster.store.register_engine(&format!("e-{service}"), service, "mem", proxy.address());
    }
    for node in &nodes {
        node.wait_ready().await.unwrap();
    }
    proxy.set_process_mode(nodes[0].process(), Some(LinkMode::Blackhole), Scope::All);
    for (k, (method, target)) in CALLS.into_iter().enumerate() {
        wait_until("calls are forwarded", async || {
            let bytes = call(nodes[0].listen, method, target, &format!("w{k}")).await;
            fault(&bytes, Success).is_none()
        })
        .await;
    }
    let faults = faults(nodes[0].listen, &form).await;
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
    assert!(!nodes[0].events("call_forwarded").is_empty());
}

/// Guards against a length that is dropped, or taken for that of an empty body, where the body is not sent.
#[tokio::test(flavor = "multi_thread")]
async fn the_length_of_a_body_that_is_not_sent_is_passed_on_once() {
    let cluster = Cluster::new();
    let engine = RawEngine::spawn(|id| match id.is_empty() {
        true => RawEngine::report((0, 8)),
        false => {
            let head = RawEngine::response_head(id, "200 OK");
            format!("{head}content-length: 34, 34\r\n\r\n").into_bytes()
        }
    });
    cluster.store.register_engine("a", "api", "mem", engine.await.unwrap().address);
    let node = cluster.node().await;
    let bytes = call(node.listen, "HEAD", "/get/x", "h1").await;
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    assert!(text.starts_with("http/1.1 200"), "{text}");
    assert_eq!(text.matches("content-length: 34\r\n").count(), 1, "{text}");
    assert!(text.ends_with("\r\n\r\n"), "no body: {text}");
}
