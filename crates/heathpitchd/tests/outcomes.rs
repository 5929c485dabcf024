//! Outcomes reported to callers: "not run" only if certain, otherwise "unknown".

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::{WAIT_TIMEOUT, deployment, desk, name, wait_until};
use heathpitch_fakes::{Deployment, Fault, Reply};
use serde_json::json;
use tokio::net::TcpStream;

const NEVER_RETRY: &[(&str, &str)] = &[("x-heathpitch-repeat", "never")];

fn fault_all(d: &Deployment, fault: Fault) {
    d.engines.iter().for_each(|(e, _)| e.inject(fault));
}

fn started_count(d: &Deployment) -> u64 {
    d.engines.iter().map(|(e, _)| e.request_counts().0).sum()
}

async fn send(d: &Deployment, headers: &[(&str, &str)]) -> Reply {
    let request = json!({ "model": "tickets", "prompt": "check the order", "max_tokens": 4 });
    let node = d.nodes[0].listen;
    desk().post(node, "/v1/completions", headers, request.to_string()).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn explicit_refusal_is_not_run() {
    let d = deployment(1, 2).await;
    fault_all(&d, Fault::Refuse);
    let got = send(&d, NEVER_RETRY).await;
    assert_eq!((got.status, &got.json["error"]["outcome"]), (503, &json!("not_run")));
    assert_eq!(got.json["error"]["kind"], "refused");
    assert!(got.retry_after.is_some_and(|s| (1..=60).contains(&s)));
    assert_eq!(started_count(&d), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_connection_is_not_run() {
    let d = deployment(1, 1).await;
    fault_all(&d, Fault::Exit);
    // The listener closes asynchronously; a connection accepted until then may run its request.
    let engine = d.engines[0].0.address();
    wait_until("the engine refuses connections", || async {
        TcpStream::connect(engine).await.is_err()
    })
    .await;
    let got = send(&d, NEVER_RETRY).await;
    assert_eq!(got.json["error"]["outcome"], "not_run");
    assert!(got.retry_after.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_before_first_byte_is_unknown_and_not_retried() {
    let d = deployment(1, 2).await;
    fault_all(&d, Fault::Reset);
    let got = send(&d, NEVER_RETRY).await;
    assert_eq!((got.status, &got.json["error"]["outcome"]), (502, &json!("unknown")));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_never_reported_as_not_run() {
    let d = deployment(1, 2).await;
    fault_all(&d, Fault::LoseResponse);
    let got = send(&d, NEVER_RETRY).await;
    assert_eq!(got.json["error"]["outcome"], "unknown");
    assert_eq!(started_count(&d), 1, "a request that forbids retries ran more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_retried_if_retries_are_allowed() {
    let d = deployment(1, 2).await;
    let heads = |d: &Deployment, f: Fault| {
        d.engines
            .iter()
            .filter(|(e, _)| e.name().as_str().ends_with("0a"))
            .for_each(|(e, _)| e.inject(f));
    };
    heads(&d, Fault::LoseResponse);
    for _ in 0..6 {
        assert_eq!(send(&d, &[]).await.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stage_failure_is_reported_as_failed() {
    let d = deployment(1, 1).await;
    let node = d.nodes[0].listen;
    let task = tokio::spawn(async move {
        let request = json!({ "model": "tickets", "prompt": "long", "max_tokens": 400 });
        desk().post(node, "/v1/completions", NEVER_RETRY, request.to_string()).await.unwrap()
    });
    wait_until("the request runs", || async { started_count(&d) == 1 }).await;
    tokio::time::sleep(WAIT_TIMEOUT / 100).await;
    d.engines[1].0.inject(Fault::Exit);
    let got = task.await.unwrap();
    assert_eq!(got.json["error"]["outcome"], "failed");
    assert_eq!(started_count(&d), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_service_answer_is_unknown_and_not_retried() {
    let d = deployment(1, 1).await;
    d.services.iter().for_each(|(s, _)| s.inject(Fault::LoseResponse));
    let got =
        desk().post(d.nodes[0].listen, "/services/accounts/book", &[], "order 9").await.unwrap();
    assert_eq!(got.json["error"]["outcome"], "unknown");
    let times: u32 = d.services.iter().map(|(s, _)| s.executions().values().sum::<u32>()).sum();
    assert_eq!(times, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusing_service_is_skipped() {
    let d = deployment(1, 1).await;
    d.services[0].0.inject(Fault::Refuse);
    for i in 0..6 {
        let body = format!("order {i}");
        let got =
            desk().post(d.nodes[0].listen, "/services/accounts/book", &[], body).await.unwrap();
        assert_eq!(got.status, 200);
    }
    assert_eq!(name("lookup-b"), *d.services[1].0.name());
    assert_eq!(d.services[1].0.executions().len(), 6);
}
