//! Placement by the node that plans: models loaded from nothing, lost stages replaced.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use std::path::Path;
use std::time::Duration;

use common::{LAYERS, LIMIT, assert_right, desk, name, wait};
use heathpitch_core::{Labels, LayerRange};
use heathpitch_fakes::{Deployment, EngineSetup, Fault, PlatformFault, sample};

/// Engines that hold nothing, each with memory for half of the model.
async fn empty(engines: usize, nodes: usize) -> Deployment {
    let mut d = Deployment::open(Path::new(env!("CARGO_BIN_EXE_heathpitchd"))).unwrap();
    for i in 0..engines {
        let layers = LayerRange::new(0, 0);
        let mut setup = EngineSetup::new(name(&format!("e{i}")), name("none"), name("v0"), layers);
        setup.model = None;
        setup.memory = u64::from(LAYERS) / 2 * 500;
        d.engine(setup, "memphis").unwrap();
    }
    for i in 1..=nodes {
        d.node(&format!("n{i}"), "memphis", |_| {}).unwrap();
    }
    d.list();
    let revision = d.configure(&sample(LAYERS).unwrap()).await.unwrap();
    assert!(d.ready(revision, engines, LIMIT).await);
    d
}

async fn answers(d: &Deployment, node: usize) -> bool {
    let got = desk().stream(d.nodes[node].listen, &name("tickets"), "placed?", 6).await.unwrap();
    if got.status == 200 {
        assert_right(&got, "placed?", 6);
    }
    got.whole
}

#[tokio::test(flavor = "multi_thread")]
async fn a_model_is_loaded_from_nothing() {
    let d = empty(4, 2).await;
    wait("the model is served", || answers(&d, 0)).await;
    wait("idle engines hold replicas", || async {
        d.engines.iter().all(|(e, _)| e.layers().count() == LAYERS / 2)
    })
    .await;
    wait("the other node serves it", || answers(&d, 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stage_without_a_replica_is_loaded_elsewhere_and_the_model_served_again() {
    let d = empty(3, 1).await;
    wait("the model is served", || answers(&d, 0)).await;
    wait("every engine holds layers", || async {
        d.engines.iter().all(|(e, _)| e.layers().count() > 0)
    })
    .await;
    let gone = alone(&d);
    d.engines[gone].0.fault(Fault::Die);
    wait("the model is served again", || answers(&d, 0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_node_plans_when_the_planner_is_killed() {
    let mut d = empty(3, 3).await;
    wait("the model is served", || answers(&d, 0)).await;
    let planner = d.nodes.iter().position(|n| plans(&n.log())).unwrap();
    d.nodes[planner].kill();
    d.nodes.remove(planner);
    wait("another node plans", || async { d.nodes.iter().any(|n| plans(&n.log())) }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_planners_orders_are_refused() {
    let d = empty(3, 2).await;
    wait("the model is served", || answers(&d, 0)).await;
    let planner = d.nodes.iter().position(|n| plans(&n.log())).unwrap();
    d.nodes[planner].signal("STOP").unwrap();
    let other = 1 - planner;
    wait("the other node plans", || async { plans(&d.nodes[other].log()) }).await;
    d.nodes[planner].signal("CONT").unwrap();
    wait("the paused one has ceased to", || async {
        let log = d.nodes[planner].log();
        log.iter().any(|l| l.contains("\"planner\"") && l.contains("\"active\":false"))
    })
    .await;
    wait("the model is served", || answers(&d, planner)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stage_lost_while_the_platform_is_away_is_replaced() {
    let d = empty(3, 1).await;
    wait("every engine holds layers", || async {
        d.engines.iter().all(|(e, _)| e.layers().count() > 0)
    })
    .await;
    wait("the model is served", || answers(&d, 0)).await;
    d.platform.fault(PlatformFault::Down);
    let alone = alone(&d);
    d.engines[alone].0.fault(Fault::Die);
    wait("the model is served again", || answers(&d, 0)).await;
}

/// An engine that checks no epoch must not be ordered about by a planner whose lease has lapsed.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_check_no_epoch_get_no_orders_once_the_lease_has_lapsed() {
    let mut d = empty(3, 1).await;
    for (_, vm) in &mut d.engines {
        vm.labels.0.insert(name("fence"), name("no"));
    }
    let listed = d.nodes[0].status().await["list"].as_u64().unwrap();
    d.list();
    // With the store down before the labels are known, the engines would count as ones that check.
    wait("the labels are known", || async {
        d.nodes[0].status().await["list"].as_u64().is_some_and(|l| l > listed)
    })
    .await;
    wait("every engine holds layers", || async {
        d.engines.iter().all(|(e, _)| e.layers().count() > 0)
    })
    .await;
    wait("the model is served", || answers(&d, 0)).await;
    d.platform.fault(PlatformFault::Down);
    // The deployment's lease holds for 1.5 s.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let placed =
        |d: &Deployment| d.nodes[0].log().iter().filter(|l| l.contains("\"placed\"")).count();
    let before = placed(&d);
    d.engines[alone(&d)].0.fault(Fault::Die);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(placed(&d), before);
    d.platform.fault(PlatformFault::Heal);
    wait("the model is served again", || answers(&d, 0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_of_other_pools_are_left_alone() {
    let mut d = empty(2, 1).await;
    let mut setup =
        EngineSetup::new(name("stranger"), name("none"), name("v0"), LayerRange::new(0, 0));
    setup.model = None;
    let at = d.engine(setup, "memphis").unwrap();
    d.engines[at].1.labels = Labels::try_from([("kind", "other")]).unwrap();
    d.list();
    wait("the model is served", || answers(&d, 0)).await;
    tokio::time::sleep(LIMIT / 10).await;
    assert_eq!(d.engines[at].0.layers().count(), 0);
}

/// The engine that holds its half of the model alone; the other half has two holders.
fn alone(d: &Deployment) -> usize {
    let holders = |at: usize| {
        let layers = d.engines[at].0.layers();
        d.engines.iter().filter(|(e, _)| e.layers() == layers).count()
    };
    (0..d.engines.len()).find(|at| holders(*at) == 1).unwrap()
}

fn plans(log: &[String]) -> bool {
    log.iter().any(|l| l.contains("\"planner\"") && l.contains("\"active\":true"))
}
