//! Calls that reach a node while its proof of the configuration is old.
//!
//! On real processes single nodes ran calls on a route that had been removed, later than the agreed time. Such a node may
//! have served by an old configuration although the store would have answered it at once.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::Duration;

use gateway::{Cluster, is_fed, wait_until};
use heathpitch_standin::GatewayProcess;
use serde_json::json;

/// Time for which a node is stopped.
const STOP_TIME: Duration = Duration::from_millis(4_000);
/// Longest time until lines of the log are written, with margin.
const LOG_DELAY: Duration = Duration::from_millis(600);

/// Waits until nodes are fed by others, and know the standbys of their failure domain.
async fn wait_until_fed(nodes: &[GatewayProcess]) {
    for node in nodes {
        node.wait_ready().await.unwrap();
        wait_until("the node is fed", async || is_fed(node) == Some(true)).await;
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
}

/// Guards against a late node whose own log is the only one that could tell why: its threads did not run, which it and
/// the planner that it polls tell.
#[tokio::test(flavor = "multi_thread")]
async fn logs_tell_that_a_node_stood_still() {
    let cluster = Cluster::new();
    let _engine = cluster.engine("a", "api");
    let nodes = [cluster.node().await, cluster.start("n2", &json!({}))];
    wait_until_fed(&nodes[1..]).await;
    nodes[1].signal("STOP").unwrap();
    tokio::time::sleep(STOP_TIME).await;
    nodes[1].signal("CONT").unwrap();
    tokio::time::sleep(LOG_DELAY * 2).await;
    for thread in ["control", "calls"] {
        let delays = nodes[1].events("thread_delayed");
        let delay = delays.iter().find(|e| e["thread"] == thread).unwrap();
        let (ms, cpu_ms) = (delay["ms"].as_u64().unwrap(), delay["cpu_ms"].as_u64().unwrap());
        assert!(ms >= 3_500 && cpu_ms < 1_000, "{delay}");
    }
    let returned = nodes[0].events("followers_returned");
    assert_eq!(returned.last().unwrap()["node"], "n2");
    assert!(returned.last().unwrap()["silent_ms"].as_u64().unwrap() >= 3_500, "{returned:?}");
}
