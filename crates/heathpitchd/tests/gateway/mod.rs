//! Shared set-up of the gateway's process tests.

#![allow(dead_code, reason = "each test file uses only some of the items")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

pub(crate) mod partition;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use heathpitch_standin::{Caller, Engine, GatewayProcess, Proxy, RouteSpec, Store, TestConfig};
use hyper::Method;
use serde_json::{Value, json};

/// Timeout of every wait.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// API key of the client account `desk`.
pub(crate) const KEY: &str = "key-of-desk";
/// Retries allowed beyond the ratio, unless a test sets them: nodes that have just started issue only a part.
pub(crate) const AMPLE_RETRIES: f64 = 10_000.0;
/// Second API key of the same account.
pub(crate) const KEY_2: &str = "second-key-of-desk";

/// A store with a configuration, for which nodes and engines can be started.
pub(crate) struct Cluster {
    pub(crate) store: Store,
    pub(crate) config: TestConfig,
}

impl Cluster {
    /// A store with the default configuration.
    pub(crate) fn new() -> Self {
        let store = Store::spawn().unwrap();
        let config = TestConfig {
            version: 3,
            routes: vec![
                RouteSpec::idempotent("/get/", "api"),
                RouteSpec::at_most_once("/book/", "api"),
                RouteSpec::stream("/tell/", "llm"),
                RouteSpec::stream("/whole/", "one"),
                RouteSpec::idempotent("/open/", "api").public(),
                RouteSpec::idempotent("/short/", "api").timeout(400),
            ],
            services: vec!["api".to_owned(), "one".to_owned()],
            models: vec!["llm".to_owned()],
            tenants: vec![("desk".to_owned(), vec![KEY.to_owned(), KEY_2.to_owned()])],
        };
        let cluster = Self { store, config };
        cluster.configure();
        cluster
    }

    /// Writes the configuration to the store.
    pub(crate) fn configure(&self) {
        self.store.put_config(&self.config.json());
    }

    /// Starts an engine of a service.
    pub(crate) fn engine(&self, id: &str, service: &str) -> Engine {
        let kind = (service == "llm").then_some("small");
        Engine::spawn(&self.store, id, service, "mem", kind).unwrap()
    }

    /// Starts a node and waits until it is ready.
    pub(crate) async fn node(&self) -> GatewayProcess {
        self.node_with(&json!({})).await
    }

    /// The same with other bounds.
    pub(crate) async fn node_with(&self, bounds: &Value) -> GatewayProcess {
        let node = self.start("n1", bounds);
        node.wait_ready().await.unwrap();
        wait_until("the node knows the fleet", async || {
            node.metrics().await.is_ok_and(|text| text.contains("heathpitch_nodes 1"))
        })
        .await;
        node
    }

    /// Starts a node without waiting until it is ready.
    pub(crate) fn start(&self, name: &str, bounds: &Value) -> GatewayProcess {
        spawn(self.store.address(), name, "mem", bounds)
    }

    /// Starts a node of another failure domain without waiting until it is ready.
    pub(crate) fn start_in(&self, domain: &str, name: &str) -> GatewayProcess {
        spawn(self.store.address(), name, domain, &json!({}))
    }

    /// The same with other bounds.
    pub(crate) fn start_with(&self, domain: &str, name: &str, bounds: &Value) -> GatewayProcess {
        spawn(self.store.address(), name, domain, bounds)
    }

    /// Starts a node on a small VM with these seeds.
    pub(crate) fn start_seeded(&self, name: &str, seeds: &[&str]) -> GatewayProcess {
        let binary = Path::new(env!("CARGO_BIN_EXE_heathpitchd"));
        let vm = json!({ "link_mbps": 20.0, "cpu_share": 0.12 });
        let bounds = json!({ "retry_slack": AMPLE_RETRIES });
        let settings = json!({ "seeds": seeds, "vm": vm, "bounds": bounds });
        GatewayProcess::spawn_with(binary, self.store.address(), name, "mem", settings).unwrap()
    }

    /// Starts a planner behind a proxy to the store, and a follower that it feeds.
    pub(crate) async fn planner_and_follower(&self) -> (GatewayProcess, Proxy, GatewayProcess) {
        let (planner, link) = self.start_behind("n1", &json!({}));
        planner.wait_ready().await.unwrap();
        wait_until("the first node is the planner", async || {
            !planner.events("domain_planner").is_empty()
        })
        .await;
        let other = self.start("n2", &json!({}));
        other.wait_ready().await.unwrap();
        wait_until("the second node is fed", async || is_fed(&other) == Some(true)).await;
        (planner, link, other)
    }

    /// Starts a node that uses the store at an address, without waiting until it is ready.
    pub(crate) fn start_at(&self, store: SocketAddr, name: &str) -> GatewayProcess {
        spawn(store, name, "mem", &json!({}))
    }

    /// Starts a node that reaches the store through a proxy, without waiting until it is ready.
    pub(crate) fn start_behind(&self, name: &str, bounds: &Value) -> (GatewayProcess, Proxy) {
        let link = Proxy::spawn(self.store.address()).unwrap();
        (spawn(link.address(), name, "mem", bounds), link)
    }
}

fn spawn(store: SocketAddr, name: &str, domain: &str, bounds: &Value) -> GatewayProcess {
    let binary = Path::new(env!("CARGO_BIN_EXE_heathpitchd"));
    let mut bounds = bounds.clone();
    if bounds["retry_slack"].is_null() {
        bounds["retry_slack"] = AMPLE_RETRIES.into();
    }
    GatewayProcess::spawn(binary, store, name, domain, &bounds).unwrap()
}

/// Status of the answer to a GET call.
pub(crate) async fn status(caller: &Caller, target: &str) -> u16 {
    caller.call(Method::GET, target, "").await.unwrap().status
}

/// Whether another node feeds this one, according to its last log line on that.
pub(crate) fn is_fed(node: &GatewayProcess) -> Option<bool> {
    node.events("feed_changed").last().map(|e| !e["planner"].is_null())
}

/// Whether the store answers a node, according to its last log line on that.
pub(crate) fn reachable(node: &GatewayProcess) -> Option<bool> {
    node.events("store_reachable").last().map(|e| e["reachable"] == true)
}

/// Unix time in milliseconds, as in a node's log.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
