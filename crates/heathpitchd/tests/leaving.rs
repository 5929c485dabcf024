//! Leaving VMs and planned stops: no new work, and no request in flight cut off.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use std::time::Duration;

use common::{assert_right, deployment, deployment_with, desk, name, stream_while, wait};
use heathpitch_core::VmState;
use heathpitch_fakes::{Deployment, Fault, PlatformFault};

const PROMPT: &str = "write the triage summary of incident 77";
const TOKENS: u32 = 80;
const MIDDLE: Duration = Duration::from_millis(120);

async fn standing(d: &Deployment, upstream: &str) -> String {
    let status = d.nodes[0].status().await;
    let list = status["upstreams"].as_array().cloned().unwrap_or_default();
    let found = list.iter().find(|u| u["name"] == upstream);
    found.and_then(|u| u["standing"].as_str()).unwrap_or("absent").to_owned()
}

fn started(d: &Deployment, engine: usize) -> u64 {
    d.engines[engine].0.counts().0
}

/// The engine `memphis-tickets-0a` takes no new work once `leave` was done and noticed.
async fn gets_no_new_work(d: &Deployment) {
    wait("the engine is known to leave", || async {
        standing(d, "memphis-tickets-0a").await == "leaving"
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = started(d, 0);
    for i in 0..8 {
        let prompt = format!("{PROMPT} {i}");
        let got = desk().stream(d.nodes[0].listen, &name("tickets"), &prompt, 4).await.unwrap();
        assert_right(&got, &prompt, 4);
    }
    assert_eq!(started(d, 0), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_says_it_leaves_gets_no_new_work() {
    let d = deployment(1, 2).await;
    d.platform.fault(PlatformFault::Down);
    d.engines[0].0.fault(Fault::Leave);
    gets_no_new_work(&d).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_listed_as_leaving_gets_no_new_work() {
    let mut d = deployment(1, 2).await;
    d.engines[0].1.state = VmState::Leaving;
    d.list();
    gets_no_new_work(&d).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_finishes_what_it_runs() {
    let d = deployment(1, 2).await;
    let got = stream_while(&d, PROMPT, TOKENS, MIDDLE, || {
        d.engines.iter().take(3).for_each(|(e, _)| e.fault(Fault::Leave));
    })
    .await;
    assert_right(&got, PROMPT, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_finishes_what_it_runs() {
    let mut d = deployment(1, 1).await;
    let got = stream_while(&d, PROMPT, TOKENS, MIDDLE, || {
        d.nodes[0].signal("TERM").unwrap();
    })
    .await;
    assert_right(&got, PROMPT, TOKENS);
    assert_eq!(d.nodes[0].wait().unwrap(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_goes_on_accepting_until_the_balancer_has_noticed() {
    let d = deployment_with(1, 1, |s| s["timing"]["notice_ms"] = 1_500.into()).await;
    d.nodes[0].signal("TERM").unwrap();
    wait("the node says it drains", || async { d.nodes[0].status().await["draining"] == true })
        .await;
    let ready = desk().post(d.nodes[0].admin, "/readyz", &[], "").await.unwrap();
    assert_ne!(ready.status, 200);
    let got = desk().stream(d.nodes[0].listen, &name("tickets"), PROMPT, 8).await.unwrap();
    assert_right(&got, PROMPT, 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_and_a_stage_stopped_at_once_cut_off_nothing() {
    let mut d = deployment(2, 2).await;
    let got = stream_while(&d, PROMPT, TOKENS, MIDDLE, || {
        d.nodes[0].signal("TERM").unwrap();
        d.engines[1].0.fault(Fault::Leave);
    })
    .await;
    assert_right(&got, PROMPT, TOKENS);
    assert_eq!(d.nodes[0].wait().unwrap(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_stopped_in_the_middle_of_a_resume_cuts_off_nothing() {
    let mut d = deployment(1, 2).await;
    let got = stream_while(&d, PROMPT, TOKENS, MIDDLE, || {
        d.engines[0].0.fault(Fault::Die);
        d.engines[4].0.fault(Fault::Freeze);
        d.nodes[0].signal("TERM").unwrap();
    })
    .await;
    assert_right(&got, PROMPT, TOKENS);
    assert_eq!(d.nodes[0].wait().unwrap(), Some(0));
}
