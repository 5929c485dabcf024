//! Setup shared by the tests that run nodes as processes.

#![allow(dead_code, reason = "each test file uses only some of it")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::path::Path;
use std::time::{Duration, Instant};

use heathpitch_core::Name;
use heathpitch_fakes::{
    Caller, Deployment, StreamedAnswer, reference_answer, sample_document, token_text,
};
use serde_json::Value;

/// Layers of the sample models.
pub(crate) const LAYERS: u32 = 12;
/// Timeout for a deployment to become ready and for any other awaited condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Nodes `n1`, `n2`, … in front of `replicas` complete paths of three engines, and two services.
pub(crate) async fn deployment(nodes: usize, replicas: u32) -> Deployment {
    deployment_with(nodes, replicas, |_| {}).await
}

/// Like [`deployment`], with adjusted node settings.
pub(crate) async fn deployment_with(
    nodes: usize,
    replicas: u32,
    adjust: impl Fn(&mut Value),
) -> Deployment {
    let mut d = Deployment::new(Path::new(env!("CARGO_BIN_EXE_heathpitchd"))).unwrap();
    d.add_chains(&name("tickets"), LAYERS, 3, replicas, "memphis").unwrap();
    d.add_service("lookup-a", "memphis").unwrap();
    d.add_service("lookup-b", "memphis").unwrap();
    for i in 1..=nodes {
        d.start_node(&format!("n{i}"), "memphis", &adjust).unwrap();
    }
    d.publish_vms();
    let revision = d.put_config(&sample_document(LAYERS).unwrap()).await.unwrap();
    let upstreams = d.engines.len() + d.services.len();
    assert!(
        d.wait_ready(revision, upstreams, WAIT_TIMEOUT).await,
        "the nodes did not become ready"
    );
    wait_until("the nodes know each other", || async {
        for node in &d.nodes {
            let status = node.status().await;
            if status["members"].as_array().map_or(0, Vec::len) + 1 != d.nodes.len() {
                return false;
            }
        }
        true
    })
    .await;
    d
}

pub(crate) fn name(text: &str) -> Name {
    text.parse().unwrap()
}

/// Caller of the account `memphis-desk`.
pub(crate) fn desk() -> Caller {
    Caller::new(name("memphis-desk"))
}

/// Text pieces of the expected answer.
pub(crate) fn expected_pieces(prompt: &str, wanted: u32) -> Vec<String> {
    let answer = reference_answer(&name("tickets"), &name("v1"), LAYERS, prompt, wanted);
    answer.tokens.iter().map(|t| token_text(*t)).collect()
}

/// Asserts that an answer is complete and as expected.
pub(crate) fn assert_complete(got: &StreamedAnswer, prompt: &str, wanted: u32) {
    assert_eq!(got.error, None);
    assert!(got.complete, "the answer is incomplete: {got:?}");
    assert_eq!(got.pieces, expected_pieces(prompt, wanted));
}

/// Streams an answer and calls `action` after `delay`.
pub(crate) async fn stream_while(
    d: &Deployment,
    prompt: &str,
    wanted: u32,
    delay: Duration,
    action: impl FnOnce(),
) -> StreamedAnswer {
    let node = d.nodes[0].listen;
    let sent = prompt.to_owned();
    let task =
        tokio::spawn(async move { desk().stream(node, &name("tickets"), &sent, wanted).await });
    tokio::time::sleep(delay).await;
    action();
    task.await.unwrap().unwrap()
}

/// Waits until `condition` holds.
pub(crate) async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}
