//! Invalid settings and requests get typed errors.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use common::{assert_complete, deployment, desk, name, wait_until};
use heathpitch_fakes::{Caller, Deployment};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn run_node(settings: &str, arguments: &[&str]) -> Output {
    let folder = std::env::temp_dir().join(format!("heathpitch-bad-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(format!("{:x}.json", settings.len() * 31 + arguments.len()));
    std::fs::write(&path, settings).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_heathpitchd"))
        .arg("--settings")
        .arg(&path)
        .args(arguments)
        .output()
        .unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

fn settings(extra: &str) -> String {
    format!(
        r#"{{"node":"n","domain":"d","listen":"127.0.0.1:0","admin":"127.0.0.1:0",
        "peer":{{"listen":"127.0.0.1:0"}},"platform":["127.0.0.1:1"]{extra}}}"#
    )
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn error_for_mistyped_key_names_its_path_and_nearest_match() {
    let got = run_node(&settings(r#","timing":{"platfrom_ms":5}"#), &["--check"]);
    assert_eq!(got.status.code(), Some(2));
    let stderr = stderr(&got);
    assert!(stderr.contains("timing"), "{stderr}");
    assert!(stderr.contains("did you mean `platform_ms`?"), "{stderr}");
}

#[test]
fn error_for_value_out_of_range_names_the_bounds() {
    let got = run_node(&settings(r#","threads":900"#), &["--check"]);
    assert_eq!(got.status.code(), Some(2));
    assert!(stderr(&got).contains("threads: 900 is outside 1 to 64"));
}

#[test]
fn malformed_or_missing_settings_are_rejected() {
    assert_eq!(run_node("{", &["--check"]).status.code(), Some(2));
    let missing = Command::new(env!("CARGO_BIN_EXE_heathpitchd"))
        .args(["--settings", "no-such-file.json"])
        .output()
        .unwrap();
    assert_eq!(missing.status.code(), Some(2));
    assert!(stderr(&missing).contains("no-such-file.json"));
}

#[test]
fn error_for_port_in_use_names_the_address() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let text = settings("").replacen("127.0.0.1:0", &address, 1);
    let got = run_node(&text, &[]);
    assert_eq!(got.status.code(), Some(3));
    assert!(stderr(&got).contains(&format!("cannot listen on {address} (listen)")));
}

#[tokio::test(flavor = "multi_thread")]
async fn node_without_platform_is_not_ready() {
    let mut d = Deployment::new(Path::new(env!("CARGO_BIN_EXE_heathpitchd"))).unwrap();
    d.start_node("n1", "memphis", |s| s["platform"] = json!(["127.0.0.1:1"])).unwrap();
    let got = desk().post(d.nodes[0].listen, "/v1/completions", &[], "{}").await.unwrap();
    assert_eq!(got.json["error"]["kind"], "malformed");
    let request = json!({ "model": "tickets", "prompt": "x" }).to_string();
    let got = desk().post(d.nodes[0].listen, "/v1/completions", &[], request).await.unwrap();
    assert_eq!((got.status, &got.json["error"]["kind"]), (503, &json!("not_ready")));
    assert!(got.retry_after.is_some());
}

/// Each request is invalid in one way and gets the matching error kind.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_bodies_get_their_error_kind() {
    let d = small_deployment().await;
    let node = d.nodes[0].listen;
    let big = format!(r#"{{"model":"tickets","prompt":"{}"}}"#, "x".repeat(2 << 20));
    let bodies: [(&str, u16, &str); 9] = [
        ("{", 400, "malformed"),
        (r#"{"model":"tickets"}"#, 400, "malformed"),
        (r#"{"model":"two words","prompt":"x"}"#, 400, "malformed"),
        (r#"{"model":"tickets","prompt":"x","max_tokens":0}"#, 400, "malformed"),
        (r#"{"model":"tickets","prompt":"x","max_tokens":-1}"#, 400, "malformed"),
        (r#"{"model":"tickets","prompt":["a","b"]}"#, 400, "malformed"),
        (r#"{"model":"tickets","prompt":"x","n":3}"#, 400, "malformed"),
        (r#"{"model":"tikets","prompt":"x"}"#, 404, "unknown_model"),
        (&big, 413, "too_large"),
    ];
    for (body, status, kind) in bodies {
        let got = desk().post(node, "/v1/completions", &[], body.to_owned()).await.unwrap();
        let shown = &body[..body.len().min(60)];
        assert_eq!((got.status, &got.json["error"]["kind"]), (status, &json!(kind)), "{shown}");
        assert_eq!(got.json["error"]["outcome"], "not_run");
    }
    let not_utf8 = vec![b'{', 0xff, b'}'];
    let got = desk().post(node, "/v1/completions", &[], not_utf8).await.unwrap();
    assert_eq!(got.json["error"]["message"], "the body is not UTF-8");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_headers_paths_and_accounts_get_their_error_kind() {
    let d = small_deployment().await;
    let node = d.nodes[0].listen;
    let request = json!({ "model": "tickets", "prompt": "x", "max_tokens": 1 }).to_string();
    let headers: [(&str, &str, u16, &str); 5] = [
        ("x-heathpitch-priority", "urgent", 400, "malformed"),
        ("x-heathpitch-deadline-ms", "soon", 400, "malformed"),
        ("x-heathpitch-repeat", "maybe", 400, "malformed"),
        ("idempotency-key", "two words", 400, "malformed"),
        ("idempotency-key", "hpt.broken", 400, "malformed"),
    ];
    for (name, value, status, kind) in headers {
        let sent = [(name, value)];
        let got = desk().post(node, "/v1/completions", &sent, request.clone()).await.unwrap();
        assert_eq!((got.status, &got.json["error"]["kind"]), (status, &json!(kind)), "{name}");
    }
    let stranger = Caller::new(name("nobody"));
    let got = stranger.post(node, "/v1/completions", &[], request.clone()).await.unwrap();
    assert_eq!((got.status, &got.json["error"]["kind"]), (401, &json!("unknown_account")));
    let got = desk().post(node, "/v2/completions", &[], request).await.unwrap();
    assert_eq!((got.status, &got.json["error"]["kind"]), (404, &json!("unknown_path")));
    let got = desk().post(node, "/services/no-such/x", &[], "").await.unwrap();
    assert_eq!((got.status, &got.json["error"]["kind"]), (404, &json!("no_route")));
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_request_head_is_rejected() {
    let d = small_deployment().await;
    let mut socket = TcpStream::connect(d.nodes[0].listen).await.unwrap();
    let head = format!("GET /v1/models HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10));
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut text = vec![0; 64];
    let n = socket.read(&mut text).await.unwrap_or(0);
    assert!(n == 0 || String::from_utf8_lossy(&text).contains(" 431 "));
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_disconnects_frees_the_engines() {
    let d = deployment(1, 1).await;
    read_and_disconnect(d.nodes[0].listen).await;
    wait_until("no request is open", || async { d.nodes[0].status().await["open"] == 0 }).await;
    let got = desk().stream(d.nodes[0].listen, &name("tickets"), "next", 5).await.unwrap();
    assert_complete(&got, "next", 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_readers_do_not_delay_other_callers() {
    let d = deployment(1, 1).await;
    let node = d.nodes[0].listen;
    let mut slow = Vec::new();
    for _ in 0..5 {
        slow.push(start_stream(node, 2_000).await);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = desk().stream(node, &name("tickets"), "quick", 10).await.unwrap();
    assert_complete(&got, "quick", 10);
}

async fn read_and_disconnect(node: SocketAddr) {
    let mut socket = start_stream(node, 500).await;
    let mut some = [0; 256];
    assert!(socket.read(&mut some).await.unwrap() > 0);
    drop(socket);
}

async fn start_stream(node: SocketAddr, tokens: u32) -> TcpStream {
    let request =
        json!({ "model": "tickets", "prompt": "x", "max_tokens": tokens, "stream": true });
    let request = request.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\nx-heathpitch-account: memphis-desk\r\n\
         content-length: {}\r\n\r\n{request}",
        request.len()
    );
    let mut socket = TcpStream::connect(node).await.unwrap();
    socket.write_all(head.as_bytes()).await.unwrap();
    socket
}

async fn small_deployment() -> Deployment {
    deployment(1, 1).await
}
