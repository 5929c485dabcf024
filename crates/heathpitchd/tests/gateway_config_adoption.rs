//! Time from the store's acceptance of a configuration until each node has it in force.
//!
//! Calls show an outdated configuration only if they happen to fall into the gap, so that the gap itself is measured
//! here, by what the nodes log. On real processes nodes of all failure domains were late at once: one call on the store
//! that was refused or lost ended the watch of the configuration, and delayed the proof that remained.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::Duration;

use gateway::{Cluster, is_fed, wait_until, wall_ms};
use heathpitch_standin::{GatewayProcess, LinkMode, RouteSpec, StoreMode};
use serde_json::json;

/// Agreed time from the acceptance of a configuration until nodes in touch serve by it, milliseconds.
const APPLY_MS: u64 = 2_000;
/// Agreed time after a disturbance from which a node counts as in touch.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Time between proofs of a node that reads the store.
const PROOF_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest time until lines of the log are written, with margin.
const LOG_DELAY: Duration = Duration::from_millis(600);

/// Changes a route, and returns the version and when the store had accepted it.
fn change_route(cluster: &mut Cluster) -> (u64, u64) {
    cluster.config.version += 4;
    let timeout = 1_000 + cluster.config.version;
    cluster.config.routes[0] = RouteSpec::idempotent("/get/", "api").timeout(timeout);
    cluster.configure();
    (cluster.config.version, wall_ms())
}

/// Waits until a node has logged the adoption of a version or a newer one, and returns how long after `accepted` it was.
async fn adoption_ms(node: &GatewayProcess, (version, accepted): (u64, u64)) -> u64 {
    let adopted = || {
        let events = node.events("config_adopted");
        events.into_iter().find(|e| e["version"].as_u64() >= Some(version))
    };
    wait_until("the configuration is in force", async || adopted().is_some()).await;
    adopted().unwrap()["at"].as_u64().unwrap().saturating_sub(accepted)
}

/// A failure domain of `count` nodes, the first of which is its planner and feeds the others.
async fn domain(cluster: &Cluster, count: usize) -> Vec<GatewayProcess> {
    let mut nodes = vec![cluster.node().await];
    nodes.extend((2..=count).map(|i| cluster.start(&format!("n{i}"), &json!({}))));
    for node in &nodes[1..] {
        node.wait_ready().await.unwrap();
        wait_until("the node is fed", async || is_fed(node) == Some(true)).await;
    }
    nodes
}

/// Guards against refused renewals, lists and proofs that end the watch of the configuration, which the store answers.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_are_adopted_while_the_store_refuses_other_calls() {
    let mut cluster = Cluster::new();
    let _engine = cluster.engine("a", "api");
    let mut nodes = domain(&cluster, 3).await;
    nodes.push(cluster.start_in("atl", "n4"));
    nodes[3].wait_ready().await.unwrap();
    cluster.store.set_mode(StoreMode::RefuseCalls(100));
    tokio::time::sleep(PROOF_INTERVAL * 2).await;
    let change = change_route(&mut cluster);
    tokio::time::sleep(Duration::from_millis(APPLY_MS * 2)).await;
    cluster.store.set_mode(StoreMode::Up);
    for (index, node) in nodes.iter().enumerate() {
        let ms = adoption_ms(node, change).await;
        assert!(ms <= APPLY_MS, "node {} after {ms} ms", index + 1);
    }
}

/// Guards against a node that reaches no other node and waits, once the store did not answer it, for as long as a whole
/// failure domain would.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_node_proves_its_configuration_soon_after_the_store_is_back() {
    let mut cluster = Cluster::new();
    let _engine = cluster.engine("a", "api");
    let others = domain(&cluster, 24).await;
    for round in 0..3 {
        wait_until("the others have one planner", async || {
            let plans = |n: &&GatewayProcess| {
                n.events("domain_planner").last().is_some_and(|e| e["active"] == true)
            };
            let (planners, followers): (Vec<_>, Vec<_>) = others.iter().partition(plans);
            planners.len() == 1 && followers.iter().all(|n| is_fed(n) == Some(true))
        })
        .await;
        // The one of the round before may have held the planner's lease.
        let (node, link) = cluster.start_behind(&format!("last-{round}"), &json!({}));
        node.wait_ready().await.unwrap();
        wait_until("the node is fed", async || is_fed(&node) == Some(true)).await;
        // Until it knows the size of its failure domain, and that the others have returned.
        tokio::time::sleep(CONTACT_TIME).await;
        others.iter().for_each(|n| n.signal("STOP").unwrap());
        link.set_mode(LinkMode::Blackhole);
        tokio::time::sleep(CONTACT_TIME).await;
        link.set_mode(LinkMode::Pass);
        let change = change_route(&mut cluster);
        tokio::time::sleep(CONTACT_TIME + LOG_DELAY).await;
        let adopted = node.events("config_adopted").last().map(|e| e["version"].clone());
        others.iter().for_each(|n| n.signal("CONT").unwrap());
        assert_eq!(adopted, Some(change.0.into()), "round {round}");
        drop(node);
        // Until the others know that their leases and connections are gone.
        tokio::time::sleep(CONTACT_TIME).await;
    }
}

/// Guards against a planner that loses its lease because three renewals in a row were refused, and with it what its
/// failure domain polls.
#[tokio::test(flavor = "multi_thread")]
async fn planners_keep_their_leases_while_the_store_refuses_some_calls() {
    let cluster = Cluster::new();
    let _engine = cluster.engine("a", "api");
    let nodes: Vec<_> =
        ["mem", "atl", "bhm"].iter().map(|d| cluster.start_in(d, &format!("n-{d}"))).collect();
    for node in &nodes {
        node.wait_ready().await.unwrap();
        wait_until("it is the planner", async || !node.events("domain_planner").is_empty()).await;
    }
    cluster.store.set_mode(StoreMode::RefuseCalls(40));
    tokio::time::sleep(Duration::from_secs(20)).await;
    let lost = |node: &GatewayProcess| {
        node.events("domain_planner").iter().filter(|e| e["active"] == false).count()
    };
    let lost: usize = nodes.iter().map(lost).sum();
    assert!(lost <= 1, "{lost} leases lost");
}
