//! Placement by the planner: initial loading of models and replacement of lost stages.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::path::Path;
use std::time::Duration;

use common::{LAYERS, WAIT_TIMEOUT, assert_complete, desk, name, wait_until};
use heathpitch_core::{Labels, LayerRange};
use heathpitch_fakes::{Deployment, EngineConfig, Fault, PlatformFault, sample_document};

/// Engines without layers, each with memory for half of the model.
async fn empty_deployment(engines: usize, nodes: usize) -> Deployment {
    let mut d = Deployment::new(Path::new(env!("CARGO_BIN_EXE_heathpitchd"))).unwrap();
    for i in 0..engines {
        let layers = LayerRange::new(0, 0);
        let mut config =
            EngineConfig::new(name(&format!("e{i}")), name("none"), name("v0"), layers);
        config.model = None;
        config.memory_mb = u64::from(LAYERS) / 2 * 500;
        d.add_engine(config, "memphis").unwrap();
    }
    for i in 1..=nodes {
        d.start_node(&format!("n{i}"), "memphis", |_| {}).unwrap();
    }
    d.publish_vms();
    let revision = d.put_config(&sample_document(LAYERS).unwrap()).await.unwrap();
    assert!(d.wait_ready(revision, engines, WAIT_TIMEOUT).await);
    d
}

async fn is_served(d: &Deployment, node: usize) -> bool {
    let got = desk().stream(d.nodes[node].listen, &name("tickets"), "placed?", 6).await.unwrap();
    if got.status == 200 {
        assert_complete(&got, "placed?", 6);
    }
    got.complete
}

#[tokio::test(flavor = "multi_thread")]
async fn model_is_loaded_on_empty_engines() {
    let d = empty_deployment(4, 2).await;
    wait_until("the model is served", || is_served(&d, 0)).await;
    wait_until("idle engines hold replicas", || async {
        d.engines.iter().all(|(e, _)| e.layers().count() == LAYERS / 2)
    })
    .await;
    wait_until("the other node serves the model", || is_served(&d, 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_stage_without_replica_is_loaded_elsewhere() {
    let d = empty_deployment(3, 1).await;
    wait_until("the model is served", || is_served(&d, 0)).await;
    wait_until("every engine holds layers", || async {
        d.engines.iter().all(|(e, _)| e.layers().count() > 0)
    })
    .await;
    let lost = sole_holder(&d);
    d.engines[lost].0.inject(Fault::Exit);
    wait_until("the model is served again", || is_served(&d, 0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_node_takes_over_from_a_killed_planner() {
    let mut d = empty_deployment(3, 3).await;
    wait_until("the model is served", || is_served(&d, 0)).await;
    let planner = d.nodes.iter().position(|n| is_planner(&n.log())).unwrap();
    d.nodes[planner].kill();
    d.nodes.remove(planner);
    wait_until("another node is the planner", || async {
        d.nodes.iter().any(|n| is_planner(&n.log()))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_of_a_paused_planner_are_refused() {
    let d = empty_deployment(3, 2).await;
    wait_until("the model is served", || is_served(&d, 0)).await;
    let planner = d.nodes.iter().position(|n| is_planner(&n.log())).unwrap();
    d.nodes[planner].signal("STOP").unwrap();
    let other = 1 - planner;
    wait_until("the other node is the planner", || async { is_planner(&d.nodes[other].log()) })
        .await;
    d.nodes[planner].signal("CONT").unwrap();
    wait_until("the paused node is no longer the planner", || async {
        let log = d.nodes[planner].log();
        log.iter().any(|l| l.contains("\"planner\"") && l.contains("\"active\":false"))
    })
    .await;
    wait_until("the model is served", || is_served(&d, planner)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stage_lost_during_platform_outage_is_replaced() {
    let d = empty_deployment(3, 1).await;
    wait_until("every engine holds layers", || async {
        d.engines.iter().all(|(e, _)| e.layers().count() > 0)
    })
    .await;
    wait_until("the model is served", || is_served(&d, 0)).await;
    d.platform.inject(PlatformFault::Unavailable);
    let sole_holder = sole_holder(&d);
    d.engines[sole_holder].0.inject(Fault::Exit);
    wait_until("the model is served again", || is_served(&d, 0)).await;
}

/// An engine that checks no epoch must not get orders of a planner whose lease has expired.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_check_no_epoch_get_no_orders_after_lease_expiry() {
    let mut d = empty_deployment(3, 1).await;
    for (_, vm) in &mut d.engines {
        vm.labels.0.insert(name("fence"), name("no"));
    }
    let listed = d.nodes[0].status().await["list"].as_u64().unwrap();
    d.publish_vms();
    // If the store failed before the labels are known, the engines would count as checking epochs.
    wait_until("the labels are known", || async {
        d.nodes[0].status().await["list"].as_u64().is_some_and(|l| l > listed)
    })
    .await;
    wait_until("every engine holds layers", || async {
        d.engines.iter().all(|(e, _)| e.layers().count() > 0)
    })
    .await;
    wait_until("the model is served", || is_served(&d, 0)).await;
    d.platform.inject(PlatformFault::Unavailable);
    // The lease time of the deployment is 1.5 s.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let placed =
        |d: &Deployment| d.nodes[0].log().iter().filter(|l| l.contains("\"placed\"")).count();
    let before = placed(&d);
    d.engines[sole_holder(&d)].0.inject(Fault::Exit);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(placed(&d), before);
    d.platform.inject(PlatformFault::Clear);
    wait_until("the model is served again", || is_served(&d, 0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_of_other_pools_get_no_orders() {
    let mut d = empty_deployment(2, 1).await;
    let mut config =
        EngineConfig::new(name("stranger"), name("none"), name("v0"), LayerRange::new(0, 0));
    config.model = None;
    let at = d.add_engine(config, "memphis").unwrap();
    d.engines[at].1.labels = Labels::try_from([("kind", "other")]).unwrap();
    d.publish_vms();
    wait_until("the model is served", || is_served(&d, 0)).await;
    tokio::time::sleep(WAIT_TIMEOUT / 10).await;
    assert_eq!(d.engines[at].0.layers().count(), 0);
}

/// The only engine with its half of the model; two engines hold the other half.
fn sole_holder(d: &Deployment) -> usize {
    let holders = |at: usize| {
        let layers = d.engines[at].0.layers();
        d.engines.iter().filter(|(e, _)| e.layers() == layers).count()
    };
    (0..d.engines.len()).find(|at| holders(*at) == 1).unwrap()
}

fn is_planner(log: &[String]) -> bool {
    log.iter().any(|l| l.contains("\"planner\"") && l.contains("\"active\":true"))
}
