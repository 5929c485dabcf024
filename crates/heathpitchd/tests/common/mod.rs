//! Set-up that the process tests share.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a set-up that fails fails its test")]

use std::path::Path;
use std::time::{Duration, Instant};

use heathpitch_core::Name;
use heathpitch_fakes::{Answer, Caller, Deployment, answer, piece, sample};
use serde_json::Value;

/// Layers of the sample models.
pub(crate) const LAYERS: u32 = 12;
/// Time in which a deployment must become ready, and anything else must happen.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);

/// Nodes `n1`, `n2`, … before `replicas` whole paths of three engines and two services.
pub(crate) async fn deployment(nodes: usize, replicas: u32) -> Deployment {
    deployment_with(nodes, replicas, |_| {}).await
}

/// The same, with the nodes' settings adjusted.
pub(crate) async fn deployment_with(
    nodes: usize,
    replicas: u32,
    adjust: impl Fn(&mut Value),
) -> Deployment {
    let mut d = Deployment::open(Path::new(env!("CARGO_BIN_EXE_heathpitchd"))).unwrap();
    d.engines(&name("tickets"), LAYERS, 3, replicas, "memphis").unwrap();
    d.service("lookup-a", "memphis").unwrap();
    d.service("lookup-b", "memphis").unwrap();
    for i in 1..=nodes {
        d.node(&format!("n{i}"), "memphis", &adjust).unwrap();
    }
    d.list();
    let revision = d.configure(&sample(LAYERS).unwrap()).await.unwrap();
    let upstreams = d.engines.len() + d.services.len();
    assert!(d.ready(revision, upstreams, LIMIT).await, "the nodes did not become ready");
    wait("the nodes know each other", || async {
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

/// A name.
pub(crate) fn name(text: &str) -> Name {
    text.parse().unwrap()
}

/// The desk's caller.
pub(crate) fn desk() -> Caller {
    Caller::new(name("memphis-desk"))
}

/// Text of the right answer.
pub(crate) fn right(prompt: &str, wanted: u32) -> Vec<String> {
    let right = answer(&name("tickets"), &name("v1"), LAYERS, prompt, wanted);
    right.tokens.iter().map(|t| piece(*t)).collect()
}

/// Checks that an answer is whole and the right one.
pub(crate) fn assert_right(got: &Answer, prompt: &str, wanted: u32) {
    assert_eq!(got.error, None);
    assert!(got.whole, "the answer has no end: {got:?}");
    assert_eq!(got.pieces, right(prompt, wanted));
}

/// Streams an answer while `meanwhile` happens after `delay`.
pub(crate) async fn stream_while(
    d: &Deployment,
    prompt: &str,
    wanted: u32,
    delay: Duration,
    meanwhile: impl FnOnce(),
) -> Answer {
    let node = d.nodes[0].listen;
    let asked = prompt.to_owned();
    let task =
        tokio::spawn(async move { desk().stream(node, &name("tickets"), &asked, wanted).await });
    tokio::time::sleep(delay).await;
    meanwhile();
    task.await.unwrap().unwrap()
}

/// Waits until `holds`.
pub(crate) async fn wait<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let end = Instant::now() + LIMIT;
    while !holds().await {
        assert!(Instant::now() < end, "it never came to this: {what}");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}
