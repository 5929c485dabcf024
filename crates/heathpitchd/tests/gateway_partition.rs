//! Nodes that lose the way to engines while callers, the store and other nodes reach them.
//!
//! Guards against nodes that serve a call through engines that they reach themselves or not at all: in
//! cuts of twelve seconds four nodes of seven, and later two, served none of the first tries sent to
//! them, 0 of 103 and 0 of 46, while the others served 275 of 278 and 302 of 304.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod gateway;

use std::time::Duration;

use futures::future::join_all;
use gateway::partition::{CallKind, PartitionedFleet};
use heathpitch_standin::LinkMode;

/// Time from the start of a cut after which calls have to be served.
const DETECTION_TIME: Duration = Duration::from_secs(1);
/// Time for which calls are made.
const SERVING_TIME: Duration = Duration::from_millis(1_500);
/// Part of the share served elsewhere that a cut node has to serve.
const MIN_SERVED: f64 = 0.95;

/// Share of the calls of all kinds that a node serves.
async fn served_share(fleet: &PartitionedFleet, node: usize) -> f64 {
    let calls = CallKind::ALL.map(|kind| fleet.serve(node, kind, SERVING_TIME));
    let counts = join_all(calls).await;
    let (served, sent) = counts.iter().fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
    served as f64 / f64::from(sent as u32)
}

async fn assert_serves_while_cut_off(mode: LinkMode) {
    let fleet = PartitionedFleet::start(&["mem", "mem", "atl"]).await;
    fleet.cut_off(0, mode);
    tokio::time::sleep(DETECTION_TIME).await;
    let (cut, other) = tokio::join!(served_share(&fleet, 0), served_share(&fleet, 1));
    assert!(cut >= MIN_SERVED * other, "{mode:?}: {cut:.2} of the calls, elsewhere {other:.2}");
}

/// Guards against calls that are refused because this node alone cannot connect to engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_connections_to_all_engines_are_reset_serves_through_other_nodes() {
    assert_serves_while_cut_off(LinkMode::Reset).await;
}

/// Guards against calls that wait for engines whose connections hang for this node alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_connections_to_all_engines_hang_serves_through_other_nodes() {
    assert_serves_while_cut_off(LinkMode::Blackhole).await;
}

/// Guards against calls whose answers never come because one direction of the way is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_receives_nothing_from_engines_serves_through_other_nodes() {
    assert_serves_while_cut_off(LinkMode::OneWay).await;
}
