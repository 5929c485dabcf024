//! The store: changes in force, proofs of freshness, outages, engines that leave.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::Duration;

use gateway::{KEY, KEY_2, World, status, wait};
use heathpitch_standin::{CONFIG_KEY, Caller, GatewayProcess, RouteSpec, StoreMode};
use serde_json::json;

/// Takes the store away, or brings it back, and waits until the node knows.
async fn store_goes(world: &World, node: &GatewayProcess, up: bool) {
    world.store.set_mode(if up { StoreMode::Up } else { StoreMode::Unavailable });
    wait("the node knows of the store", async || {
        node.events("store_reachable").iter().any(|e| e["reachable"] == up)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_is_in_force_soon_and_an_old_one_never_again() {
    let mut world = World::new();
    world.engine("a", "api");
    let node = world.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    assert_eq!(status(&caller, "/added/x").await, 404);
    world.site.version = 9;
    world.site.routes.push(RouteSpec::idempotent("/added/", "api"));
    world.configure();
    wait("the route is served", async || status(&caller, "/added/x").await == 200).await;
    world.store.compact();
    world.site.version = 11;
    world.site.routes.pop();
    world.configure();
    wait("the route is gone", async || status(&caller, "/added/x").await == 404).await;
    let versions = || -> Vec<_> {
        node.events("config_adopted").iter().map(|e| e["version"].clone()).collect()
    };
    wait("the log tells the last one", async || versions().len() >= 3).await;
    assert_eq!(versions(), [json!(3), json!(9), json!(11)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_read_leaves_the_one_before_in_force() {
    let world = World::new();
    world.engine("a", "api");
    let node = world.node().await;
    world.store.put_config(&json!({ "version": 12, "routes": [{ "name": "r" }] }));
    wait("it is rejected", async || !node.events("config_rejected").is_empty()).await;
    let error = node.events("config_rejected")[0]["error"].as_str().unwrap().to_owned();
    assert!(error.starts_with(CONFIG_KEY) && error.contains("routes[0]"), "{error}");
    assert_eq!(status(&Caller::new(node.listen).key(KEY), "/get/x").await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_was_taken_away_works_no_longer() {
    let mut world = World::new();
    world.engine("a", "api");
    let node = world.node().await;
    let caller = Caller::new(node.listen).key(KEY_2);
    assert_eq!(status(&caller, "/get/x").await, 200);
    world.site.version = 4;
    world.site.tenants[0].1.pop();
    world.configure();
    wait("the key is refused", async || status(&caller, "/get/x").await == 401).await;
    assert_eq!(status(&Caller::new(node.listen).key(KEY), "/get/x").await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_fresh_proof_no_key_is_believed() {
    for mode in [StoreMode::Hang, StoreMode::Unavailable] {
        let world = World::new();
        let engine = world.engine("a", "api");
        let node = world.node_with(&json!({ "revoke_ms": 2_500 })).await;
        let caller = Caller::new(node.listen).key(KEY);
        assert_eq!(status(&caller, "/get/x").await, 200);
        world.store.set_mode(mode);
        wait("keys are put off", async || status(&caller, "/get/x").await == 503).await;
        let before = engine.requests().len();
        assert_eq!(status(&caller, "/get/x").await, 503);
        assert_eq!(engine.requests().len(), before);
        // What needs no key is served on, and what is not known is put off, not denied.
        assert_eq!(status(&Caller::new(node.listen), "/open/x").await, 200);
        assert_eq!(status(&caller, "/nowhere/x").await, 503);
        world.store.set_mode(StoreMode::Up);
        wait("keys are believed again", async || status(&caller, "/get/x").await == 200).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_leaves_gets_no_new_work() {
    let world = World::new();
    let (a, b) = (world.engine("a", "api"), world.engine("b", "api"));
    let node = world.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    a.register("draining");
    wait("the node knows that it leaves", async || {
        node.events("engine_listed").iter().any(|e| e["engine"] == "a" && e["leaving"] == true)
    })
    .await;
    let before = a.requests().len();
    // Its word binds it, whatever its entry says later.
    a.register("ready");
    for _ in 0..12 {
        assert_eq!(status(&caller, "/get/x").await, 200);
    }
    assert_eq!(a.requests().len(), before);
    assert!(b.requests().len() >= 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_goes_just_after_an_outage_gets_no_new_work() {
    let world = World::new();
    let engines: Vec<_> = (0..6).map(|i| world.engine(&format!("e{i}"), "api")).collect();
    let node = world.node().await;
    store_goes(&world, &node, false).await;
    store_goes(&world, &node, true).await;
    engines[0].deregister();
    wait("the engine is off the list", async || {
        node.events("engine_gone").iter().any(|e| e["engine"] == "e0")
    })
    .await;
    let gone = node.events("engine_gone").into_iter().find(|e| e["engine"] == "e0").unwrap();
    let back = node.events("store_reachable").into_iter().find(|e| e["reachable"] == true).unwrap();
    let took = gone["at"].as_u64().unwrap() - back["at"].as_u64().unwrap();
    assert!(took < 2_000, "{took} ms after the store's return");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_lapsed_in_an_outage_is_kept_until_it_is_back() {
    let world = World::new();
    let engines: Vec<_> = (0..4).map(|i| world.engine(&format!("e{i}"), "api")).collect();
    let node = world.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    store_goes(&world, &node, false).await;
    engines.iter().for_each(|e| e.deregister());
    store_goes(&world, &node, true).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(status(&caller, "/get/x").await, 200);
    engines[..3].iter().for_each(|e| e.register("ready"));
    wait("what stays away is gone", async || {
        node.events("engine_gone").iter().any(|e| e["engine"] == "e3")
    })
    .await;
    assert_eq!(node.events("engine_gone").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_store_leaves_one_planner() {
    let world = World::new();
    world.engine("a", "api");
    world.store.set_mode(StoreMode::LoseWriteResponses);
    let first = world.start("n1", &json!({}));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    world.store.set_mode(StoreMode::Up);
    first.wait_ready().await.unwrap();
    let second = world.start("n2", &json!({}));
    second.wait_ready().await.unwrap();
    let plans = async || {
        let active = |n: &GatewayProcess| {
            n.events("domain_planner").last().is_some_and(|e| e["active"] == true)
        };
        usize::from(active(&first)) + usize::from(active(&second))
    };
    wait("one node plans", async || plans().await == 1).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(plans().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_comes_back_soon_after_an_outage_was_never_gone() {
    let world = World::new();
    let engines: Vec<_> = (0..6).map(|i| world.engine(&format!("e{i}"), "api")).collect();
    let node = world.node().await;
    store_goes(&world, &node, false).await;
    store_goes(&world, &node, true).await;
    engines[0].deregister();
    tokio::time::sleep(Duration::from_millis(500)).await;
    engines[0].register("ready");
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert_eq!(node.events("engine_gone"), Vec::<serde_json::Value>::new());
}
