//! Engines that start again under their id, and entries that no engine wrote.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use gateway::{KEY, World, fed, status, wait};
use heathpitch_standin::{Caller, Engine, GatewayProcess, invalid_entries};
use serde_json::json;

/// Layers of the model that the engines hold.
const LAYERS: u32 = 8;

/// Layers that engines hold, one after the other, without a gap.
fn cover(engines: &[&Engine]) -> bool {
    let mut held: Vec<(u32, u32)> = engines.iter().map(|e| e.layers()).collect();
    held.sort_unstable();
    held.iter().try_fold(0, |at, (from, end)| (*from <= at).then_some(at.max(*end))) == Some(LAYERS)
}

/// What told a node of an engine's new life.
fn reborn(node: &GatewayProcess, engine: &str) -> Vec<String> {
    let events = node.events("engine_reborn");
    let own = events.iter().filter(|e| e["engine"] == engine);
    own.map(|e| e["by"].as_str().unwrap_or_default().to_owned()).collect()
}

async fn covered(engines: &[&Engine]) {
    wait("all layers are held", async || cover(engines)).await;
}

/// Waits until a node knows of an engine, and so of all that the store told before.
async fn listed(node: &GatewayProcess, engine: &Engine) {
    wait("a later entry is known", async || {
        node.events("engine_listed").iter().any(|e| e["engine"] == engine.id.as_str())
    })
    .await;
}

/// Waits until a node knows of an engine's new life, and gives what told of it.
async fn heard(node: &GatewayProcess, engine: &str) -> Vec<String> {
    wait("its new life is known", async || !reborn(node, engine).is_empty()).await;
    reborn(node, engine)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_starts_again_under_its_id_is_ordered_anew() {
    let world = World::new();
    let (a, b) = (world.engine("a", "llm"), world.engine("b", "llm"));
    let node = world.node().await;
    covered(&[&a, &b]).await;
    a.restart();
    a.register("ready");
    covered(&[&a, &b]).await;
    assert_eq!(heard(&node, "a").await, ["its entry"]);
    assert_eq!(a.last_expected_orders(), Some(0), "orders are counted anew");
}

/// Its entry may stay as it was: heartbeats change nothing else, and it was never away.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_s_own_word_ends_its_last_life_before_its_entry_does() {
    let world = World::new();
    let (a, b) = (world.engine("a", "llm"), world.engine("b", "llm"));
    let node = world.node().await;
    covered(&[&a, &b]).await;
    let old = a.entry("ready");
    a.restart();
    covered(&[&a, &b]).await;
    assert_eq!(heard(&node, "a").await, ["its own state"]);
    // An older word that arrives late is passed over.
    let held = a.layers();
    world.store.put("servers/a", &old);
    let other = world.engine("c", "api");
    listed(&node, &other).await;
    assert_eq!((reborn(&node, "a").len(), a.layers()), (1, held));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_was_leaving_and_starts_again_takes_work() {
    let world = World::new();
    let a = world.engine("a", "api");
    let node = world.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    assert_eq!(status(&caller, "/get/x").await, 200);
    a.register("draining");
    wait("it is left alone", async || status(&caller, "/get/x").await == 503).await;
    // The same life does not come back.
    a.register("ready");
    let other = world.engine("b", "one");
    listed(&node, &other).await;
    assert_eq!(status(&caller, "/get/x").await, 503);
    a.restart();
    a.register("ready");
    wait("its new life takes work", async || status(&caller, "/get/x").await == 200).await;
}

/// A first list, changes, and the list that another node tells: bad entries name no engine, and the
/// others hold.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_another_writer_name_no_engine_and_the_others_hold() {
    let world = World::new();
    let (good, bad) = (world.engine("good", "api"), world.engine("bad", "api"));
    let entries = invalid_entries(&bad.entry("ready"));
    bad.deregister();
    let put_bad = || {
        for (number, entry) in entries.iter().enumerate() {
            world.store.put(&format!("servers/bad-{number}"), entry);
        }
        world.store.put("servers/two words", &good.entry("ready"));
    };
    put_bad();
    let planner = world.start("n1", &json!({}));
    planner.wait_ready().await.unwrap();
    wait("it plans", async || !planner.events("domain_planner").is_empty()).await;
    let follower = world.start("n2", &json!({}));
    follower.wait_ready().await.unwrap();
    wait("it is told", async || fed(&follower) == Some(true)).await;
    let callers = [&planner, &follower].map(|n| Caller::new(n.listen).key(KEY));
    for caller in &callers {
        for _ in 0..10 {
            assert_eq!(status(caller, "/get/x").await, 200);
        }
    }
    // The same as changes, and one that takes the place of an engine's own.
    bad.register("ready");
    wait("both send it requests", async || {
        for caller in &callers {
            assert_eq!(status(caller, "/get/x").await, 200);
        }
        bad.requests().len() > 4
    })
    .await;
    put_bad();
    world.store.put("servers/bad", &json!({ "state": "ready" }));
    let gone =
        |node: &GatewayProcess| node.events("engine_gone").iter().any(|e| e["engine"] == "bad");
    wait("both take it off", async || gone(&planner) && gone(&follower)).await;
    let seen = bad.requests().len();
    for caller in &callers {
        for _ in 0..10 {
            assert_eq!(status(caller, "/get/x").await, 200);
        }
    }
    assert_eq!(bad.requests().len(), seen, "an engine without an entry got a request");
    assert!(!good.requests().is_empty());
}
