//! Configuration changes reach every node and never revert, whatever happens to the store.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::time::Duration;

use common::{LAYERS, WAIT_TIMEOUT, assert_complete, deployment, desk, name, wait_until};
use heathpitch_core::Revision;
use heathpitch_fakes::{Deployment, PlatformFault, sample_document};

/// Stores a document that sets the weight of the first account.
async fn store_weight(d: &Deployment, weight: u32) -> Revision {
    let mut document = sample_document(LAYERS).unwrap();
    document.accounts[0].weight = weight;
    d.put_config(&document).await.unwrap()
}

async fn revisions(d: &Deployment) -> Vec<u64> {
    let mut all = Vec::new();
    for node in &d.nodes {
        all.push(node.status().await["config"].as_u64().unwrap_or(0));
    }
    all
}

#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_every_node() {
    let d = deployment(3, 1).await;
    for weight in 5..9 {
        let revision = store_weight(&d, weight).await;
        assert!(d.wait_ready(revision, 1, WAIT_TIMEOUT).await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_seen_by_one_node_reaches_all_during_store_outage() {
    let d = deployment(3, 1).await;
    let revision = store_weight(&d, 7).await;
    wait_until("one node has the revision", || async { revisions(&d).await.contains(&revision.0) })
        .await;
    d.platform.inject(PlatformFault::Unavailable);
    assert!(d.wait_ready(revision, 1, WAIT_TIMEOUT).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn node_started_during_store_outage_gets_configuration_from_peer() {
    let mut d = deployment(2, 1).await;
    let revision = store_weight(&d, 7).await;
    assert!(d.wait_ready(revision, 1, WAIT_TIMEOUT).await);
    d.platform.inject(PlatformFault::Unavailable);
    d.nodes[0].kill();
    d.nodes.remove(0);
    let new = d.start_node("n3", "memphis", |_| {}).unwrap();
    assert!(d.wait_ready(revision, d.engines.len(), WAIT_TIMEOUT).await);
    let node = d.nodes[new].listen;
    let got = desk().stream(node, &name("tickets"), "after the outage", 8).await.unwrap();
    assert_complete(&got, "after the outage", 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_read_never_restores_an_older_revision() {
    let d = deployment(2, 1).await;
    let revision = store_weight(&d, 7).await;
    assert!(d.wait_ready(revision, 1, WAIT_TIMEOUT).await);
    d.platform.inject(PlatformFault::StaleReads(true));
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(revisions(&d).await.iter().all(|r| *r >= revision.0));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_store_is_down_or_slow() {
    let d = deployment(1, 1).await;
    for fault in [PlatformFault::Unavailable, PlatformFault::Slow(5_000)] {
        d.platform.inject(fault);
        tokio::time::sleep(Duration::from_millis(600)).await;
        for i in 0..4 {
            let prompt = format!("order {i}");
            let node = d.nodes[0].listen;
            let got = desk().stream(node, &name("tickets"), &prompt, 6).await.unwrap();
            assert_complete(&got, &prompt, 6);
        }
    }
}
