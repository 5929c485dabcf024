//! Overload: excess requests are refused at once with a retry delay; priorities are respected.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::time::{Duration, Instant};

use common::{deployment_with, desk, name, wait_until};
use heathpitch_fakes::{Caller, Deployment, Reply};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Sends `count` requests concurrently and returns the replies.
async fn burst(
    d: &Deployment,
    caller: &Caller,
    priority: &'static str,
    count: usize,
) -> Vec<Reply> {
    let mut tasks = JoinSet::new();
    for i in 0..count {
        let (caller, node) = (caller.clone(), d.nodes[i % d.nodes.len()].listen);
        tasks.spawn(async move {
            let prompt = format!("{priority} {i}");
            let request = json!({ "model": "tickets", "prompt": prompt, "max_tokens": 30 });
            let headers = [("x-heathpitch-priority", priority)];
            caller.post(node, "/v1/completions", &headers, request.to_string()).await.unwrap()
        });
    }
    tasks.join_all().await
}

fn served_count(replies: &[Reply]) -> usize {
    replies.iter().filter(|r| r.status == 200).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_is_refused_at_once_with_spread_retry_delays() {
    let d = deployment_with(1, 1, |_| {}).await;
    let start = Instant::now();
    let replies = burst(&d, &desk(), "normal", 400).await;
    assert!(served_count(&replies) > 0);
    let refused: Vec<&Reply> = replies.iter().filter(|r| r.status != 200).collect();
    assert!(!refused.is_empty());
    for r in &refused {
        assert_eq!(r.json["error"]["outcome"], "not_run", "{r:?}");
        assert!(r.retry_after.is_some(), "{r:?}");
    }
    let retry_delays: std::collections::BTreeSet<u64> =
        refused.iter().filter_map(|r| r.json["error"]["retry_after_ms"].as_u64()).collect();
    assert!(retry_delays.len() > refused.len() / 4, "the retry delays are not spread");
    println!(
        "{} refused, {} served in {:?}",
        refused.len(),
        served_count(&replies),
        start.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn high_priority_is_served_while_low_is_shed() {
    let d = deployment_with(1, 1, |_| {}).await;
    let (desk, night) = (desk(), Caller::new(name("isar-night")));
    let low = {
        let burst = burst(&d, &night, "low", 300);
        let high = async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            self::burst(&d, &desk, "high", 10).await
        };
        let (low, high) = tokio::join!(burst, high);
        assert_eq!(served_count(&high), 10);
        low
    };
    assert!(served_count(&low) < 300);
}

#[tokio::test(flavor = "multi_thread")]
async fn node_stays_responsive_under_invalid_requests() {
    let d = deployment_with(1, 1, |_| {}).await;
    let mut tasks = JoinSet::new();
    for _ in 0..500 {
        let node = d.nodes[0].listen;
        tasks.spawn(async move { desk().post(node, "/v1/completions", &[], "{").await });
    }
    let all = tasks.join_all().await;
    assert!(all.iter().flatten().all(|r| r.status == 400));
    assert_eq!(served_count(&burst(&d, &desk(), "normal", 3).await), 3);
    wait_until("no request is open", || async { d.nodes[0].status().await["open"] == 0 }).await;
}

/// The callers request long answers and never read them.
#[tokio::test(flavor = "multi_thread")]
async fn node_stays_responsive_with_a_thousand_slow_callers() {
    let d = deployment_with(1, 1, |_| {}).await;
    let request = json!({ "model": "tickets", "prompt": "x", "max_tokens": 4_000, "stream": true });
    let request = request.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\nx-heathpitch-account: memphis-desk\r\n\
         content-length: {}\r\n\r\n{request}",
        request.len()
    );
    let mut slow = Vec::new();
    for _ in 0..1_000 {
        let mut socket = TcpStream::connect(d.nodes[0].listen).await.unwrap();
        socket.write_all(head.as_bytes()).await.unwrap();
        slow.push(socket);
    }
    let bad = desk().post(d.nodes[0].listen, "/v1/completions", &[], "{").await.unwrap();
    assert_eq!(bad.status, 400);
    let status = d.nodes[0].status().await;
    assert!(status["open"].as_u64().is_some_and(|open| (1..1_000).contains(&open)), "{status}");
    drop(slow);
    wait_until("no request is open", || async { d.nodes[0].status().await["open"] == 0 }).await;
    assert_eq!(served_count(&burst(&d, &desk(), "normal", 3).await), 3);
}
