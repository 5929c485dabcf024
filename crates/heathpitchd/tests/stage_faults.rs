//! Stages that die, freeze, slow down or answer wrongly in the middle of an answer.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use std::time::Duration;

use common::{assert_right, deployment, desk, name, right, stream_while};
use heathpitch_fakes::{Deployment, Fault};

const PROMPT: &str = "summarise the ticket: sell 400 at market, note says hold";
const TOKENS: u32 = 60;
/// Time after which a fault comes: some tokens are out, most are not.
const MIDDLE: Duration = Duration::from_millis(150);

/// Engines that are running something now.
fn fault_all(d: &Deployment, stage: usize, fault: Fault) {
    let suffix = format!("-{stage}a");
    let of_stage = |n: &str| n.ends_with(&suffix);
    d.engines.iter().filter(|(e, _)| of_stage(e.name().as_str())).for_each(|(e, _)| e.fault(fault));
}

/// A fault in one of two replicas of each stage: the answer is right and whole all the same.
async fn survives(fault: Fault, stage: usize) {
    let d = deployment(1, 2).await;
    for round in 0..3 {
        let prompt = format!("{PROMPT} {round}");
        let got = stream_while(&d, &prompt, TOKENS, MIDDLE, || fault_all(&d, stage, fault)).await;
        assert_right(&got, &prompt, TOKENS);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_head_is_replaced() {
    survives(Fault::Die, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_middle_stage_is_replaced() {
    survives(Fault::Die, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_last_stage_is_replaced() {
    survives(Fault::Die, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_head_is_replaced() {
    survives(Fault::Freeze, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_middle_stage_is_replaced() {
    survives(Fault::Freeze, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_short_is_continued() {
    survives(Fault::CutShort(5), 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reordered_tokens_are_never_passed_on() {
    survives(Fault::Reorder, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_requests_tokens_are_never_passed_on() {
    survives(Fault::Cross, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_stages_killed_at_once_are_replaced() {
    let d = deployment(1, 2).await;
    let got = stream_while(&d, PROMPT, TOKENS, MIDDLE, || {
        fault_all(&d, 0, Fault::Die);
        fault_all(&d, 2, Fault::Die);
    })
    .await;
    assert_right(&got, PROMPT, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_no_stage_left_the_answer_ends_in_an_error_and_never_cleanly() {
    let d = deployment(1, 1).await;
    let got = stream_while(&d, PROMPT, TOKENS, MIDDLE, || fault_all(&d, 1, Fault::Die)).await;
    assert!(!got.whole);
    assert_eq!(got.error.unwrap()["error"]["outcome"], "failed");
    let right = right(PROMPT, TOKENS);
    assert_eq!(got.pieces, right[..got.pieces.len()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stage_that_thaws_sends_nothing_more_to_the_caller() {
    let d = deployment(1, 2).await;
    let node = d.nodes[0].listen;
    let task = tokio::spawn(async move {
        desk().stream(node, &name("tickets"), PROMPT, TOKENS).await.unwrap()
    });
    tokio::time::sleep(MIDDLE).await;
    fault_all(&d, 0, Fault::Freeze);
    fault_all(&d, 1, Fault::Freeze);
    tokio::time::sleep(Duration::from_millis(700)).await;
    fault_all(&d, 0, Fault::Thaw);
    fault_all(&d, 1, Fault::Thaw);
    assert_right(&task.await.unwrap(), PROMPT, TOKENS);
}

/// While no living path is to be had, a request looks for one, but never beyond its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn the_search_for_a_path_ends_at_the_deadline() {
    let d = deployment(1, 1).await;
    let node = d.nodes[0].listen;
    let task = tokio::spawn(async move {
        let ask = serde_json::json!({ "model": "tickets", "prompt": PROMPT, "max_tokens": 400 });
        let headers = [("x-heathpitch-deadline-ms", "1200")];
        desk().post(node, "/v1/completions", &headers, ask.to_string()).await.unwrap()
    });
    tokio::time::sleep(MIDDLE).await;
    fault_all(&d, 1, Fault::Freeze);
    let got = task.await.unwrap();
    assert_eq!(got.json["error"]["kind"], "expired", "{got:?}");
    assert_eq!(got.json["error"]["outcome"], "failed");
}
