//! A store restored from a copy some seconds old: later writes are lost, and their revisions are assigned again.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Cluster, KEY, KEY_2, status, wait_until};
use heathpitch_standin::{Caller, GatewayProcess, RouteSpec, Store};
use hyper::Method;

/// Agreed time within which a configuration is in force, and draining engines get no more work.
const ADOPTION_LIMIT: Duration = Duration::from_millis(2_000);
/// Unrelated writes, by which the store's revision advances.
const WRITES: u64 = 200;

fn caller(node: &GatewayProcess, key: &str) -> Caller {
    Caller::new(node.listen).key(key)
}

/// Writes the configuration with one more route.
fn add_route(cluster: &mut Cluster, prefix: &str) {
    cluster.config.routes.push(RouteSpec::idempotent(prefix, "api"));
    cluster.config.version += 1;
    cluster.configure();
}

async fn wait_in_force(node: &GatewayProcess, target: &str) {
    wait_until("the route is in force", async || status(&caller(node, KEY), target).await == 200)
        .await;
}

/// The new configuration has a lower revision than the one in force, which the store has lost.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_written_after_restore_is_adopted_in_time() {
    let mut cluster = Cluster::new();
    cluster.engine("a", "api");
    let node = cluster.node().await;
    cluster.store.take_snapshot();
    (0..WRITES).for_each(|i| cluster.store.put_bytes(&format!("other/{i}"), b""));
    add_route(&mut cluster, "/lost/");
    wait_in_force(&node, "/lost/x").await;
    cluster.store.restore_snapshot(&[], 0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        status(&caller(&node, KEY), "/lost/x").await,
        200,
        "the configuration in force stays"
    );
    cluster.configure();
    add_route(&mut cluster, "/next/");
    let written = Instant::now();
    wait_in_force(&node, "/next/x").await;
    assert!(written.elapsed() < ADOPTION_LIMIT, "{:?}", written.elapsed());
    assert_eq!(status(&caller(&node, KEY), "/lost/x").await, 200);
}

/// After the restore, revisions have grown past those from which watches continue, so the store rejects none of them.
#[tokio::test(flavor = "multi_thread")]
async fn changes_of_another_era_are_seen_in_time() {
    let mut cluster = Cluster::new();
    let (leaving, _other) = (cluster.engine("a", "api"), cluster.engine("b", "api"));
    let node = cluster.node().await;
    cluster.store.take_snapshot();
    (0..WRITES / 2).for_each(|i| cluster.store.put_bytes(&format!("other/{i}"), b""));
    tokio::time::sleep(Duration::from_millis(700)).await;
    cluster.config.routes.push(RouteSpec::idempotent("/next/", "api"));
    cluster.config.version += 1;
    let config = Store::config_entry(&cluster.config.json());
    cluster.store.restore_snapshot(&[leaving.key_and_entry("draining"), config], WRITES);
    let written = Instant::now();
    wait_in_force(&node, "/next/x").await;
    assert!(written.elapsed() < ADOPTION_LIMIT, "{:?}", written.elapsed());
    tokio::time::sleep(ADOPTION_LIMIT.saturating_sub(written.elapsed())).await;
    let served = leaving.requests().len();
    for _ in 0..20 {
        assert_eq!(status(&caller(&node, KEY), "/get/x").await, 200);
    }
    assert_eq!(leaving.requests().len(), served);
}

/// The engine drained and exited after the copy was made, so the restore brings back its entry as ready.
#[tokio::test(flavor = "multi_thread")]
async fn drained_engine_is_not_reused_after_restore() {
    let cluster = Cluster::new();
    let engines = ["drained", "unlisted", "other"].map(|id| cluster.engine(id, "api"));
    let [drained, unlisted, _] = &engines;
    let node = cluster.node().await;
    cluster.store.take_snapshot();
    (0..WRITES).for_each(|i| cluster.store.put_bytes(&format!("other/{i}"), b""));
    drained.register("draining");
    unlisted.deregister();
    let known = async |event: &str, id: &str| {
        wait_until("the event is logged", async || {
            node.events(event).iter().any(|e| e["engine"] == id)
        })
        .await;
    };
    known("engine_gone", "unlisted").await;
    drained.deregister();
    known("engine_gone", "drained").await;
    let served = drained.requests().len() + unlisted.requests().len();
    cluster.store.restore_snapshot(&[], 0);
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(3_000) {
        assert_eq!(status(&caller(&node, KEY), "/get/x").await, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(drained.requests().len() + unlisted.requests().len(), served);
}

#[tokio::test(flavor = "multi_thread")]
async fn removed_key_stays_removed_also_at_starting_node() {
    let mut cluster = Cluster::new();
    cluster.engine("a", "api");
    let (planner, _link, follower) = cluster.planner_and_follower().await;
    cluster.store.take_snapshot();
    (0..WRITES).for_each(|i| cluster.store.put_bytes(&format!("other/{i}"), b""));
    cluster.config.tenants[0].1.retain(|key| key != KEY_2);
    cluster.config.version += 1;
    cluster.configure();
    for node in [&planner, &follower] {
        wait_until("the key is refused", async || {
            status(&caller(node, KEY_2), "/get/x").await == 401
        })
        .await;
    }
    cluster.store.restore_snapshot(&[], WRITES / 4);
    let started = cluster.start("n3", &serde_json::json!({}));
    started.wait_ready().await.unwrap();
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(4_000) {
        for node in [&planner, &follower] {
            assert_ne!(status(&caller(node, KEY_2), "/get/x").await, 200);
            assert_ne!(status(&caller(node, KEY), "/open/x").await, 401);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_ne!(
        status(&caller(&started, KEY_2), "/get/x").await,
        200,
        "other nodes supply the newer configuration"
    );
    cluster.configure();
    for node in [&planner, &follower, &started] {
        wait_until("calls with a valid key are served", async || {
            status(&caller(node, KEY), "/get/x").await == 200
        })
        .await;
        // The node answers 503 instead of 401 while its proof is too old for a denial.
        wait_until("the removed key is denied", async || {
            let status = status(&caller(node, KEY_2), "/get/x").await;
            assert!(status == 401 || status == 503, "{status}");
            status == 401
        })
        .await;
    }
}

/// Two restores in succession: leases are lost, or expired ones reappear.
#[tokio::test(flavor = "multi_thread")]
async fn one_planner_remains_after_restores() {
    let cluster = Cluster::new();
    cluster.engine("a", "api");
    cluster.store.take_snapshot();
    let (planner, _link, follower) = cluster.planner_and_follower().await;
    let calls = async || {
        for node in [&planner, &follower] {
            assert_eq!(
                caller(node, KEY).call(Method::GET, "/open/x", "").await.unwrap().status,
                200
            );
        }
    };
    calls().await;
    cluster.store.restore_snapshot(&[], WRITES);
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.store.restore_snapshot(&[], WRITES / 4);
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(5_000) {
        calls().await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let is_planner =
        |n: &GatewayProcess| n.events("domain_planner").last().map(|e| e["active"] == true);
    let planners =
        [&planner, &follower].into_iter().filter(|n| is_planner(n) == Some(true)).count();
    assert_eq!(planners, 1);
    let is_fed = |n: &GatewayProcess| {
        n.events("feed_changed").last().is_some_and(|e| !e["planner"].is_null())
    };
    assert!(is_fed(&planner) || is_fed(&follower), "the other node is fed");
    for node in [&planner, &follower] {
        assert_eq!(status(&caller(node, KEY), "/get/x").await, 200);
        let era = |e: &serde_json::Value| e["era"] == 3;
        wait_until("the restore is detected", async || {
            node.events("store_came_back").iter().any(era)
        })
        .await;
    }
}
