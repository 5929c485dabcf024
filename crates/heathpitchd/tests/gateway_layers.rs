//! Layout of layers: initial plan and repair after the loss of an engine, by one planner at a time.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod gateway;

use gateway::{Cluster, KEY, wait_until};
use heathpitch_standin::{Behavior, Caller, Engine, GatewayProcess};
use hyper::Method;
use serde_json::json;

/// Whether these engines hold every layer.
fn hold_every_layer(engines: &[Engine]) -> bool {
    let held: Vec<_> = engines.iter().map(Engine::layers).collect();
    (0..8).all(|l| held.iter().any(|(from, end)| (*from..*end).contains(&l)))
}

fn planner(nodes: &[GatewayProcess]) -> Option<usize> {
    let is_planner =
        |n: &GatewayProcess| n.events("domain_planner").last().is_some_and(|e| e["active"] == true);
    nodes.iter().position(is_planner)
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_engines_load_every_layer_within_their_memory() {
    let cluster = Cluster::new();
    let engines: Vec<_> = (0..4).map(|i| cluster.engine(&format!("e{i}"), "llm")).collect();
    let node = cluster.node().await;
    wait_until("every layer is held", async || hold_every_layer(&engines)).await;
    for engine in &engines {
        let (from, end) = engine.layers();
        assert!(end - from <= 4, "{from}..{end}");
        engine.set_behavior(Behavior::Stream(2, std::time::Duration::from_millis(1)));
    }
    let caller = Caller::new(node.listen).key(KEY);
    wait_until("streams are served", async || {
        caller.call(Method::POST, "/tell/x", "p").await.unwrap().status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_layers_of_a_lost_engine_are_loaded_by_others() {
    let cluster = Cluster::new();
    let mut engines: Vec<_> = (0..4).map(|i| cluster.engine(&format!("e{i}"), "llm")).collect();
    let _node = cluster.node().await;
    wait_until("every layer is held", async || hold_every_layer(&engines)).await;
    let lost = engines.remove(0);
    lost.crash();
    lost.deregister();
    wait_until("every layer is held again", async || hold_every_layer(&engines)).await;
}

/// An engine's entry may outlive it, for as long as the store is unreachable or forever. An order
/// to an engine that had exited was counted as accepted, so that a layer that it was to load was on
/// no other engine, and no stream was served any more.
#[tokio::test(flavor = "multi_thread")]
async fn layers_are_not_left_to_an_unreachable_engine() {
    let cluster = Cluster::new();
    let [ended, first, second, third] = ["a", "b", "c", "d"].map(|id| cluster.engine(id, "llm"));
    ended.crash();
    first.set_layers(0, 4);
    [&second, &third].iter().for_each(|e| e.set_layers(4, 8));
    let node = cluster.node().await;
    let ordered = |e: &serde_json::Value| e["engine"] == "a";
    wait_until("the exited engine is ordered to load layers", async || {
        node.events("layers_ordered").iter().any(ordered)
    })
    .await;
    first.crash();
    first.deregister();
    wait_until("living engines hold every layer", async || {
        hold_every_layer(&[second.clone(), third.clone()])
    })
    .await;
}

/// Guards against orders that are repeated forever to an engine that is gone, while its entry remains:
/// whatever has its address by now rejects them, and its share of the layers is on no other engine.
#[tokio::test(flavor = "multi_thread")]
async fn layers_are_not_left_to_an_engine_whose_address_was_reused() {
    let cluster = Cluster::new();
    let [ended, first, second, third] = ["a", "b", "c", "d"].map(|id| cluster.engine(id, "llm"));
    ended.crash();
    // The port is free once the tasks of the engine have ended.
    wait_until("another engine has the address", async || {
        ended.spawn_successor("e").is_ok_and(|other| {
            other.deregister();
            true
        })
    })
    .await;
    first.set_layers(0, 4);
    [&second, &third].iter().for_each(|e| e.set_layers(4, 8));
    let node = cluster.node().await;
    let ordered = |e: &serde_json::Value| e["engine"] == "a";
    wait_until("the exited engine is ordered to load layers", async || {
        node.events("layers_ordered").iter().any(ordered)
    })
    .await;
    first.crash();
    first.deregister();
    wait_until("living engines hold every layer", async || {
        hold_every_layer(&[second.clone(), third.clone()])
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_node_becomes_planner_when_the_planner_exits() {
    let cluster = Cluster::new();
    let mut engines: Vec<_> = (0..4).map(|i| cluster.engine(&format!("e{i}"), "llm")).collect();
    let mut nodes = vec![cluster.start("n1", &json!({})), cluster.start("n2", &json!({}))];
    for node in &nodes {
        node.wait_ready().await.unwrap();
    }
    wait_until("one node is the planner", async || planner(&nodes).is_some()).await;
    wait_until("every layer is held", async || hold_every_layer(&engines)).await;
    let dead = nodes.remove(planner(&nodes).unwrap());
    drop(dead);
    wait_until("the other node is the planner", async || planner(&nodes).is_some()).await;
    let lost = engines.remove(0);
    lost.crash();
    lost.deregister();
    wait_until("every layer is held again", async || hold_every_layer(&engines)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn layers_that_engines_already_hold_are_not_moved() {
    let cluster = Cluster::new();
    let engines: Vec<_> = (0..3).map(|i| cluster.engine(&format!("e{i}"), "llm")).collect();
    engines[0].set_layers(0, 4);
    engines[1].set_layers(4, 8);
    engines[2].set_layers(0, 4);
    let _node = cluster.node().await;
    tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
    assert!(engines.iter().all(|e| e.orders().is_empty()));
}
