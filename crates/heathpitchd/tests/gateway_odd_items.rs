//! Items of the store that no node or engine would write, and answers of engines about their state that none should give:
//! one of them must not end the nodes that read it, nor keep them from following the others.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use gateway::{Cluster, KEY, is_fed, status, wait_until};
use heathpitch_standin::{Caller, GatewayProcess, NESTING, RawEngine, Store, odd_entries};
use hyper::Method;
use serde_json::json;

/// Engines with odd answers, which are asked about their state together.
const ODD_ENGINES: usize = 8;
/// Layers that each of them holds.
const LAYERS: (u32, u32) = (0, 4);
/// Prefixes and keys that several writers share.
const SHARED: [&str; 6] = [
    "heathpitch/limits/",
    "heathpitch/quarantine/",
    "heathpitch/quarantine/part-",
    "heathpitch/planners/",
    "heathpitch/unknown/",
    "heathpitch/",
];

/// Writes each value under a key of its own among the engines', and some among those that nodes share.
fn put_all(store: &Store, round: usize) {
    for (number, value) in odd_entries().iter().enumerate() {
        store.put_bytes(&format!("servers/odd-{round}-{number}"), value);
        if number % 3 == round % 3 && value.len() < 2 * NESTING {
            for prefix in SHARED {
                store.put_bytes(&format!("{prefix}odd-{round}-{number}"), value);
            }
            store.put_bytes("heathpitch/exits", value);
        }
    }
    for planner in ["n9", "n9 127.0.0.1:99999", "n9 here", " ", "%zz 127.0.0.1:9"] {
        store.put_bytes("heathpitch/planners/odd", planner.as_bytes());
    }
    for limits in ["a 1 1e400", "a 99999999999999999999999999 2", "a -1 2 3 4 5", "%zz 1 1"] {
        store.put_bytes("heathpitch/limits/mem", limits.as_bytes());
    }
}

/// Waits until nodes list an engine that is new, and serve calls.
async fn follow_and_serve(cluster: &Cluster, nodes: &[GatewayProcess], id: &str) {
    let engine = cluster.engine(id, "api");
    for node in nodes {
        let caller = Caller::new(node.listen).key(KEY);
        wait_until("a new engine is listed", async || {
            node.events("engine_listed").iter().any(|e| e["engine"] == id)
        })
        .await;
        wait_until("calls are served", async || status(&caller, "/get/x").await == 200).await;
    }
    wait_until("nodes use it", async || {
        for node in nodes {
            status(&Caller::new(node.listen).key(KEY), "/get/x").await;
        }
        !engine.requests().is_empty()
    })
    .await;
}

/// Guards against nodes that end, or cease to follow the list, because of an entry that is nested too deeply, has a number
/// too large or a port out of range: at the start, by a watch, and by the feed of another node.
#[tokio::test(flavor = "multi_thread")]
async fn odd_items_of_other_writers_neither_end_nodes_nor_stop_them() {
    let cluster = Cluster::new();
    let _engine = cluster.engine("good", "api");
    put_all(&cluster.store, 0);
    let planner = cluster.start("n1", &json!({}));
    planner.wait_ready().await.unwrap();
    wait_until("it is planner", async || !planner.events("domain_planner").is_empty()).await;
    let follower = cluster.start("n2", &json!({}));
    follower.wait_ready().await.unwrap();
    wait_until("it is fed", async || is_fed(&follower) == Some(true)).await;
    let mut nodes = [planner, follower];
    put_all(&cluster.store, 1);
    follow_and_serve(&cluster, &nodes, "second").await;
    // A node that begins to read the store itself, and one that starts anew.
    nodes[0].signal("KILL").unwrap();
    put_all(&cluster.store, 2);
    nodes[0] = cluster.start("n3", &json!({}));
    nodes[0].wait_ready().await.unwrap();
    follow_and_serve(&cluster, &nodes, "third").await;
    let exited = nodes.iter_mut().any(|n| n.wait_exit(Duration::ZERO).is_some());
    assert!(!exited, "a node has ended by itself");
}

/// Answers to questions about an engine's state: odd values, and a report that is cut off anywhere.
fn state_answers() -> Vec<Vec<u8>> {
    let whole = |body: &[u8]| {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        [head.as_bytes(), body].concat()
    };
    let report = RawEngine::report(LAYERS);
    let cut = (0..report.len()).step_by(7).map(|sent| report[..sent].to_vec());
    odd_entries().iter().map(|entry| whole(entry)).chain(cut).collect()
}

/// Guards against nodes that end, or cease to serve, because of what an engine answers to a question about its state, or
/// because it closes the connection within that answer.
#[tokio::test(flavor = "multi_thread")]
async fn odd_answers_about_an_engines_state_neither_end_a_node_nor_stop_it() {
    let cluster = Cluster::new();
    let _engine = cluster.engine("good", "api");
    let rest = cluster.engine("rest", "llm");
    rest.set_layers(4, 8);
    let (answers, asked) = (Arc::new(state_answers()), Arc::new(AtomicUsize::new(0)));
    for number in 0..ODD_ENGINES {
        let (answers, count) = (answers.clone(), asked.clone());
        // It closes the connections of calls, which carry an id.
        let odd = RawEngine::spawn_closing(move |id| match id {
            "" => answers[count.fetch_add(1, Relaxed) % answers.len()].clone(),
            _ => Vec::new(),
        });
        let (id, address) = (format!("odd-{number}"), odd.await.unwrap().address);
        cluster.store.register_layers(&id, "llm", "mem", address, LAYERS);
    }
    let mut node = cluster.node().await;
    let caller = Caller::new(node.listen).key(KEY);
    wait_until("it is asked often, and other calls are served", async || {
        // The engines do not answer it.
        let _ = caller.call(Method::POST, "/tell/x", "prompt").await;
        status(&caller, "/get/x").await == 200 && asked.load(Relaxed) > answers.len()
    })
    .await;
    assert!(node.wait_exit(Duration::ZERO).is_none(), "the node has ended by itself");
}
