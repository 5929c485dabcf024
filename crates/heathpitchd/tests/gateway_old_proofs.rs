//! Calls that reach a node while its proof of the configuration is old.
//!
//! On real processes single nodes ran calls on a route that had been removed, later than the agreed time. Such a node may
//! have served by an old configuration although the store would have answered it at once.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gateway::{Cluster, KEY, is_fed, wait_until};
use heathpitch_standin::{Caller, Engine, GatewayProcess, LinkMode, Proxy, RouteSpec, StoreMode};
use hyper::Method;
use serde_json::json;

/// Agreed time from the acceptance of a configuration until nodes in touch serve by it.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Time in which calls are checked.
const CHECK_TIME: Duration = Duration::from_millis(3_000);
/// Time between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which a node is stopped.
const STOP_TIME: Duration = Duration::from_millis(4_000);
/// Time for which all nodes and the store are stopped: longer than the agreed time.
const STANDSTILL: Duration = Duration::from_millis(2_200);
/// Time for which a thread is held up, as SIGUSR1 does.
const HOLD_TIME: Duration = Duration::from_millis(2_800);
/// Time after a standstill in which calls are sent to each node.
const RETURN_TIME: Duration = Duration::from_millis(500);
/// Longest time until lines of the log are written, with margin.
const LOG_DELAY: Duration = Duration::from_millis(600);

/// A cluster with one engine of service `api` and one of service `new`.
fn two_services() -> (Cluster, Engine, Engine) {
    let mut cluster = Cluster::new();
    cluster.config.services.push("new".to_owned());
    cluster.configure();
    let (old, new) = (cluster.engine("a", "api"), cluster.engine("b", "new"));
    (cluster, old, new)
}

/// Moves the route of `/get/` to a service, and returns when the store had accepted that.
fn move_route(cluster: &mut Cluster, service: &str) -> Instant {
    cluster.config.version += 4;
    cluster.config.routes[0] = RouteSpec::idempotent("/get/", service);
    cluster.configure();
    Instant::now()
}

/// Waits until nodes are fed by others, and know the standbys of their failure domain.
async fn wait_until_fed(nodes: &[GatewayProcess]) {
    for node in nodes {
        node.wait_ready().await.unwrap();
        wait_until("the node is fed", async || is_fed(node) == Some(true)).await;
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
}

/// Guards against a follower that ceases to ask the store for seconds once two of its proofs have failed within 0.2 s, and
/// admits calls by an older configuration meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn followers_admit_calls_by_the_newest_configuration_after_two_refused_proofs() {
    for round in 0..3 {
        let (mut cluster, _old, new) = two_services();
        // The planner and its standbys answer polls throughout, but will have no young proof themselves.
        let link = Proxy::spawn(cluster.store.address()).unwrap();
        let mut sources = vec![cluster.start_at(link.address(), "n1")];
        wait_until("the first node is the planner", async || {
            !sources[0].events("domain_planner").is_empty()
        })
        .await;
        sources.extend((2..=4).map(|i| cluster.start_at(link.address(), &format!("n{i}"))));
        wait_until_fed(&sources[1..]).await;
        let followers: Vec<_> =
            (5..=9).map(|i| cluster.start(&format!("n{i}"), &json!({}))).collect();
        wait_until_fed(&followers).await;
        let before = cluster.store.write_count();
        link.set_mode(LinkMode::Blackhole);
        cluster.store.set_mode(StoreMode::RefuseCalls(100));
        let proofs = before + 2 * followers.len() as u64;
        wait_until("two proofs of each follower were refused", async || {
            cluster.store.write_count() >= proofs
        })
        .await;
        cluster.store.set_mode(StoreMode::Up);
        let accepted = move_route(&mut cluster, "new");
        let callers: Vec<_> =
            followers.iter().map(|n| Caller::new(n.listen).key(KEY).keep_alive()).collect();
        tokio::time::sleep_until((accepted + APPLY_BOUND).into()).await;
        let mut calls = 0;
        while accepted.elapsed() < APPLY_BOUND + CHECK_TIME {
            for caller in &callers {
                caller.call(Method::GET, "/get/x", "").await.unwrap();
                calls += 1;
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        assert_eq!(new.requests().len(), calls, "round {round}");
    }
}

/// Guards against a node that stood still and then admits what had queued by the configuration from before.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stood_still_proves_its_configuration_before_it_admits_calls() {
    let (mut cluster, old, new) = two_services();
    let node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY).keep_alive();
    assert_eq!(caller.call(Method::GET, "/get/x", "").await.unwrap().status, 200);
    assert_eq!(old.requests().len(), 1);
    node.signal("STOP").unwrap();
    let accepted = move_route(&mut cluster, "new");
    tokio::time::sleep_until((accepted + APPLY_BOUND).into()).await;
    let kept = async { caller.call(Method::GET, "/get/x", "").await.unwrap().status };
    let opened = futures::future::join_all((0..8).map(async |_| {
        let caller = Caller::new(node.listen).key(KEY);
        caller.call(Method::GET, "/get/x", "").await.unwrap().status
    }));
    let resume = async {
        tokio::time::sleep_until((accepted + STOP_TIME).into()).await;
        node.signal("CONT").unwrap();
    };
    let (kept, opened, ()) = tokio::join!(kept, opened, resume);
    assert!(opened.iter().chain([&kept]).all(|status| *status == 200), "{kept} {opened:?}");
    assert_eq!((old.requests().len(), new.requests().len()), (1, 9), "by the old and new route");
}

/// Guards against calls that are admitted by an older configuration because a store that stood still with all nodes did
/// not answer within the time for which a call waits.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_stood_still_with_the_store_admit_no_calls_before_it_answers() {
    let (mut cluster, old, new) = two_services();
    let link = Proxy::spawn(cluster.store.address()).unwrap();
    let nodes: Vec<_> =
        (1..=7).map(|i| cluster.start_at(link.address(), &format!("n{i}"))).collect();
    for node in &nodes {
        node.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let mut service = "new";
    for delay in [100, 200, 300, 600].map(Duration::from_millis) {
        let (before, after) = if service == "new" { (&old, &new) } else { (&new, &old) };
        link.set_mode(LinkMode::Blackhole);
        nodes.iter().for_each(|n| n.signal("STOP").unwrap());
        let accepted = move_route(&mut cluster, service);
        let late = before.requests().len();
        tokio::time::sleep_until((accepted + STANDSTILL).into()).await;
        let queued: Vec<_> = nodes.iter().map(|n| tokio::spawn(get(n.listen))).collect();
        tokio::time::sleep(Duration::from_millis(60)).await;
        nodes.iter().for_each(|n| n.signal("CONT").unwrap());
        let resumed = Instant::now();
        let store = async {
            tokio::time::sleep(delay).await;
            link.set_mode(LinkMode::Pass);
        };
        let callers = futures::future::join_all(nodes.iter().map(async |n| {
            while resumed.elapsed() < RETURN_TIME {
                get(n.listen).await;
            }
        }));
        tokio::join!(store, callers);
        futures::future::join_all(queued).await;
        assert_eq!(before.requests().len() - late, 0, "the store answers {delay:?} later");
        assert!(!after.requests().is_empty());
        for node in &nodes {
            wait_until("the node serves again", async || get(node.listen).await == 200).await;
        }
        service = if service == "new" { "api" } else { "new" };
        tokio::time::sleep(APPLY_BOUND).await;
    }
}

/// Guards against calls to an engine that drains, by a list of engines from before all nodes and the store stood still.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_stood_still_with_the_store_send_no_calls_to_an_engine_that_drains() {
    let cluster = Cluster::new();
    let (leaving, staying) = (cluster.engine("a", "api"), cluster.engine("b", "api"));
    let link = Proxy::spawn(cluster.store.address()).unwrap();
    let nodes: Vec<_> =
        (1..=5).map(|i| cluster.start_at(link.address(), &format!("n{i}"))).collect();
    for node in &nodes {
        node.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    link.set_mode(LinkMode::Blackhole);
    nodes.iter().for_each(|n| n.signal("STOP").unwrap());
    leaving.register("draining");
    tokio::time::sleep(STANDSTILL).await;
    let late = leaving.requests().len();
    nodes.iter().for_each(|n| n.signal("CONT").unwrap());
    let resumed = Instant::now();
    let store = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        link.set_mode(LinkMode::Pass);
    };
    let callers = futures::future::join_all(nodes.iter().map(async |n| {
        while resumed.elapsed() < 3 * RETURN_TIME {
            get(n.listen).await;
        }
    }));
    tokio::join!(store, callers);
    assert_eq!(leaving.requests().len() - late, 0);
    assert!(!staying.requests().is_empty());
}

/// Guards against calls that are refused beside a store that answers, because the thread that is to ask it is held up, and
/// against ones that are admitted by an older configuration meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_while_the_control_thread_is_held_up() {
    let (mut cluster, old, new) = two_services();
    let nodes = [cluster.node().await, cluster.start("n2", &json!({}))];
    wait_until_fed(&nodes[1..]).await;
    for node in &nodes {
        node.signal("USR1").unwrap();
        let held = Instant::now();
        while held.elapsed() < HOLD_TIME {
            assert_eq!(get(node.listen).await, 200, "after {:?}", held.elapsed());
            tokio::time::sleep(CALL_INTERVAL).await;
        }
    }
    tokio::time::sleep(APPLY_BOUND * 2).await;
    nodes.iter().for_each(|n| n.signal("USR1").unwrap());
    let accepted = move_route(&mut cluster, "new");
    tokio::time::sleep_until((accepted + APPLY_BOUND).into()).await;
    let late = old.requests().len();
    while accepted.elapsed() < HOLD_TIME + APPLY_BOUND {
        for node in &nodes {
            get(node.listen).await;
        }
    }
    assert_eq!(old.requests().len(), late);
    assert!(!new.requests().is_empty());
}

/// Status of a call on the route that is moved.
async fn get(node: SocketAddr) -> u16 {
    Caller::new(node).key(KEY).call(Method::GET, "/get/x", "").await.unwrap().status
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

/// Guards against calls that wait for a proof again and again, or are refused, while a node is cut off from the store.
#[tokio::test(flavor = "multi_thread")]
async fn calls_of_a_node_that_is_cut_off_from_the_store_do_not_wait() {
    for mode in [LinkMode::Blackhole, LinkMode::Reset] {
        let (cluster, _old, _new) = two_services();
        let (node, link) = cluster.start_behind("n1", &json!({}));
        node.wait_ready().await.unwrap();
        let caller = Caller::new(node.listen).keep_alive();
        link.set_mode(mode);
        let cut = Instant::now();
        let (mut waits, mut longest) = (Duration::ZERO, Duration::ZERO);
        while cut.elapsed() < STOP_TIME * 2 {
            let sent = Instant::now();
            assert_eq!(caller.call(Method::GET, "/open/x", "").await.unwrap().status, 200);
            let took = sent.elapsed();
            longest = longest.max(took);
            if took > Duration::from_millis(50) {
                waits += took;
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        assert!(longest < Duration::from_millis(500), "{mode:?}: {longest:?}");
        assert!(waits < Duration::from_millis(1_000), "{mode:?}: {waits:?} in all");
    }
}
