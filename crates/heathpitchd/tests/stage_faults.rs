//! Stages that die, freeze or send wrong frames while an answer is being generated.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::time::Duration;

use common::{assert_complete, deployment, desk, expected_pieces, name, stream_while};
use heathpitch_fakes::{Deployment, Fault};

const PROMPT: &str = "summarise the ticket: sell 400 at market, note says hold";
const TOKENS: u32 = 60;
/// Delay of a fault: some tokens have been sent, most have not.
const FAULT_DELAY: Duration = Duration::from_millis(150);

/// Injects a fault into the first replica of a stage.
fn fault_replica(d: &Deployment, stage: usize, fault: Fault) {
    let suffix = format!("-{stage}a");
    let of_stage = |n: &str| n.ends_with(&suffix);
    d.engines
        .iter()
        .filter(|(e, _)| of_stage(e.name().as_str()))
        .for_each(|(e, _)| e.inject(fault));
}

/// Asserts that answers are complete and correct despite a fault in one of two replicas of a stage.
async fn assert_survives(fault: Fault, stage: usize) {
    let d = deployment(1, 2).await;
    for round in 0..3 {
        let prompt = format!("{PROMPT} {round}");
        let got =
            stream_while(&d, &prompt, TOKENS, FAULT_DELAY, || fault_replica(&d, stage, fault))
                .await;
        assert_complete(&got, &prompt, TOKENS);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_head_is_replaced() {
    assert_survives(Fault::Exit, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_middle_stage_is_replaced() {
    assert_survives(Fault::Exit, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_last_stage_is_replaced() {
    assert_survives(Fault::Exit, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_head_is_replaced() {
    assert_survives(Fault::Freeze, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_middle_stage_is_replaced() {
    assert_survives(Fault::Freeze, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_resumed() {
    assert_survives(Fault::Truncate(5), 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reordered_tokens_are_never_forwarded() {
    assert_survives(Fault::Reorder, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_of_another_request_are_never_forwarded() {
    assert_survives(Fault::WrongRequest, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_stages_killed_together_are_replaced() {
    let d = deployment(1, 2).await;
    let got = stream_while(&d, PROMPT, TOKENS, FAULT_DELAY, || {
        fault_replica(&d, 0, Fault::Exit);
        fault_replica(&d, 2, Fault::Exit);
    })
    .await;
    assert_complete(&got, PROMPT, TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_without_remaining_stage_ends_in_an_error() {
    let d = deployment(1, 1).await;
    let got =
        stream_while(&d, PROMPT, TOKENS, FAULT_DELAY, || fault_replica(&d, 1, Fault::Exit)).await;
    assert!(!got.complete);
    assert_eq!(got.error.unwrap()["error"]["outcome"], "failed");
    let expected = expected_pieces(PROMPT, TOKENS);
    assert_eq!(got.pieces, expected[..got.pieces.len()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn frames_of_a_resumed_stage_are_not_forwarded() {
    let d = deployment(1, 2).await;
    let node = d.nodes[0].listen;
    let task = tokio::spawn(async move {
        desk().stream(node, &name("tickets"), PROMPT, TOKENS).await.unwrap()
    });
    tokio::time::sleep(FAULT_DELAY).await;
    fault_replica(&d, 0, Fault::Freeze);
    fault_replica(&d, 1, Fault::Freeze);
    tokio::time::sleep(Duration::from_millis(700)).await;
    fault_replica(&d, 0, Fault::Thaw);
    fault_replica(&d, 1, Fault::Thaw);
    assert_complete(&task.await.unwrap(), PROMPT, TOKENS);
}

/// While no live path is available, a request searches for one, but not beyond its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn path_search_ends_at_the_deadline() {
    let d = deployment(1, 1).await;
    let node = d.nodes[0].listen;
    let task = tokio::spawn(async move {
        let request =
            serde_json::json!({ "model": "tickets", "prompt": PROMPT, "max_tokens": 400 });
        let headers = [("x-heathpitch-deadline-ms", "1200")];
        desk().post(node, "/v1/completions", &headers, request.to_string()).await.unwrap()
    });
    tokio::time::sleep(FAULT_DELAY).await;
    fault_replica(&d, 1, Fault::Freeze);
    let got = task.await.unwrap();
    assert_eq!(got.json["error"]["kind"], "expired", "{got:?}");
    assert_eq!(got.json["error"]["outcome"], "failed");
}
