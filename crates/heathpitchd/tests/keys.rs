//! Requests that may not be repeated: at most once, through any node and any failure.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use std::time::Duration;

use common::{deployment, desk, wait};
use heathpitch_fakes::{Deployment, Fault, PlatformFault, Reply};
use serde_json::json;

async fn book(d: &Deployment, node: usize, key: &str, order: &str) -> Reply {
    let headers = [("idempotency-key", key)];
    let listen = d.nodes[node].listen;
    desk().post(listen, "/services/accounts/book", &headers, order.to_owned()).await.unwrap()
}

async fn summarise(d: &Deployment, node: usize, key: &str) -> Reply {
    let ask = json!({ "model": "tickets", "prompt": "incident 4411", "max_tokens": 12 });
    let headers = [("idempotency-key", key)];
    desk().post(d.nodes[node].listen, "/v1/completions", &headers, ask.to_string()).await.unwrap()
}

fn times(d: &Deployment, order: &str) -> u32 {
    d.services.iter().filter_map(|(s, _)| s.booked().get(order).copied()).sum()
}

fn started(d: &Deployment) -> u64 {
    d.engines.iter().map(|(e, _)| e.counts().0).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_the_first_answer_through_any_node() {
    let d = deployment(3, 1).await;
    let first = book(&d, 0, "order-1", "buy 10").await;
    assert_eq!(first.status, 200);
    for node in 0..3 {
        let again = book(&d, node, "order-1", "buy 10").await;
        assert_eq!((again.status, &again.json), (200, &first.json));
    }
    assert_eq!(times(&d, "buy 10"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_summary_is_produced_once() {
    let d = deployment(2, 1).await;
    let first = summarise(&d, 0, "incident-1").await;
    let again = summarise(&d, 1, "incident-1").await;
    assert_eq!(first.status, 200);
    assert_eq!(first.json["choices"], again.json["choices"]);
    assert_eq!(started(&d), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_on_all_nodes_at_once_runs_once() {
    let d = deployment(3, 1).await;
    for round in 0..5 {
        let (key, order) = (format!("race-{round}"), format!("buy {round}"));
        let (a, b, c) = tokio::join!(
            book(&d, 0, &key, &order),
            book(&d, 1, &key, &order),
            book(&d, 2, &key, &order),
        );
        assert_eq!(times(&d, &order), 1);
        assert!([a, b, c].iter().any(|r| r.status == 200));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused() {
    let d = deployment(2, 1).await;
    assert_eq!(book(&d, 0, "k", "buy 1").await.status, 200);
    for node in 0..2 {
        let got = book(&d, node, "k", "sell 1").await;
        assert_eq!((got.status, &got.json["error"]["kind"]), (422, &json!("key_mismatch")));
    }
    assert_eq!(times(&d, "sell 1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_owner_was_killed_is_never_run_again() {
    let mut d = deployment(2, 1).await;
    d.services.iter().for_each(|(s, _)| s.fault(Fault::Freeze));
    let node = d.nodes[0].listen;
    let lost = tokio::spawn(async move {
        let headers = [("idempotency-key", "killed")];
        desk().post(node, "/services/accounts/book", &headers, "buy 5").await
    });
    wait("the key is claimed", || async { claimed(&d) }).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    d.nodes[0].kill();
    assert!(lost.await.unwrap().is_err());
    d.services.iter().for_each(|(s, _)| s.fault(Fault::Thaw));
    let got = book(&d, 1, "killed", "buy 5").await;
    assert_eq!(got.json["error"]["outcome"], "unknown");
    assert!(times(&d, "buy 5") <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_that_wakes_runs_nothing_twice() {
    let d = deployment(2, 1).await;
    d.platform.fault(PlatformFault::Slow(300));
    let node = d.nodes[0].listen;
    let paused = tokio::spawn(async move {
        let headers = [("idempotency-key", "paused")];
        desk().post(node, "/services/accounts/book", &headers, "buy 6").await
    });
    wait("the key is claimed", || async { claimed(&d) }).await;
    d.nodes[0].signal("STOP").unwrap();
    d.platform.fault(PlatformFault::Heal);
    let others = tokio::spawn({
        let listen = d.nodes[1].listen;
        async move {
            let headers = [("idempotency-key", "paused"), ("x-heathpitch-deadline-ms", "2000")];
            desk().post(listen, "/services/accounts/book", &headers, "buy 6").await
        }
    });
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    d.nodes[0].signal("CONT").unwrap();
    let (first, second) = (paused.await.unwrap().unwrap(), others.await.unwrap().unwrap());
    assert_eq!(times(&d, "buy 6"), 1, "{first:?} {second:?}");
    assert_eq!(first.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_store_down_a_new_key_is_not_run_and_may_come_back() {
    let d = deployment(1, 1).await;
    d.platform.fault(PlatformFault::Down);
    let got = book(&d, 0, "down", "buy 7").await;
    assert_eq!((got.status, &got.json["error"]["kind"]), (503, &json!("claims_away")));
    assert_eq!(got.json["error"]["outcome"], "not_run");
    assert!(got.retry_after.is_some());
    assert_eq!(times(&d, "buy 7"), 0);
    d.platform.fault(PlatformFault::Heal);
    assert_eq!(book(&d, 0, "down", "buy 7").await.status, 200);
    assert_eq!(times(&d, "buy 7"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_was_lost_is_found_again() {
    let d = deployment(2, 1).await;
    d.platform.fault(PlatformFault::LoseWrites(1));
    assert_eq!(book(&d, 0, "lost", "buy 8").await.status, 200);
    assert_eq!(book(&d, 1, "lost", "buy 8").await.status, 200);
    assert_eq!(times(&d, "buy 8"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn tickets_need_no_store_and_are_owned_by_one_node() {
    let d = deployment(2, 1).await;
    d.platform.fault(PlatformFault::Down);
    let minted = desk().post(d.nodes[0].listen, "/v1/tickets", &[], "").await.unwrap();
    let ticket = minted.json["ticket"].as_str().unwrap().to_owned();
    let through_other = book(&d, 1, &ticket, "buy 9").await;
    assert_eq!(through_other.status, 200);
    let again = book(&d, 0, &ticket, "buy 9").await;
    assert_eq!(again.json, through_other.json);
    assert_eq!(times(&d, "buy 9"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_of_a_node_that_is_gone_is_unknown() {
    let mut d = deployment(2, 1).await;
    let minted = desk().post(d.nodes[0].listen, "/v1/tickets", &[], "").await.unwrap();
    let ticket = minted.json["ticket"].as_str().unwrap().to_owned();
    d.nodes[0].kill();
    let got = book(&d, 1, &ticket, "buy 11").await;
    assert_eq!((got.status, &got.json["error"]["outcome"]), (502, &json!("unknown")));
    assert_eq!(times(&d, "buy 11"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_gets_the_answer_when_it_asks_again() {
    let d = deployment(1, 1).await;
    let node = d.nodes[0].listen;
    let hung = tokio::time::timeout(Duration::from_millis(60), async move {
        let ask = json!({ "model": "tickets", "prompt": "night batch", "max_tokens": 40 });
        let headers = [("idempotency-key", "hung")];
        desk().post(node, "/v1/completions", &headers, ask.to_string()).await
    });
    assert!(hung.await.is_err());
    let ask = json!({ "model": "tickets", "prompt": "night batch", "max_tokens": 40 });
    let headers = [("idempotency-key", "hung")];
    let got = desk().post(node, "/v1/completions", &headers, ask.to_string()).await.unwrap();
    assert_eq!(got.status, 200);
    assert_eq!(started(&d), 1);
}

fn claimed(d: &Deployment) -> bool {
    (0..256).any(|page| d.platform.stored(&format!("claims/{page}")).is_some())
}
