//! How long what engines ask for binds, whom, and what callers are told.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::time::{Duration, Instant};

use gateway::{KEY, World, status, wait};
use heathpitch_standin::{Behavior, Caller, Engine, GatewayProcess, LinkMode, Reply};
use hyper::Method;
use serde_json::Value;

/// Time within which all nodes hear of what one of them heard, as agreed on the smallest deployments.
const CONTACT: Duration = Duration::from_millis(3_000);

fn caller(node: &GatewayProcess) -> Caller {
    Caller::new(node.listen).key(KEY)
}

async fn get(node: &GatewayProcess) -> Reply {
    caller(node).call(Method::GET, "/get/x", "").await.unwrap()
}

/// Turns away what comes, and asks for this rest.
fn tire(engine: &Engine, rest: &str) {
    engine.set_retry_after(rest);
    engine.set_behavior(Behavior::Refuse);
}

fn is(event: &Value, engine: &Engine) -> bool {
    event["engine"] == engine.id.as_str()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_finds_all_engines_resting_is_told_so_at_once_and_when_to_come() {
    let world = World::new();
    let engines = [world.engine("a", "api"), world.engine("b", "api")];
    engines.iter().for_each(|e| tire(e, "1.2"));
    let node = world.node().await;
    let begun = Instant::now();
    assert_eq!(get(&node).await.status, 503);
    let mut backs = Vec::new();
    for _ in 0..6 {
        let asked = Instant::now();
        let reply = get(&node).await;
        assert!(asked.elapsed() < Duration::from_millis(100), "{:?}", asked.elapsed());
        assert_eq!((reply.status, reply.digest()), (503, None));
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(text.contains("resting") && text.contains("not_run"), "{text}");
        backs.push(reply.header("retry-after").unwrap().parse::<f64>().unwrap());
    }
    let most = 0.3 * 5.0;
    assert!(backs.iter().all(|b| (0.5..=most).contains(b)), "as the rest is over: {backs:?}");
    assert!(backs.iter().any(|b| *b != backs[0]), "not all at once: {backs:?}");
    let came: usize = engines.iter().map(|e| e.requests().len()).sum();
    assert_eq!(came, 2, "each turned one away");
    engines.iter().for_each(|e| e.set_behavior(Behavior::Echo));
    wait("an engine is taken up again", async || get(&node).await.status == 200).await;
    assert!(begun.elapsed() >= Duration::from_millis(1_200), "{:?}", begun.elapsed());
}

/// What was on its way when rest was asked for comes back later, with other times and with none.
#[tokio::test(flavor = "multi_thread")]
async fn the_longest_rest_that_was_asked_for_holds() {
    let world = World::new();
    let engine = world.engine("a", "api");
    let node = world.node().await;
    tire(&engine, "2");
    get(&node).await;
    let begun = Instant::now();
    // Nothing reaches it any more that it could answer otherwise; its check is not asked for either.
    for rest in ["0.1", "0", "nonsense", "-5", ""] {
        tire(&engine, rest);
        get(&node).await;
    }
    wait("it is asked again", async || {
        get(&node).await;
        engine.requests().len() > 1
    })
    .await;
    assert!(begun.elapsed() >= Duration::from_millis(1_950), "{:?}", begun.elapsed());
    assert_eq!(engine.health_checks().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_time_that_cannot_be_read_is_no_rest_and_a_very_long_one_ends_with_its_engine_s_life() {
    let world = World::new();
    let engine = world.engine("a", "api");
    let node = world.node().await;
    for nonsense in ["soon", "-3", "NaN", "Fri, 04 Dec 2026 00:00:00 GMT"] {
        tire(&engine, nonsense);
        get(&node).await;
        engine.set_behavior(Behavior::Echo);
        assert_eq!(get(&node).await.status, 200, "{nonsense}");
    }
    tire(&engine, "1e300");
    get(&node).await;
    engine.set_behavior(Behavior::Echo);
    assert_eq!(get(&node).await.status, 503);
    engine.restart();
    engine.register("ready");
    wait("its new life is used", async || get(&node).await.status == 200).await;
}

/// Its entry lapses and comes back, as entries do when the store was away.
#[tokio::test(flavor = "multi_thread")]
async fn what_an_engine_asked_for_outlives_its_entry() {
    let world = World::new();
    let (tired, leaving) = (world.engine("a", "api"), world.engine("b", "api"));
    let node = world.node().await;
    leaving.set_draining(true);
    tire(&tired, "60");
    wait("both have said so", async || {
        get(&node).await;
        node.events("engine_wished").len() >= 2
    })
    .await;
    let came = tired.requests().len() + leaving.requests().len();
    for engine in [&tired, &leaving] {
        engine.deregister();
        wait("it is gone", async || node.events("engine_gone").iter().any(|e| is(e, engine))).await;
        let listed = async || node.events("engine_listed").iter().filter(|e| is(e, engine)).count();
        let before = listed().await;
        engine.register("ready");
        wait("it is back", async || listed().await > before).await;
    }
    for _ in 0..10 {
        assert_eq!(get(&node).await.status, 503);
    }
    assert_eq!(tired.requests().len() + leaving.requests().len(), came);
}

/// The store is away, and its entry says that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn every_node_leaves_an_engine_that_said_to_one_of_them_that_it_leaves() {
    let world = World::new();
    let (leaving, other) = (world.engine("a", "api"), world.engine("b", "api"));
    let (planner, link, follower) = world.planner_and_follower().await;
    let far = world.start_in("atl", "n3");
    far.wait_ready().await.unwrap();
    wait("planners know each other", async || !far.events("neighbour_changed").is_empty()).await;
    link.set_mode(LinkMode::Blackhole);
    leaving.set_draining(true);
    wait("the follower has heard it", async || {
        assert_eq!(status(&caller(&follower), "/open/x").await, 200);
        leaving.requests().last().is_some_and(|s| s.at.elapsed() < Duration::from_millis(500))
            && !follower.events("engine_leaves").is_empty()
    })
    .await;
    let told = Instant::now();
    for node in [&planner, &far] {
        wait("it knows", async || !node.events("engine_leaves").is_empty()).await;
        assert_eq!(node.events("engine_leaves")[0]["by"], "another node");
    }
    assert!(told.elapsed() < CONTACT, "{:?}", told.elapsed());
    println!("known to all after {:?}", told.elapsed());
    let came = leaving.requests().len();
    for node in [&planner, &far, &follower] {
        for _ in 0..5 {
            assert_eq!(status(&caller(node), "/open/x").await, 200);
        }
    }
    assert_eq!(leaving.requests().len(), came);
    assert!(!other.requests().is_empty());
    let begun = world.start_in("atl", "n4");
    begun.wait_ready().await.unwrap();
    wait("one that begins is told", async || !begun.events("engine_leaves").is_empty()).await;
}

/// A word that was wrong must not cost a service its only engine for good.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_is_there_long_after_and_says_it_no_more_is_used_again() {
    let world = World::new();
    let engine = world.engine("a", "api");
    let node = world.node().await;
    engine.set_draining(true);
    assert_eq!(get(&node).await.status, 200);
    assert_eq!(get(&node).await.status, 503);
    // Half a minute passes.
    for i in 1..=4 {
        node.signal("USR2").unwrap();
        wait("it is over", async || node.events("vm_suspended").len() == i).await;
    }
    wait("it is asked whether it leaves", async || !engine.health_checks().is_empty()).await;
    assert_eq!(get(&node).await.status, 503, "it said so again");
    engine.set_draining(false);
    wait("it is used again", async || get(&node).await.status == 200).await;
    wait("the log says so", async || !node.events("engine_stays").is_empty()).await;
}

/// Another engine has taken the address, and is leaving itself.
#[tokio::test(flavor = "multi_thread")]
async fn another_engine_s_word_at_the_same_address_is_not_taken_for_this_one_s() {
    let world = World::new();
    let other = world.engine("b", "one");
    other.set_draining(true);
    world.store.register_engine("gone", "api", "mem", other.address);
    let node = world.node().await;
    assert_eq!(get(&node).await.status, 503);
    assert_eq!(node.events("engine_leaves").len() + node.events("engine_wished").len(), 0);
}

/// The engine that turns streams away stands behind the first one of their path, which tells its address.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_round_an_engine_behind_the_first_that_asked_for_rest() {
    let world = World::new();
    let [a, b, c, d] = ["a", "b", "c", "d"].map(|id| world.engine(id, "llm"));
    [&a, &d].iter().for_each(|e| e.set_layers(0, 4));
    [&b, &c].iter().for_each(|e| e.set_layers(4, 8));
    let node = world.node().await;
    let heads = [&a, &d];
    heads.iter().for_each(|e| e.set_behavior(Behavior::RefuseVia(b.address)));
    heads.iter().for_each(|e| e.set_retry_after("30"));
    let tell = async || caller(&node).call(Method::POST, "/tell/x", "prompt").await.unwrap();
    let through = |engine: &Engine| {
        let seen = [a.requests(), d.requests()].concat();
        seen.iter().filter(|s| s.path().unwrap().contains(&engine.address.to_string())).count()
    };
    for _ in 0..12 {
        // The one that answered rests as well as the one at fault, so that no path may be left.
        let reply = tell().await;
        assert!(reply.status == 200 || reply.status == 503, "{}", reply.status);
    }
    assert!(through(&b) <= 1, "{} through it, {} through the other", through(&b), through(&c));
    assert!(through(&c) + through(&b) > 0);
}

/// A stream that runs is not cut off; one that comes then goes elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn running_streams_go_on_at_an_engine_that_asks_for_rest_or_leaves() {
    let world = World::new();
    let (a, b) = (world.engine("a", "one"), world.engine("b", "one"));
    [&a, &b].iter().for_each(|e| e.set_behavior(Behavior::Stream(40, Duration::from_millis(20))));
    let node = world.node().await;
    let long = async || caller(&node).call(Method::POST, "/whole/x", "long").await.unwrap();
    let wish = async {
        wait("one runs", async || a.requests().len() + b.requests().len() == 1).await;
        let used = if a.requests().is_empty() { &b } else { &a };
        tire(used, "5");
        used.set_draining(true);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let replies = futures::future::join_all((0..4).map(|_| long())).await;
        assert!(replies.iter().all(|r| r.status == 200 && r.complete));
        used.requests().len()
    };
    let (running, came) = tokio::join!(long(), wish);
    assert!(running.complete && running.events() == (1..=40).collect::<Vec<_>>());
    assert!(came <= 3, "those that were under way: {came}");
}

/// It has the least load of all, as it answers at once.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_turns_calls_away_without_a_time_is_passed_over_for_a_moment() {
    let world = World::new();
    let (away, _other) = (world.engine("a", "api"), world.engine("b", "api"));
    away.set_behavior(Behavior::Refuse);
    let node = world.node().await;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(1_000) {
        assert_eq!(get(&node).await.status, 200);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let came = away.requests().len();
    assert!((1..=3).contains(&came), "once in 0.6 s: {came}");
}
