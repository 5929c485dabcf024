//! Engines that advertise a limit on the requests per second from all nodes together.
//!
//! Before nodes enforced limits, two overloaded engines that advertised 4.9 and 3.6 requests a
//! second in their responses received 38 and 37 requests within four seconds, from nodes that had
//! forwarded such responses. Each of three nodes kept choosing the engine by its load, about three
//! times a second. No node read the limit, and a limit on the sum over all nodes cannot be kept by
//! each node on its own. Without the fix the first test here counts 236 to 459 requests, by each
//! kind of request, where 26 are allowed.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use futures::future::join_all;
use gateway::{Cluster, KEY, wait_until};
use heathpitch_standin::{Behavior, Caller, Engine, GatewayProcess, Reply, StoreMode};
use hyper::Method;
use serde_json::json;

/// Advertised limit in requests per second, as a number and as the header's value.
const LIMIT_PER_S: (f64, &str) = (3.6, "3.6");
/// Time from the first response with the limit until all nodes observe it: the contact bound.
const CONTACT_BOUND: Duration = Duration::from_millis(3_000);
/// Length of the window in which requests are counted.
const WINDOW_S: f64 = 4.0;
/// Part of a limit that has to be used under sufficient demand.
const MIN_USE: f64 = 0.9;
/// Time for which calls are made after all nodes observe the limit.
const LIMITED_TIME: Duration = Duration::from_secs(8);
/// Time between two calls to one node.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Most requests that an engine may receive in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_S + 5.0) as usize
}

/// Times of all requests that take a slot at an engine, calls and health checks, from `since` on.
fn request_times(engine: &Engine, since: Instant) -> Vec<Instant> {
    let all = engine.requests().into_iter().map(|s| s.at).chain(engine.health_checks());
    let mut times: Vec<Instant> = all.filter(|at| *at >= since).collect();
    times.sort_unstable();
    times
}

/// Most requests in any window.
fn most_in_window(times: &[Instant]) -> usize {
    let window = Duration::from_secs_f64(WINDOW_S);
    let within =
        |from: Instant| times.iter().filter(|at| (from..from + window).contains(at)).count();
    times.iter().map(|from| within(*from)).max().unwrap_or(0)
}

fn caller(node: &GatewayProcess) -> Caller {
    Caller::new(node.listen).key(KEY)
}

/// Calls every node repeatedly for a time.
async fn call_all(nodes: &[GatewayProcess], time: Duration, kind: &RequestKind) -> Vec<Reply> {
    let calls = nodes.iter().map(|node| call_repeatedly(node, time, kind));
    join_all(calls).await.into_iter().flatten().collect()
}

/// Calls a node repeatedly, without waiting for the response before the next call.
async fn call_repeatedly(node: &GatewayProcess, time: Duration, kind: &RequestKind) -> Vec<Reply> {
    let (start, mut open) = (Instant::now(), Vec::new());
    while start.elapsed() < time {
        let (caller, method, target) = (kind.caller(node), kind.method.clone(), kind.target);
        open.push(tokio::spawn(async move { caller.call(method, target, "body").await.unwrap() }));
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    join_all(open).await.into_iter().map(Result::unwrap).collect()
}

/// Kind of request, with the route and service that handle it.
struct RequestKind {
    method: Method,
    target: &'static str,
    service: &'static str,
}

impl RequestKind {
    /// Calls with keys are refused while the validity of keys cannot be confirmed, so the public
    /// route is called without one.
    fn caller(&self, node: &GatewayProcess) -> Caller {
        match self.target.starts_with("/open/") {
            true => Caller::new(node.listen),
            false => caller(node),
        }
    }
}

/// Idempotent calls, at-most-once calls, streams of one engine, and streams through layers.
fn request_kinds() -> [RequestKind; 4] {
    let kind = |method, target, service| RequestKind { method, target, service };
    [
        kind(Method::GET, "/get/x", "api"),
        kind(Method::POST, "/book/x", "api"),
        kind(Method::POST, "/whole/x", "one"),
        kind(Method::POST, "/tell/x", "llm"),
    ]
}

/// Three nodes in two failure domains and two identical engines, the first of which advertises a
/// limit.
struct Fleet {
    cluster: Cluster,
    nodes: [GatewayProcess; 3],
    limited: Engine,
    _other: Engine,
}

impl Fleet {
    async fn new(kind: &RequestKind) -> Self {
        let cluster = Cluster::new();
        let [limited, other] = ["a", "b"].map(|name| cluster.engine(name, kind.service));
        if kind.service == "llm" {
            [&limited, &other].iter().for_each(|e| e.set_layers(0, 4));
            cluster.engine("behind", kind.service).set_layers(4, 8);
        }
        if kind.service != "api" {
            let play = Behavior::Stream(3, Duration::from_millis(1));
            [&limited, &other].iter().for_each(|e| e.set_behavior(play));
        }
        let none = serde_json::json!({});
        let first = cluster.start("n1", &none);
        first.wait_ready().await.unwrap();
        let nodes = [first, cluster.start("n2", &none), cluster.start_in("atl", "n3")];
        for node in &nodes {
            node.wait_ready().await.unwrap();
            wait_until("the node knows the fleet", async || {
                node.metrics().await.is_ok_and(|text| text.contains("heathpitch_nodes 3"))
            })
            .await;
        }
        Self { cluster, nodes, limited, _other: other }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_observe_an_advertised_limit_and_use_it() {
    let found = request_kinds().map(async |kind| {
        let fleet = Fleet::new(&kind).await;
        fleet.limited.set_limits(&[LIMIT_PER_S.1]);
        let start = Instant::now();
        let replies = call_all(&fleet.nodes, CONTACT_BOUND + LIMITED_TIME, &kind).await;
        let times = request_times(&fleet.limited, start + CONTACT_BOUND);
        let unserved = replies.iter().filter(|r| r.status != 200).count();
        let rate = times.len() as f64 / LIMITED_TIME.as_secs_f64();
        (kind.target, most_in_window(&times), rate, unserved)
    });
    let found = join_all(found).await;
    let fine = |(_, most, rate, unserved): &(&str, usize, f64, usize)| {
        *most <= allowed(LIMIT_PER_S.0) && *rate >= MIN_USE * LIMIT_PER_S.0 && *unserved == 0
    };
    let allowed = allowed(LIMIT_PER_S.0);
    println!("most in a window (allowed {allowed}), per second, calls not served: {found:?}");
    assert!(
        found.iter().all(fine),
        "most in a window (allowed {allowed}), per second, calls not served: {found:?}"
    );
}

/// Calls all nodes while `fault` runs; returns the limited engine's most requests in a window, and
/// its requests per second from `since` on.
async fn call_under(
    fleet: &Fleet,
    kind: &RequestKind,
    time: Duration,
    since: Duration,
    fault: impl Future<Output = ()>,
) -> (usize, f64) {
    fleet.limited.set_limits(&[LIMIT_PER_S.1]);
    let start = Instant::now();
    tokio::join!(call_all(&fleet.nodes, time, kind), fault);
    let end = start + time;
    let most = most_in_window(&request_times(&fleet.limited, start + CONTACT_BOUND));
    let rate = request_times(&fleet.limited, start + since).len() as f64
        / (end - start - since).as_secs_f64();
    println!("at most {most} of {} in a window, then {rate:.2} a second", allowed(LIMIT_PER_S.0));
    (most, rate)
}

fn idempotent() -> RequestKind {
    let [kind, ..] = request_kinds();
    kind
}

/// While the issuer of rights is stopped, another node issues them; the first one must not when it
/// resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_is_observed_while_the_issuer_is_paused_and_after() {
    let (fleet, kind) = (Fleet::new(&idempotent()).await, idempotent());
    let planner = &fleet.nodes[0];
    let fault = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        planner.signal("STOP").unwrap();
        tokio::time::sleep(Duration::from_secs(6)).await;
        planner.signal("CONT").unwrap();
    };
    let (most, rate) =
        call_under(&fleet, &kind, Duration::from_secs(20), Duration::from_secs(12), fault).await;
    assert!(most <= allowed(LIMIT_PER_S.0), "{most}");
    assert!(rate >= MIN_USE * LIMIT_PER_S.0, "{rate}");
    assert!(!fleet.nodes[1].events("rights_changed").is_empty());
}

/// Calls continue at the remaining nodes; rights of the stopped issuer have expired by then.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_is_observed_when_the_issuer_is_terminated() {
    let kind = idempotent();
    let mut fleet = Fleet::new(&kind).await;
    fleet.limited.set_limits(&[LIMIT_PER_S.1]);
    let start = Instant::now();
    call_all(&fleet.nodes, Duration::from_secs(5), &kind).await;
    fleet.nodes[0].signal("TERM").unwrap();
    call_all(&fleet.nodes[1..], Duration::from_secs(12), &kind).await;
    assert!(fleet.nodes[0].wait_exit(gateway::WAIT_TIMEOUT).is_some());
    let after = request_times(&fleet.limited, start + Duration::from_secs(10));
    let rate = after.len() as f64 / 7.0;
    let most = most_in_window(&request_times(&fleet.limited, start + CONTACT_BOUND));
    assert!(most <= allowed(LIMIT_PER_S.0), "{most}");
    assert!(rate >= MIN_USE * LIMIT_PER_S.0, "{rate}");
}

/// No lease can be renewed, but most nodes of the domain still poll its planner.
#[tokio::test(flavor = "multi_thread")]
async fn rights_are_issued_while_the_store_is_unreachable() {
    let kind = RequestKind { target: "/open/x", ..idempotent() };
    let fleet = Fleet::new(&kind).await;
    fleet.cluster.store.set_mode(StoreMode::Hang);
    let (most, rate) =
        call_under(&fleet, &kind, Duration::from_secs(11), Duration::from_secs(3), async {}).await;
    assert!(most <= allowed(LIMIT_PER_S.0), "{most}");
    assert!(rate >= MIN_USE * LIMIT_PER_S.0, "{rate}");
}

/// Nodes learn of the limit and of its end without a response of the engine to a call of their own.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_exchange_a_limit_and_its_end() {
    let kind = idempotent();
    let fleet = Fleet::new(&kind).await;
    let [first, second, far] = &fleet.nodes;
    fleet.limited.set_limits(&["0.5"]);
    let learned = |node: &GatewayProcess, limit: serde_json::Value| {
        node.events("engine_limited").last().is_some_and(|e| e["limit"] == limit)
    };
    let call = async |node: &GatewayProcess| {
        assert_eq!(caller(node).call(Method::GET, "/get/x", "").await.unwrap().status, 200);
    };
    wait_until("one node learns the limit from the engine", async || {
        call(second).await;
        learned(second, 0.5.into())
    })
    .await;
    let start = Instant::now();
    wait_until("all know", async || [first, far].iter().all(|n| learned(n, 0.5.into()))).await;
    assert!(start.elapsed() < CONTACT_BOUND, "{:?}", start.elapsed());
    assert!(first.events("engine_limited").iter().any(|e| e["by"] == "another node"));
    fleet.limited.set_limits(&[]);
    wait_until("calls show the end of the limit", async || {
        call(second).await;
        learned(second, serde_json::Value::Null)
    })
    .await;
    let start = Instant::now();
    wait_until("all know", async || {
        [first, far].iter().all(|n| learned(n, serde_json::Value::Null))
    })
    .await;
    assert!(start.elapsed() < CONTACT_BOUND, "{:?}", start.elapsed());
}

/// Such an engine answers only the planner's status requests, whose responses carry the limit and
/// its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_of_an_engine_behind_the_first_is_observed_and_ends() {
    let cluster = Cluster::new();
    let [first, behind] = ["a", "b"].map(|id| cluster.engine(id, "llm"));
    first.set_layers(0, 4);
    behind.set_layers(4, 8);
    first.set_behavior(Behavior::Stream(3, Duration::from_millis(1)));
    let node = cluster.node().await;
    let stream = async || caller(&node).call(Method::POST, "/tell/x", "body").await.unwrap().status;
    assert_eq!(stream().await, 200);
    behind.set_limits(&["0"]);
    wait_until("the limit is known", async || stream().await == 503).await;
    let before = first.requests().len();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        stream().await;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    assert!(
        first.requests().len() <= before + 2,
        "{} in three seconds",
        first.requests().len() - before
    );
    behind.set_limits(&[]);
    let start = Instant::now();
    wait_until("the limit has ended", async || {
        [stream().await, stream().await, stream().await] == [200; 3]
    })
    .await;
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
}

/// An engine with a limit of 0 is tried now and then, and used again once it drops the limit;
/// meanwhile callers are refused immediately with a retry time.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_of_zero_does_not_exclude_an_engine_for_ever() {
    let cluster = Cluster::new();
    let engine = cluster.engine("a", "api");
    let node = cluster.node().await;
    engine.set_limits(&["0"]);
    let get = async || caller(&node).call(Method::GET, "/get/x", "").await.unwrap();
    assert_eq!(get().await.status, 200, "nothing is known yet");
    let start = Instant::now();
    let refused = get().await;
    assert!(start.elapsed() < Duration::from_millis(300), "{:?}", start.elapsed());
    let text = String::from_utf8_lossy(&refused.body).into_owned();
    assert!(
        refused.status == 503 && text.contains("\"limited\"") && text.contains("not_run"),
        "{text}"
    );
    assert!(text.contains("takes 0 requests a second from all nodes"), "{text}");
    let retry_after = refused.header("retry-after").unwrap().parse::<f64>().unwrap();
    assert!((0.1..=1.5).contains(&retry_after), "{retry_after}");
    wait_until("the engine is tried", async || get().await.status == 200).await;
    assert!(engine.requests().len() <= 3, "{}", engine.requests().len());
    engine.set_limits(&[]);
    wait_until("the engine is used again", async || {
        let served = [get().await, get().await, get().await];
        served.iter().all(|r| r.status == 200)
    })
    .await;
}

/// New nodes read the limit from the store when no running node knows it; the engine's responses
/// end it as usual.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_is_known_to_nodes_that_start_after_all_were_killed() {
    let cluster = Cluster::new();
    let engine = cluster.engine("a", "api");
    let get = async |node: &GatewayProcess| {
        caller(node).call(Method::GET, "/get/x", "").await.unwrap().status
    };
    let node = cluster.node().await;
    engine.set_limits(&["0"]);
    assert_eq!(get(&node).await, 200, "nothing is known yet");
    wait_until("the store has the limit", async || !node.events("limits_stored").is_empty()).await;
    drop(node);
    let before = engine.requests().len();
    let nodes = [cluster.start("n1", &json!({})), cluster.start("n2", &json!({}))];
    for node in &nodes {
        node.wait_ready().await.unwrap();
        assert_eq!(get(node).await, 503);
        let known = node.events("engine_limited");
        assert!(known.iter().any(|e| e["by"] == "the store" && e["limit"] == 0.0), "{known:?}");
    }
    assert_eq!(engine.requests().len(), before);
    engine.set_limits(&[]);
    wait_until("the limit has ended", async || {
        [get(&nodes[0]).await, get(&nodes[0]).await, get(&nodes[0]).await] == [200; 3]
    })
    .await;
    wait_until("the store has no limit any more", async || {
        let stored = nodes.iter().flat_map(|n| n.events("limits_stored"));
        stored.into_iter().any(|e| e["engines"] == 0)
    })
    .await;
}

/// Such an engine answers no calls, and new nodes have seen none of its responses to status
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_of_an_engine_behind_the_first_ends_after_all_nodes_were_killed() {
    let cluster = Cluster::new();
    let [first, behind] = ["a", "b"].map(|id| cluster.engine(id, "llm"));
    first.set_layers(0, 4);
    behind.set_layers(4, 8);
    first.set_behavior(Behavior::Stream(3, Duration::from_millis(1)));
    let stream = async |node: &GatewayProcess| {
        caller(node).call(Method::POST, "/tell/x", "body").await.unwrap().status
    };
    let node = cluster.node().await;
    behind.set_limits(&["0"]);
    wait_until("the store has the limit", async || !node.events("limits_stored").is_empty()).await;
    drop(node);
    behind.set_limits(&[]);
    let node = cluster.start("n1", &json!({}));
    node.wait_ready().await.unwrap();
    wait_until("the limit is known", async || {
        node.events("engine_limited").iter().any(|e| e["by"] == "the store")
    })
    .await;
    let start = Instant::now();
    wait_until("the limit has ended", async || {
        [stream(&node).await, stream(&node).await, stream(&node).await] == [200; 3]
    })
    .await;
    assert!(start.elapsed() < Duration::from_secs(6), "{:?}", start.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_limits_are_ignored_and_the_lower_of_two_holds_until_a_restart() {
    let cluster = Cluster::new();
    let engine = cluster.engine("a", "api");
    let node = cluster.node().await;
    let get = async || caller(&node).call(Method::GET, "/get/x", "").await.unwrap().status;
    for malformed in ["-1", "few", "NaN", ""] {
        engine.set_limits(&[malformed]);
        for _ in 0..3 {
            assert_eq!(get().await, 200, "{malformed}");
        }
    }
    engine.set_limits(&["1e9"]);
    for _ in 0..20 {
        assert_eq!(get().await, 200, "the limit is far above the demand");
    }
    engine.set_limits(&["1e9", "0"]);
    assert_eq!(get().await, 200, "this response carries the limit");
    // One right may have been saved.
    let statuses = [get().await, get().await];
    assert_eq!(statuses[1], 503, "{statuses:?}");
    engine.set_limits(&[]);
    engine.restart();
    engine.register("ready");
    wait_until("the restarted engine is used", async || get().await == 200).await;
    assert_eq!([get().await, get().await], [200, 200]);
}
