//! Configuration: in force everywhere, and never reverting, whatever happens to the store.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use std::time::Duration;

use common::{LAYERS, LIMIT, assert_right, deployment, desk, name, wait};
use heathpitch_core::Revision;
use heathpitch_fakes::{Deployment, PlatformFault, sample};

/// Stores a document in which the desk's weight is `weight`.
async fn change(d: &Deployment, weight: u32) -> Revision {
    let mut document = sample(LAYERS).unwrap();
    document.accounts[0].weight = weight;
    d.configure(&document).await.unwrap()
}

async fn revisions(d: &Deployment) -> Vec<u64> {
    let mut all = Vec::new();
    for node in &d.nodes {
        all.push(node.status().await["config"].as_u64().unwrap_or(0));
    }
    all
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_comes_to_every_node() {
    let d = deployment(3, 1).await;
    for weight in 5..9 {
        let revision = change(&d, weight).await;
        assert!(d.ready(revision, 1, LIMIT).await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_seen_by_one_node_comes_to_all_although_the_store_goes_down() {
    let d = deployment(3, 1).await;
    let revision = change(&d, 7).await;
    wait("one node has it", || async { revisions(&d).await.contains(&revision.0) }).await;
    d.platform.fault(PlatformFault::Down);
    assert!(d.ready(revision, 1, LIMIT).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_replaced_during_an_outage_starts_from_a_peer_and_serves() {
    let mut d = deployment(2, 1).await;
    let revision = change(&d, 7).await;
    assert!(d.ready(revision, 1, LIMIT).await);
    d.platform.fault(PlatformFault::Down);
    d.nodes[0].kill();
    d.nodes.remove(0);
    let new = d.node("n3", "memphis", |_| {}).unwrap();
    assert!(d.ready(revision, d.engines.len(), LIMIT).await);
    let node = d.nodes[new].listen;
    let got = desk().stream(node, &name("tickets"), "after the outage", 8).await.unwrap();
    assert_right(&got, "after the outage", 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stale_read_never_brings_back_an_older_revision() {
    let d = deployment(2, 1).await;
    let revision = change(&d, 7).await;
    assert!(d.ready(revision, 1, LIMIT).await);
    d.platform.fault(PlatformFault::Stale(true));
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(revisions(&d).await.iter().all(|r| *r >= revision.0));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_while_the_store_is_down_or_slow() {
    let d = deployment(1, 1).await;
    for fault in [PlatformFault::Down, PlatformFault::Slow(5_000)] {
        d.platform.fault(fault);
        tokio::time::sleep(Duration::from_millis(600)).await;
        for i in 0..4 {
            let prompt = format!("order {i}");
            let node = d.nodes[0].listen;
            let got = desk().stream(node, &name("tickets"), &prompt, 6).await.unwrap();
            assert_right(&got, &prompt, 6);
        }
    }
}
