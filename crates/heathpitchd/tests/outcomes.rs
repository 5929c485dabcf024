//! What callers are told: "not run" is true, "unknown" is said where nothing more is known.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use common::{LIMIT, deployment, desk, name, wait};
use heathpitch_fakes::{Deployment, Fault, Reply};
use serde_json::json;
use tokio::net::TcpStream;

const NEVER: &[(&str, &str)] = &[("x-heathpitch-repeat", "never")];

fn fault(d: &Deployment, fault: Fault) {
    d.engines.iter().for_each(|(e, _)| e.fault(fault));
}

fn started(d: &Deployment) -> u64 {
    d.engines.iter().map(|(e, _)| e.counts().0).sum()
}

async fn ask(d: &Deployment, headers: &[(&str, &str)]) -> Reply {
    let ask = json!({ "model": "tickets", "prompt": "check the order", "max_tokens": 4 });
    let node = d.nodes[0].listen;
    desk().post(node, "/v1/completions", headers, ask.to_string()).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_with_a_statement_is_not_run() {
    let d = deployment(1, 2).await;
    fault(&d, Fault::Refuse);
    let got = ask(&d, NEVER).await;
    assert_eq!((got.status, &got.json["error"]["outcome"]), (503, &json!("not_run")));
    assert_eq!(got.json["error"]["kind"], "refused");
    assert!(got.retry_after.is_some_and(|s| (1..=60).contains(&s)));
    assert_eq!(started(&d), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_connection_is_not_run() {
    let d = deployment(1, 1).await;
    fault(&d, Fault::Die);
    // Its listener is closed a moment later; a connection that it still took may have run.
    let engine = d.engines[0].0.address();
    wait("it refuses connections", || async { TcpStream::connect(engine).await.is_err() }).await;
    let got = ask(&d, NEVER).await;
    assert_eq!(got.json["error"]["outcome"], "not_run");
    assert!(got.retry_after.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_before_the_first_byte_is_unknown_and_not_repeated() {
    let d = deployment(1, 2).await;
    fault(&d, Fault::Reset);
    let got = ask(&d, NEVER).await;
    assert_eq!((got.status, &got.json["error"]["outcome"]), (502, &json!("unknown")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_never_called_not_run() {
    let d = deployment(1, 2).await;
    fault(&d, Fault::LoseAnswer);
    let got = ask(&d, NEVER).await;
    assert_eq!(got.json["error"]["outcome"], "unknown");
    assert_eq!(started(&d), 1, "a request that may not be repeated ran more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_a_request_that_may_be_repeated_is_asked_for_again() {
    let d = deployment(1, 2).await;
    let heads = |d: &Deployment, f: Fault| {
        d.engines
            .iter()
            .filter(|(e, _)| e.name().as_str().ends_with("0a"))
            .for_each(|(e, _)| e.fault(f));
    };
    heads(&d, Fault::LoseAnswer);
    for _ in 0..6 {
        assert_eq!(ask(&d, &[]).await.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stage_that_fails_is_said_to_have_run() {
    let d = deployment(1, 1).await;
    let node = d.nodes[0].listen;
    let task = tokio::spawn(async move {
        let ask = json!({ "model": "tickets", "prompt": "long", "max_tokens": 400 });
        desk().post(node, "/v1/completions", NEVER, ask.to_string()).await.unwrap()
    });
    wait("the request runs", || async { started(&d) == 1 }).await;
    tokio::time::sleep(LIMIT / 100).await;
    d.engines[1].0.fault(Fault::Die);
    let got = task.await.unwrap();
    assert_eq!(got.json["error"]["outcome"], "failed");
    assert_eq!(started(&d), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_loses_its_answer_is_unknown_and_called_once() {
    let d = deployment(1, 1).await;
    d.services.iter().for_each(|(s, _)| s.fault(Fault::LoseAnswer));
    let got =
        desk().post(d.nodes[0].listen, "/services/accounts/book", &[], "order 9").await.unwrap();
    assert_eq!(got.json["error"]["outcome"], "unknown");
    let times: u32 = d.services.iter().map(|(s, _)| s.booked().values().sum::<u32>()).sum();
    assert_eq!(times, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_refuses_is_passed_over() {
    let d = deployment(1, 1).await;
    d.services[0].0.fault(Fault::Refuse);
    for i in 0..6 {
        let body = format!("order {i}");
        let got =
            desk().post(d.nodes[0].listen, "/services/accounts/book", &[], body).await.unwrap();
        assert_eq!(got.status, 200);
    }
    assert_eq!(name("lookup-b"), *d.services[1].0.name());
    assert_eq!(d.services[1].0.booked().len(), 6);
}
