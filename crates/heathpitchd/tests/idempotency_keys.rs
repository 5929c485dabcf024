//! Requests with an idempotency key run at most once, through any node and despite failures.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::time::Duration;

use common::{deployment, desk, wait_until};
use heathpitch_fakes::{Deployment, Fault, PlatformFault, Reply};
use serde_json::json;

async fn book(d: &Deployment, node: usize, key: &str, order: &str) -> Reply {
    let headers = [("idempotency-key", key)];
    let listen = d.nodes[node].listen;
    desk().post(listen, "/services/accounts/book", &headers, order.to_owned()).await.unwrap()
}

async fn complete(d: &Deployment, node: usize, key: &str) -> Reply {
    let request = json!({ "model": "tickets", "prompt": "incident 4411", "max_tokens": 12 });
    let headers = [("idempotency-key", key)];
    desk()
        .post(d.nodes[node].listen, "/v1/completions", &headers, request.to_string())
        .await
        .unwrap()
}

fn run_count(d: &Deployment, order: &str) -> u32 {
    d.services.iter().filter_map(|(s, _)| s.executions().get(order).copied()).sum()
}

fn started_count(d: &Deployment) -> u64 {
    d.engines.iter().map(|(e, _)| e.request_counts().0).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_request_gets_the_first_answer_through_any_node() {
    let d = deployment(3, 1).await;
    let first = book(&d, 0, "order-1", "buy 10").await;
    assert_eq!(first.status, 200);
    for node in 0..3 {
        let again = book(&d, node, "order-1", "buy 10").await;
        assert_eq!((again.status, &again.json), (200, &first.json));
    }
    assert_eq!(run_count(&d, "buy 10"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_model_request_runs_once() {
    let d = deployment(2, 1).await;
    let first = complete(&d, 0, "incident-1").await;
    let again = complete(&d, 1, "incident-1").await;
    assert_eq!(first.status, 200);
    assert_eq!(first.json["choices"], again.json["choices"]);
    assert_eq!(started_count(&d), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_run_once() {
    let d = deployment(3, 1).await;
    for round in 0..5 {
        let (key, order) = (format!("race-{round}"), format!("buy {round}"));
        let (a, b, c) = tokio::join!(
            book(&d, 0, &key, &order),
            book(&d, 1, &key, &order),
            book(&d, 2, &key, &order),
        );
        assert_eq!(run_count(&d, &order), 1);
        assert!([a, b, c].iter().any(|r| r.status == 200));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn key_with_a_different_body_is_refused() {
    let d = deployment(2, 1).await;
    assert_eq!(book(&d, 0, "k", "buy 1").await.status, 200);
    for node in 0..2 {
        let got = book(&d, node, "k", "sell 1").await;
        assert_eq!((got.status, &got.json["error"]["kind"]), (422, &json!("key_mismatch")));
    }
    assert_eq!(run_count(&d, "sell 1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_killed_owner_is_never_run_again() {
    let mut d = deployment(2, 1).await;
    d.services.iter().for_each(|(s, _)| s.inject(Fault::Freeze));
    let node = d.nodes[0].listen;
    let lost = tokio::spawn(async move {
        let headers = [("idempotency-key", "killed")];
        desk().post(node, "/services/accounts/book", &headers, "buy 5").await
    });
    wait_until("the key is claimed", || async { any_key_claimed(&d) }).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    d.nodes[0].kill();
    assert!(lost.await.unwrap().is_err());
    d.services.iter().for_each(|(s, _)| s.inject(Fault::Thaw));
    let got = book(&d, 1, "killed", "buy 5").await;
    assert_eq!(got.json["error"]["outcome"], "unknown");
    assert!(run_count(&d, "buy 5") <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_owner_that_resumes_runs_nothing_twice() {
    let d = deployment(2, 1).await;
    d.platform.inject(PlatformFault::Slow(300));
    let node = d.nodes[0].listen;
    let paused = tokio::spawn(async move {
        let headers = [("idempotency-key", "paused")];
        desk().post(node, "/services/accounts/book", &headers, "buy 6").await
    });
    wait_until("the key is claimed", || async { any_key_claimed(&d) }).await;
    d.nodes[0].signal("STOP").unwrap();
    d.platform.inject(PlatformFault::Clear);
    let other = tokio::spawn({
        let listen = d.nodes[1].listen;
        async move {
            let headers = [("idempotency-key", "paused"), ("x-heathpitch-deadline-ms", "2000")];
            desk().post(listen, "/services/accounts/book", &headers, "buy 6").await
        }
    });
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    d.nodes[0].signal("CONT").unwrap();
    let (first, second) = (paused.await.unwrap().unwrap(), other.await.unwrap().unwrap());
    assert_eq!(run_count(&d, "buy 6"), 1, "{first:?} {second:?}");
    assert_eq!(first.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn new_key_during_store_outage_is_not_run_and_may_be_retried() {
    let d = deployment(1, 1).await;
    d.platform.inject(PlatformFault::Unavailable);
    let got = book(&d, 0, "down", "buy 7").await;
    assert_eq!((got.status, &got.json["error"]["kind"]), (503, &json!("claims_away")));
    assert_eq!(got.json["error"]["outcome"], "not_run");
    assert!(got.retry_after.is_some());
    assert_eq!(run_count(&d, "buy 7"), 0);
    d.platform.inject(PlatformFault::Clear);
    assert_eq!(book(&d, 0, "down", "buy 7").await.status, 200);
    assert_eq!(run_count(&d, "buy 7"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_whose_response_was_lost_is_recovered() {
    let d = deployment(2, 1).await;
    d.platform.inject(PlatformFault::LoseWriteResponses(1));
    assert_eq!(book(&d, 0, "lost", "buy 8").await.status, 200);
    assert_eq!(book(&d, 1, "lost", "buy 8").await.status, 200);
    assert_eq!(run_count(&d, "buy 8"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn tickets_need_no_store_and_are_owned_by_one_node() {
    let d = deployment(2, 1).await;
    d.platform.inject(PlatformFault::Unavailable);
    let issued = desk().post(d.nodes[0].listen, "/v1/tickets", &[], "").await.unwrap();
    let ticket = issued.json["ticket"].as_str().unwrap().to_owned();
    let through_other = book(&d, 1, &ticket, "buy 9").await;
    assert_eq!(through_other.status, 200);
    let again = book(&d, 0, &ticket, "buy 9").await;
    assert_eq!(again.json, through_other.json);
    assert_eq!(run_count(&d, "buy 9"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_of_a_dead_node_has_unknown_outcome() {
    let mut d = deployment(2, 1).await;
    let issued = desk().post(d.nodes[0].listen, "/v1/tickets", &[], "").await.unwrap();
    let ticket = issued.json["ticket"].as_str().unwrap().to_owned();
    d.nodes[0].kill();
    let got = book(&d, 1, &ticket, "buy 11").await;
    assert_eq!((got.status, &got.json["error"]["outcome"]), (502, &json!("unknown")));
    assert_eq!(run_count(&d, "buy 11"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_disconnects_gets_the_answer_on_retry() {
    let d = deployment(1, 1).await;
    let node = d.nodes[0].listen;
    let aborted = tokio::time::timeout(Duration::from_millis(60), async move {
        let request = json!({ "model": "tickets", "prompt": "night batch", "max_tokens": 40 });
        let headers = [("idempotency-key", "hung")];
        desk().post(node, "/v1/completions", &headers, request.to_string()).await
    });
    assert!(aborted.await.is_err());
    let request = json!({ "model": "tickets", "prompt": "night batch", "max_tokens": 40 });
    let headers = [("idempotency-key", "hung")];
    let got = desk().post(node, "/v1/completions", &headers, request.to_string()).await.unwrap();
    assert_eq!(got.status, 200);
    assert_eq!(started_count(&d), 1);
}

fn any_key_claimed(d: &Deployment) -> bool {
    (0..256).any(|page| d.platform.stored(&format!("claims/{page}")).is_some())
}
