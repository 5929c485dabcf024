//! End-to-end requests through nodes that run as processes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{assert_complete, deployment, desk, expected_pieces, name};
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answers_are_correct_on_every_node() {
    let d = deployment(3, 2).await;
    for (i, node) in d.nodes.iter().enumerate() {
        let prompt = format!("order {i}: 200 shares, limit 31.20, account note attached");
        let got = desk().stream(node.listen, &name("tickets"), &prompt, 24).await.unwrap();
        assert_complete(&got, &prompt, 24);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn buffered_answers_are_correct() {
    let d = deployment(1, 1).await;
    let request = json!({ "model": "tickets", "prompt": "why rejected?", "max_tokens": 9 });
    let node = d.nodes[0].listen;
    let got = desk().post(node, "/v1/completions", &[], request.to_string()).await.unwrap();
    assert_eq!(got.status, 200);
    assert_eq!(got.json["choices"][0]["text"], expected_pieces("why rejected?", 9).concat());
    assert_eq!(got.json["choices"][0]["finish_reason"], "length");
    assert_eq!(got.json["usage"]["completion_tokens"], 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_answers_are_correct() {
    let d = deployment(1, 1).await;
    let request = json!({ "model": "tickets", "max_tokens": 5,
        "messages": [{ "role": "user", "content": "explain" }] });
    let node = d.nodes[0].listen;
    let got = desk().post(node, "/v1/chat/completions", &[], request.to_string()).await.unwrap();
    assert_eq!(got.status, 200);
    let message = &got.json["choices"][0]["message"];
    assert_eq!(message["content"], expected_pieces("user: explain\nassistant:", 5).concat());
}

#[tokio::test(flavor = "multi_thread")]
async fn shared_prefixes_do_not_change_answers() {
    let d = deployment(1, 1).await;
    let shared = "account notes of the adviser, read out in full for every order ".repeat(6);
    for order in 0..4 {
        let prompt = format!("{shared} order {order}");
        let node = d.nodes[0].listen;
        let got = desk().stream(node, &name("tickets"), &prompt, 8).await.unwrap();
        assert_complete(&got, &prompt, 8);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn service_requests_are_routed_and_answered() {
    let d = deployment(1, 1).await;
    let node = d.nodes[0].listen;
    let got = desk().post(node, "/services/accounts/book?x=1", &[], "order 7").await.unwrap();
    assert_eq!(got.status, 200);
    assert_eq!(got.json["path"], "/book");
    assert_eq!(got.json["times"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_answers_never_mix() {
    let d = deployment(2, 2).await;
    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..24_usize {
        let node = d.nodes[i % 2].listen;
        tasks.spawn(async move {
            let prompt = format!("incident {i}: stack trace of thread {}", i * 31);
            let got = desk().stream(node, &name("tickets"), &prompt, 16).await.unwrap();
            (prompt, got)
        });
    }
    while let Some(done) = tasks.join_next().await {
        let (prompt, got) = done.unwrap();
        assert_complete(&got, &prompt, 16);
    }
}
