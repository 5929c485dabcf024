//! A store that comes back from a copy some seconds old: what was written since is gone, and its revisions are
//! given out again.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{KEY, KEY_2, World, status, wait};
use heathpitch_standin::{Caller, GatewayProcess, RouteSpec, Store};
use hyper::Method;

/// Time in which a configuration has to be in force, and leaving engines left, as agreed.
const AGREED: Duration = Duration::from_millis(2_000);
/// Changes of others since the copy, so that the store's revision is again what it was.
const GROWN: u64 = 200;

fn caller(node: &GatewayProcess, key: &str) -> Caller {
    Caller::new(node.listen).key(key)
}

/// Writes the configuration with one route more.
fn add_route(world: &mut World, prefix: &str) {
    world.site.routes.push(RouteSpec::idempotent(prefix, "api"));
    world.site.version += 1;
    world.configure();
}

async fn in_force(node: &GatewayProcess, target: &str) {
    wait("the route is in force", async || status(&caller(node, KEY), target).await == 200).await;
}

/// Its revision is lower than that of the one in force, which is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_is_written_after_a_return_is_in_force_in_time() {
    let mut world = World::new();
    world.engine("a", "api");
    let node = world.node().await;
    world.store.take_snapshot();
    (0..GROWN).for_each(|i| world.store.put_bytes(&format!("other/{i}"), b""));
    add_route(&mut world, "/lost/");
    in_force(&node, "/lost/x").await;
    world.store.restore_snapshot(&[], 0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&caller(&node, KEY), "/lost/x").await, 200, "it does not go back");
    world.configure();
    add_route(&mut world, "/next/");
    let written = Instant::now();
    in_force(&node, "/next/x").await;
    assert!(written.elapsed() < AGREED, "{:?}", written.elapsed());
    assert_eq!(status(&caller(&node, KEY), "/lost/x").await, 200);
}

/// Revisions have grown past those that watches go on from, so that none of them is refused.
#[tokio::test(flavor = "multi_thread")]
async fn changes_that_another_history_hides_are_heard_in_time() {
    let mut world = World::new();
    let (leaving, _other) = (world.engine("a", "api"), world.engine("b", "api"));
    let node = world.node().await;
    world.store.take_snapshot();
    (0..GROWN / 2).for_each(|i| world.store.put_bytes(&format!("other/{i}"), b""));
    tokio::time::sleep(Duration::from_millis(700)).await;
    world.site.routes.push(RouteSpec::idempotent("/next/", "api"));
    world.site.version += 1;
    let config = Store::config_entry(&world.site.json());
    world.store.restore_snapshot(&[leaving.key_and_entry("draining"), config], GROWN);
    let written = Instant::now();
    in_force(&node, "/next/x").await;
    assert!(written.elapsed() < AGREED, "{:?}", written.elapsed());
    tokio::time::sleep(AGREED.saturating_sub(written.elapsed())).await;
    let came = leaving.requests().len();
    for _ in 0..20 {
        assert_eq!(status(&caller(&node, KEY), "/get/x").await, 200);
    }
    assert_eq!(leaving.requests().len(), came);
}

/// It left, and ended, after the copy was made; so its entry is back, and says that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_left_is_not_taken_back_with_its_entry() {
    let world = World::new();
    let engines = ["says-so", "goes", "other"].map(|id| world.engine(id, "api"));
    let [says_so, goes, _] = &engines;
    let node = world.node().await;
    world.store.take_snapshot();
    (0..GROWN).for_each(|i| world.store.put_bytes(&format!("other/{i}"), b""));
    says_so.register("draining");
    goes.deregister();
    let known = async |event: &str, id: &str| {
        wait("it is known", async || node.events(event).iter().any(|e| e["engine"] == id)).await;
    };
    known("engine_gone", "goes").await;
    says_so.deregister();
    known("engine_gone", "says-so").await;
    let came = says_so.requests().len() + goes.requests().len();
    world.store.restore_snapshot(&[], 0);
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(3_000) {
        assert_eq!(status(&caller(&node, KEY), "/get/x").await, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(says_so.requests().len() + goes.requests().len(), came);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_taken_away_stays_taken_away_also_at_a_node_that_begins() {
    let mut world = World::new();
    world.engine("a", "api");
    let (planner, _link, follower) = world.planner_and_follower().await;
    world.store.take_snapshot();
    (0..GROWN).for_each(|i| world.store.put_bytes(&format!("other/{i}"), b""));
    world.site.tenants[0].1.retain(|key| key != KEY_2);
    world.site.version += 1;
    world.configure();
    for node in [&planner, &follower] {
        wait("it is taken away", async || status(&caller(node, KEY_2), "/get/x").await == 401)
            .await;
    }
    world.store.restore_snapshot(&[], GROWN / 4);
    let begun = world.start("n3", &serde_json::json!({}));
    begun.wait_ready().await.unwrap();
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(4_000) {
        for node in [&planner, &follower] {
            assert_ne!(status(&caller(node, KEY_2), "/get/x").await, 200);
            assert_ne!(status(&caller(node, KEY), "/open/x").await, 401);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_ne!(status(&caller(&begun, KEY_2), "/get/x").await, 200, "neighbours tell it");
    world.configure();
    for node in [&planner, &follower, &begun] {
        wait("calls with keys are served", async || {
            status(&caller(node, KEY), "/get/x").await == 200
        })
        .await;
        // Put off, not denied, while its proof is older than a denial may rest on.
        wait("the key that was taken away is denied", async || {
            let status = status(&caller(node, KEY_2), "/get/x").await;
            assert!(status == 401 || status == 503, "{status}");
            status == 401
        })
        .await;
    }
}

/// Leases are gone, or are back from the dead; two returns follow each other.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_has_one_planner_again_and_all_is_served() {
    let world = World::new();
    world.engine("a", "api");
    world.store.take_snapshot();
    let (planner, _link, follower) = world.planner_and_follower().await;
    let calls = async || {
        for node in [&planner, &follower] {
            assert_eq!(
                caller(node, KEY).call(Method::GET, "/open/x", "").await.unwrap().status,
                200
            );
        }
    };
    calls().await;
    world.store.restore_snapshot(&[], GROWN);
    tokio::time::sleep(Duration::from_millis(400)).await;
    world.store.restore_snapshot(&[], GROWN / 4);
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(5_000) {
        calls().await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let plans = |n: &GatewayProcess| n.events("domain_planner").last().map(|e| e["active"] == true);
    let planning = [&planner, &follower].into_iter().filter(|n| plans(n) == Some(true)).count();
    assert_eq!(planning, 1);
    let told = |n: &GatewayProcess| {
        n.events("feed_changed").last().is_some_and(|e| !e["planner"].is_null())
    };
    assert!(told(&planner) || told(&follower), "the other one is told");
    for node in [&planner, &follower] {
        assert_eq!(status(&caller(node, KEY), "/get/x").await, 200);
        let era = |e: &serde_json::Value| e["era"] == 3;
        wait("it knows", async || node.events("store_came_back").iter().any(era)).await;
    }
}
