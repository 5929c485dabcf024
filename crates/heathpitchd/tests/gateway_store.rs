//! The store: adoption of changes, proofs of freshness, outages, draining engines.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::Duration;

use gateway::{Cluster, KEY, KEY_2, status, wait_until};
use heathpitch_standin::{CONFIG_KEY, Caller, GatewayProcess, RouteSpec, StoreMode};
use serde_json::json;

/// Makes the store available or unavailable, and waits until the node has noticed.
async fn set_store_up(cluster: &Cluster, node: &GatewayProcess, up: bool) {
    cluster.store.set_mode(if up { StoreMode::Up } else { StoreMode::Unavailable });
    wait_until("the node notices", async || {
        node.events("store_reachable").iter().any(|e| e["reachable"] == up)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn new_configuration_replaces_old_one_for_good() {
    let mut cluster = Cluster::new();
    cluster.engine("a", "api");
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    assert_eq!(status(&caller, "/added/x").await, 404);
    cluster.config.version = 9;
    cluster.config.routes.push(RouteSpec::idempotent("/added/", "api"));
    cluster.configure();
    wait_until("the route is served", async || status(&caller, "/added/x").await == 200).await;
    cluster.store.compact();
    cluster.config.version = 11;
    cluster.config.routes.pop();
    cluster.configure();
    wait_until("the route is gone", async || status(&caller, "/added/x").await == 404).await;
    let versions = || -> Vec<_> {
        node.events("config_adopted").iter().map(|e| e["version"].clone()).collect()
    };
    wait_until("the last version is logged", async || versions().len() >= 3).await;
    assert_eq!(versions(), [json!(3), json!(9), json!(11)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_configuration_leaves_previous_in_force() {
    let cluster = Cluster::new();
    cluster.engine("a", "api");
    let node = cluster.node().await;
    cluster.store.put_config(&json!({ "version": 12, "routes": [{ "name": "r" }] }));
    wait_until("it is rejected", async || !node.events("config_rejected").is_empty()).await;
    let error = node.events("config_rejected")[0]["error"].as_str().unwrap().to_owned();
    assert!(error.starts_with(CONFIG_KEY) && error.contains("routes[0]"), "{error}");
    assert_eq!(status(&Caller::new(node.listen).key(KEY), "/get/x").await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn removed_key_is_refused() {
    let mut cluster = Cluster::new();
    cluster.engine("a", "api");
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY_2);
    assert_eq!(status(&caller, "/get/x").await, 200);
    cluster.config.version = 4;
    cluster.config.tenants[0].1.pop();
    cluster.configure();
    wait_until("the key is refused", async || status(&caller, "/get/x").await == 401).await;
    assert_eq!(status(&Caller::new(node.listen).key(KEY), "/get/x").await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_need_a_fresh_proof() {
    for mode in [StoreMode::Hang, StoreMode::Unavailable] {
        let cluster = Cluster::new();
        let engine = cluster.engine("a", "api");
        let node = cluster.node_with(&json!({ "revoke_ms": 2_500 })).await;
        let caller = Caller::new(node.listen).key(KEY);
        assert_eq!(status(&caller, "/get/x").await, 200);
        cluster.store.set_mode(mode);
        wait_until("calls with keys get 503", async || status(&caller, "/get/x").await == 503)
            .await;
        let before = engine.requests().len();
        assert_eq!(status(&caller, "/get/x").await, 503);
        assert_eq!(engine.requests().len(), before);
        // Routes without keys are served; an unknown route gets 503 rather than a denial.
        assert_eq!(status(&Caller::new(node.listen), "/open/x").await, 200);
        assert_eq!(status(&caller, "/nowhere/x").await, 503);
        cluster.store.set_mode(StoreMode::Up);
        wait_until("keys are accepted again", async || status(&caller, "/get/x").await == 200)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_engine_gets_no_new_work() {
    let cluster = Cluster::new();
    let (a, b) = (cluster.engine("a", "api"), cluster.engine("b", "api"));
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    a.register("draining");
    wait_until("the node knows that it drains", async || {
        node.events("engine_listed").iter().any(|e| e["engine"] == "a" && e["leaving"] == true)
    })
    .await;
    let before = a.requests().len();
    // Draining holds for the incarnation, whatever its entry states later.
    a.register("ready");
    for _ in 0..12 {
        assert_eq!(status(&caller, "/get/x").await, 200);
    }
    assert_eq!(a.requests().len(), before);
    assert!(b.requests().len() >= 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_unlisted_after_outage_is_removed_in_time() {
    let cluster = Cluster::new();
    let engines: Vec<_> = (0..6).map(|i| cluster.engine(&format!("e{i}"), "api")).collect();
    let node = cluster.node().await;
    set_store_up(&cluster, &node, false).await;
    set_store_up(&cluster, &node, true).await;
    engines[0].deregister();
    wait_until("the engine is removed", async || {
        node.events("engine_gone").iter().any(|e| e["engine"] == "e0")
    })
    .await;
    let gone = node.events("engine_gone").into_iter().find(|e| e["engine"] == "e0").unwrap();
    let back = node.events("store_reachable").into_iter().find(|e| e["reachable"] == true).unwrap();
    let took = gone["at"].as_u64().unwrap() - back["at"].as_u64().unwrap();
    assert!(took < 2_000, "{took} ms after the store's return");
}

#[tokio::test(flavor = "multi_thread")]
async fn lapsed_entries_are_kept_after_outage() {
    let cluster = Cluster::new();
    let engines: Vec<_> = (0..4).map(|i| cluster.engine(&format!("e{i}"), "api")).collect();
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    set_store_up(&cluster, &node, false).await;
    engines.iter().for_each(|e| e.deregister());
    set_store_up(&cluster, &node, true).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(status(&caller, "/get/x").await, 200);
    engines[..3].iter().for_each(|e| e.register("ready"));
    wait_until("the engine that stays unlisted is removed", async || {
        node.events("engine_gone").iter().any(|e| e["engine"] == "e3")
    })
    .await;
    assert_eq!(node.events("engine_gone").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_responses_leave_one_planner() {
    let cluster = Cluster::new();
    cluster.engine("a", "api");
    cluster.store.set_mode(StoreMode::LoseWriteResponses);
    let first = cluster.start("n1", &json!({}));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    cluster.store.set_mode(StoreMode::Up);
    first.wait_ready().await.unwrap();
    let second = cluster.start("n2", &json!({}));
    second.wait_ready().await.unwrap();
    let planners = async || {
        let active = |n: &GatewayProcess| {
            n.events("domain_planner").last().is_some_and(|e| e["active"] == true)
        };
        usize::from(active(&first)) + usize::from(active(&second))
    };
    wait_until("one node is planner", async || planners().await == 1).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(planners().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_missing_briefly_after_outage_is_kept() {
    let cluster = Cluster::new();
    let engines: Vec<_> = (0..6).map(|i| cluster.engine(&format!("e{i}"), "api")).collect();
    let node = cluster.node().await;
    set_store_up(&cluster, &node, false).await;
    set_store_up(&cluster, &node, true).await;
    engines[0].deregister();
    tokio::time::sleep(Duration::from_millis(500)).await;
    engines[0].register("ready");
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert_eq!(node.events("engine_gone"), Vec::<serde_json::Value>::new());
}
