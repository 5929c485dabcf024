//! Moves of streams off a lost engine within the maximum pause that their route states.
//!
//! Guards against streams that are moved only after their callers count them as late, and against
//! streams that each wait for their own silence although the loss of their engine is known.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

mod gateway;

use std::path::Path;
use std::time::{Duration, Instant};

use gateway::{Cluster, KEY, wait_until};
use heathpitch_standin::{Behavior, Caller, Engine, GatewayProcess, RouteSpec};
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use serde_json::{Value, json};

/// Longest pause that callers accept, milliseconds.
const MAX_PAUSE_MS: u64 = 250;
/// Time between events that is longer than the maximum pause.
const LATE_EVENTS: Duration = Duration::from_millis(900);

/// Time between the last events of two streams; together with a check, well below a silence threshold.
const OFFSET: Duration = Duration::from_millis(60);

/// Time between events that is longer than the shortest silence threshold, and shorter than the
/// 300 ms between two probes of an engine that no event has passed since.
const PAUSED_EVENTS: Duration = Duration::from_millis(150);
/// Events of a stream with such pauses.
const PAUSES: u64 = 20;
/// Time between two probes of an engine, milliseconds.
const PROBE_INTERVAL_MS: u128 = 300;

/// Time between new streams: below the 80 ms in which data shows that an engine works.
const NEW_STREAM_INTERVAL: Duration = Duration::from_millis(25);

/// A service that streams of ranks 0 and 1 use: engine `a` is the first one, `b` and `c` hold the other
/// layers.
struct Scene {
    cluster: Cluster,
    head: Engine,
    others: [Engine; 2],
}

impl Scene {
    fn new(events: Duration) -> Self {
        let mut cluster = Cluster::new();
        let stream = |prefix, rank| RouteSpec::stream(prefix, "llm").rank(rank);
        cluster.config.routes = vec![
            stream("/urgent/", 0).max_pause(MAX_PAUSE_MS),
            stream("/other/", 1).max_pause(MAX_PAUSE_MS),
        ];
        cluster.configure();
        let [head, b, c] = ["a", "b", "c"].map(|id| cluster.engine(id, "llm"));
        head.set_layers(0, 4);
        b.set_layers(4, 8);
        c.set_layers(4, 8);
        head.set_behavior(Behavior::Stream(12, events));
        Self { cluster, head, others: [b, c] }
    }

    async fn node(&self, mode: &str) -> GatewayProcess {
        let binary = Path::new(env!("CARGO_BIN_EXE_heathpitchd"));
        let settings = json!({ "load": { "recovery": mode } });
        let store = self.cluster.store.address();
        let node = GatewayProcess::spawn_with(binary, store, "n1", "mem", settings).unwrap();
        node.wait_ready().await.unwrap();
        wait_until("the node knows the fleet", async || {
            node.metrics().await.is_ok_and(|text| text.contains("heathpitch_nodes 1"))
        })
        .await;
        node
    }

    /// Opens a stream and waits for its first event.
    async fn open(&self, node: &GatewayProcess, target: &str) -> Incoming {
        let caller = Caller::new(node.listen).key(KEY);
        let (reply, mut body) = caller.open(Method::POST, target, "prompt").await.unwrap();
        assert_eq!(reply.status, 200);
        body.frame().await.unwrap().unwrap();
        body
    }

    /// The engine behind the first one of the last stream.
    fn used(&self) -> &Engine {
        let path = self.head.requests().pop().unwrap().path().unwrap().to_owned();
        let on = |e: &&Engine| path.contains(&format!("{}=", e.address));
        self.others.iter().find(on).unwrap()
    }

    /// Opens one stream, and after [`OFFSET`] another one through the same engine behind the first one;
    /// returns that engine.
    async fn open_two(
        &self,
        node: &GatewayProcess,
        targets: [&str; 2],
        bodies: &mut Vec<Incoming>,
    ) -> &Engine {
        bodies.push(self.open(node, targets[0]).await);
        let engine = self.used();
        tokio::time::sleep(OFFSET).await;
        loop {
            bodies.push(self.open(node, targets[1]).await);
            if self.used().id == engine.id {
                return engine;
            }
        }
    }
}

fn moves(node: &GatewayProcess) -> Vec<Value> {
    let lines = node.events("call_rerouted").into_iter();
    lines
        .map(|l| json!({ "rank": l["rank"], "silent_ms": l["silent_ms"], "read_ms": l["read_ms"] }))
        .collect()
}

async fn metric(node: &GatewayProcess, line: &str) -> bool {
    node.metrics().await.is_ok_and(|text| text.lines().any(|l| l == line))
}

/// Guards against moves that leave no time to resume within the maximum pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_exits_is_moved_and_resumes_within_its_pause() {
    let scene = Scene::new(LATE_EVENTS);
    // The next event follows the move, so that only the node decides when it comes.
    scene.head.set_behavior(Behavior::StallUntilReroute(1, 12));
    let node = scene.node("auto").await;
    let mut bodies = vec![scene.open(&node, "/urgent/x").await];
    scene.used().crash();
    wait_until("the stream is moved", async || !moves(&node).is_empty()).await;
    let moved = moves(&node).remove(0);
    assert_eq!(moved["rank"], 0);
    assert!(moved["read_ms"].as_u64().is_some_and(|ms| ms < 20), "{moved}");
    assert!(moved["silent_ms"].as_u64().is_some_and(|ms| ms < MAX_PAUSE_MS), "{moved}");
    wait_until("the move counts as in time", async || {
        metric(&node, "heathpitch_moves_total{result=\"in_time\"} 1").await
    })
    .await;
    let body = bodies.remove(0).collect().await.unwrap().to_bytes();
    assert!(body.ends_with(b"data: 12 of a\n\n"), "{body:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_move_after_which_the_next_event_is_late_counts_as_late() {
    let scene = Scene::new(LATE_EVENTS);
    let node = scene.node("auto").await;
    let _body = scene.open(&node, "/other/x").await;
    scene.used().crash();
    wait_until("the move counts as late", async || {
        metric(&node, "heathpitch_moves_total{result=\"late\"} 1").await
    })
    .await;
    assert_eq!(moves(&node)[0]["rank"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_that_one_stream_finds_moves_the_others_too() {
    let scene = Scene::new(LATE_EVENTS);
    let node = scene.node("auto").await;
    let mut bodies = Vec::new();
    let lost = scene.open_two(&node, ["/urgent/x", "/other/x"], &mut bodies).await;
    lost.crash();
    wait_until("both streams are moved", async || {
        let ranks: Vec<_> = moves(&node).iter().map(|m| m["rank"].as_u64()).collect();
        [0, 1].iter().all(|rank| ranks.contains(&Some(*rank)))
    })
    .await;
    let silent = |rank| {
        let moves = moves(&node);
        moves.iter().find(|m| m["rank"] == rank).unwrap()["silent_ms"].as_u64().unwrap()
    };
    assert!(silent(1) + OFFSET.as_millis() as u64 / 2 <= silent(0), "{:?}", moves(&node));
}

/// Guards against streams just sent through a lost engine that count as a sign that it works.
#[tokio::test(flavor = "multi_thread")]
async fn new_streams_do_not_delay_the_discovery_of_a_lost_engine() {
    let scene = Scene::new(LATE_EVENTS);
    let node = scene.node("auto").await;
    let _body = scene.open(&node, "/urgent/x").await;
    let lost = scene.used();
    scene.head.set_behavior(Behavior::Hang);
    lost.crash();
    let listen = node.listen;
    let calls = tokio::spawn(async move {
        loop {
            let caller = Caller::new(listen).key(KEY);
            tokio::spawn(async move { caller.open(Method::POST, "/other/x", "prompt").await });
            tokio::time::sleep(NEW_STREAM_INTERVAL).await;
        }
    });
    let is_first = |m: &Value| m["rank"] == 0;
    wait_until("the stream is moved", async || moves(&node).iter().any(is_first)).await;
    calls.abort();
    let moved = moves(&node).into_iter().find(is_first).unwrap();
    assert!(moved["silent_ms"].as_u64().is_some_and(|ms| ms < MAX_PAUSE_MS), "{moved}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_stream_of_a_less_urgent_rank_waits_a_bounded_time() {
    let mut scene = Scene::new(LATE_EVENTS);
    // Its pause is over before the silence threshold.
    scene.cluster.config.routes[1] = RouteSpec::stream("/other/", "llm").rank(1).max_pause(100);
    scene.cluster.config.version += 1;
    scene.cluster.configure();
    let node = scene.node("auto").await;
    let mut bodies = Vec::new();
    // Half of the demand is more urgent.
    let lost = scene.open_two(&node, ["/urgent/x", "/other/x"], &mut bodies).await;
    lost.crash();
    let is_other = |m: &Value| m["rank"] == 1;
    wait_until("the stream is moved", async || moves(&node).iter().any(is_other)).await;
    let moved = moves(&node).into_iter().find(is_other).unwrap();
    let silent = moved["silent_ms"].as_u64().unwrap();
    assert!((260..LATE_EVENTS.as_millis() as u64).contains(&silent), "110 and 150 ms: {moved}");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_recovery_streams_are_moved_as_before() {
    let scene = Scene::new(LATE_EVENTS);
    let node = scene.node("off").await;
    let _body = scene.open(&node, "/urgent/x").await;
    scene.used().crash();
    wait_until("the stream is moved", async || !moves(&node).is_empty()).await;
    let moved = moves(&node).remove(0);
    assert!(moved["read_ms"].is_null(), "no forecast is made: {moved}");
    assert!(moved["silent_ms"].as_u64().is_some_and(|ms| ms >= 160), "{moved}");
}

/// Plays a stream whose route states `max_pause` and whose events all come after [`PAUSED_EVENTS`], and
/// returns the number of probes and the duration, milliseconds.
async fn probes_of_paused_stream(max_pause: u64, slowdowns: [f64; 2]) -> (u64, u128) {
    let mut scene = Scene::new(PAUSED_EVENTS);
    scene.cluster.config.routes[0] =
        RouteSpec::stream("/urgent/", "llm").rank(0).max_pause(max_pause);
    scene.cluster.config.version += 1;
    scene.cluster.configure();
    scene.head.set_behavior(Behavior::Stream(PAUSES, PAUSED_EVENTS));
    scene.others[1].deregister();
    let node = scene.node("auto").await;
    for (engine, slowdown) in [&scene.head, &scene.others[0]].into_iter().zip(slowdowns) {
        engine.set_slowdown(slowdown);
    }
    let reported = slowdowns.iter().filter(|slowdown| **slowdown > 1.0).count();
    wait_until("the slowdowns are reported", async || {
        node.events("engine_paced").len() >= reported
    })
    .await;
    let start = Instant::now();
    let mut body = scene.open(&node, "/urgent/x").await;
    while body.frame().await.is_some_and(|frame| frame.is_ok()) {}
    let text = node.metrics().await.unwrap();
    assert!(!text.contains("heathpitch_engine_probes_total{result=\"failed\"}"), "{text}");
    let probes = text.lines().find_map(|line| {
        line.strip_prefix("heathpitch_engine_probes_total{result=\"answered\"} ")?.parse().ok()
    });
    (probes.unwrap_or(0), start.elapsed().as_millis())
}

/// Probes of `engines` engines in a time, at the interval that holds for all streams.
fn probes_at_interval(engines: u64, elapsed: u128) -> u64 {
    engines * (elapsed / PROBE_INTERVAL_MS + 1) as u64
}

/// Guards against probes of healthy engines after each event of a stream that is late already.
#[tokio::test(flavor = "multi_thread")]
async fn engines_of_a_late_stream_are_not_probed_after_each_event() {
    // Each pause exceeds the maximum, so that nothing is gained by a move.
    let (probes, elapsed) = probes_of_paused_stream(100, [1.0; 2]).await;
    assert!(probes <= probes_at_interval(2, elapsed), "{probes} probes in {elapsed} ms");
}

/// Guards against probes of healthy engines after each event of a stream that a slow engine delays.
#[tokio::test(flavor = "multi_thread")]
async fn engines_beside_a_slow_one_are_not_probed_after_each_event() {
    let (probes, elapsed) = probes_of_paused_stream(200, [1.0, 5.0]).await;
    // The slow engine may be probed after each event.
    let all = probes_at_interval(1, elapsed) + PAUSES;
    assert!(probes <= all, "{probes} probes in {elapsed} ms");
}

/// Guards against late moves: the engines of a stream that is in time are probed after each silence.
#[tokio::test(flavor = "multi_thread")]
async fn engines_of_a_stream_in_time_are_probed_after_each_event() {
    let mut played = Vec::new();
    // A busy machine may delay an event by 50 ms, after which the stream is late.
    while played.len() < 3 {
        let (probes, elapsed) = probes_of_paused_stream(200, [1.0; 2]).await;
        if probes > probes_at_interval(2, elapsed) {
            return;
        }
        played.push((probes, elapsed));
    }
    panic!("probes and milliseconds: {played:?}");
}

/// Guards against late streams that stay on a lost engine: its next probe is due after the interval.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_stream_is_moved_after_the_loss_of_an_engine_that_answered_a_probe() {
    let mut scene = Scene::new(PAUSED_EVENTS);
    scene.cluster.config.routes[0] = RouteSpec::stream("/urgent/", "llm").rank(0).max_pause(100);
    scene.cluster.config.version += 1;
    scene.cluster.configure();
    scene.head.set_behavior(Behavior::Stream(PAUSES, PAUSED_EVENTS));
    let node = scene.node("auto").await;
    let _body = scene.open(&node, "/urgent/x").await;
    wait_until("a probe is answered", async || {
        let text = node.metrics().await.unwrap_or_default();
        text.contains("heathpitch_engine_probes_total{result=\"answered\"}")
    })
    .await;
    scene.used().crash();
    let start = Instant::now();
    wait_until("the stream is moved", async || !moves(&node).is_empty()).await;
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_secs(1), "300 ms and a silence: {elapsed:?}");
}
