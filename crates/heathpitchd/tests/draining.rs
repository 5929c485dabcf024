//! Draining engines and planned stops: no new requests, and no open request is cut off.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::time::Duration;

use common::{assert_complete, deployment, deployment_with, desk, name, stream_while, wait_until};
use heathpitch_core::VmState;
use heathpitch_fakes::{Deployment, Fault, PlatformFault};

const PROMPT: &str = "write the triage summary of incident 77";
const TOKENS: u32 = 80;
const FAULT_DELAY: Duration = Duration::from_millis(120);

async fn status_of(d: &Deployment, upstream: &str) -> String {
    let status = d.nodes[0].status().await;
    let list = status["upstreams"].as_array().cloned().unwrap_or_default();
    let found = list.iter().find(|u| u["name"] == upstream);
    found.and_then(|u| u["standing"].as_str()).unwrap_or("absent").to_owned()
}

fn started_count(d: &Deployment, engine: usize) -> u64 {
    d.engines[engine].0.request_counts().0
}

/// Asserts that the engine `memphis-tickets-0a` gets no new requests once it is known to leave.
async fn assert_no_new_requests(d: &Deployment) {
    wait_until("the engine is reported as leaving", || async {
        status_of(d, "memphis-tickets-0a").await == "leaving"
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = started_count(d, 0);
    for i in 0..8 {
        let prompt = format!("{PROMPT} {i}");
        let got = desk().stream(d.nodes[0].listen, &name("tickets"), &prompt, 4).await.unwrap();
        assert_complete(&got, &prompt, 4);
    }
    assert_eq!(started_count(d, 0), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_reports_draining_gets_no_new_requests() {
    let d = deployment(1, 2).await;
    d.platform.inject(PlatformFault::Unavailable);
    d.engines[0].0.inject(Fault::Drain);
    assert_no_new_requests(&d).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_listed_as_leaving_gets_no_new_requests() {
    let mut d = deployment(1, 2).await;
    d.engines[0].1.state = VmState::Leaving;
    d.publish_vms();
    assert_no_new_requests(&d).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_engine_finishes_open_requests() {
    let d = deployment(1, 2).await;
    let got = stream_while(&d, PROMPT, TOKENS, FAULT_DELAY, || {
        d.engines.iter().take(3).for_each(|(e, _)| e.inject(Fault::Drain));
    })
    .await;
    assert_complete(&got, PROMPT, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_node_finishes_open_requests() {
    let mut d = deployment(1, 1).await;
    let got = stream_while(&d, PROMPT, TOKENS, FAULT_DELAY, || {
        d.nodes[0].signal("TERM").unwrap();
    })
    .await;
    assert_complete(&got, PROMPT, TOKENS);
    assert_eq!(d.nodes[0].wait_exit().unwrap(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_node_accepts_requests_for_the_notice_time() {
    let d = deployment_with(1, 1, |s| s["timing"]["notice_ms"] = 1_500.into()).await;
    d.nodes[0].signal("TERM").unwrap();
    wait_until("the node reports draining", || async {
        d.nodes[0].status().await["draining"] == true
    })
    .await;
    let ready = desk().post(d.nodes[0].admin, "/readyz", &[], "").await.unwrap();
    assert_ne!(ready.status, 200);
    let got = desk().stream(d.nodes[0].listen, &name("tickets"), PROMPT, 8).await.unwrap();
    assert_complete(&got, PROMPT, 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn node_and_stage_stopped_together_cut_off_nothing() {
    let mut d = deployment(2, 2).await;
    let got = stream_while(&d, PROMPT, TOKENS, FAULT_DELAY, || {
        d.nodes[0].signal("TERM").unwrap();
        d.engines[1].0.inject(Fault::Drain);
    })
    .await;
    assert_complete(&got, PROMPT, TOKENS);
    assert_eq!(d.nodes[0].wait_exit().unwrap(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn node_stopped_during_a_resume_cuts_off_nothing() {
    let mut d = deployment(1, 2).await;
    let got = stream_while(&d, PROMPT, TOKENS, FAULT_DELAY, || {
        d.engines[0].0.inject(Fault::Exit);
        d.engines[4].0.inject(Fault::Freeze);
        d.nodes[0].signal("TERM").unwrap();
    })
    .await;
    assert_complete(&got, PROMPT, TOKENS);
    assert_eq!(d.nodes[0].wait_exit().unwrap(), Some(0));
}
