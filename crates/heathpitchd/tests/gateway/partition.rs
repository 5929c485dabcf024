//! Nodes whose ways to engines are cut one by one.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use heathpitch_standin::{Behavior, Caller, Engine, GatewayProcess, LinkMode, Proxy, Reply, Scope};
use hyper::Method;

use super::{Cluster, KEY, wait_until};

/// Events of a stream.
pub(crate) const EVENTS: u64 = 3;
/// Time between events.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two calls of a kind to a node.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Layers of an engine without any.
const NO_LAYERS: (u32, u32) = (0, 0);

/// A kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A single answer that may be repeated.
    Idempotent,
    /// A single answer that runs at most once.
    AtMostOnce,
    /// A stream of one engine.
    Stream,
    /// A stream through engines that each hold a part of the layers.
    Layered,
}

impl CallKind {
    /// All of them.
    pub(crate) const ALL: [Self; 4] =
        [Self::Idempotent, Self::AtMostOnce, Self::Stream, Self::Layered];

    /// Service that runs it.
    pub(crate) fn service(self) -> &'static str {
        match self {
            Self::Idempotent | Self::AtMostOnce => "api",
            Self::Stream => "one",
            Self::Layered => "llm",
        }
    }

    /// Method and target of a call.
    pub(crate) fn request(self) -> (Method, &'static str) {
        match self {
            Self::Idempotent => (Method::GET, "/get/x"),
            Self::AtMostOnce => (Method::POST, "/book/x"),
            Self::Stream => (Method::POST, "/whole/x"),
            Self::Layered => (Method::POST, "/tell/x"),
        }
    }

    /// Whether a reply is a complete answer.
    pub(crate) fn is_served(self, reply: &Reply) -> bool {
        let events: Vec<u64> = (1..=EVENTS).collect();
        let answered = match self {
            Self::Idempotent | Self::AtMostOnce => true,
            Self::Stream | Self::Layered => reply.events() == events,
        };
        reply.status == 200 && reply.complete && answered
    }
}

/// Nodes that reach engines through proxies, which tell the nodes apart.
pub(crate) struct PartitionedFleet {
    pub(crate) cluster: Cluster,
    pub(crate) nodes: Vec<GatewayProcess>,
    pub(crate) engines: Vec<Engine>,
    proxies: HashMap<String, Proxy>,
}

/// # Lifecycle
impl PartitionedFleet {
    /// Starts a node in each of `domains`, and in each domain two engines of every service.
    pub(crate) async fn start(domains: &[&str]) -> Self {
        let cluster = Cluster::new();
        let mut nodes = Vec::new();
        for (number, domain) in domains.iter().enumerate() {
            nodes.push(cluster.start_in(domain, &format!("n{}", number + 1)));
        }
        let mut fleet = Self { cluster, nodes, engines: Vec::new(), proxies: HashMap::new() };
        let mut distinct = domains.to_vec();
        distinct.dedup();
        for domain in distinct {
            // The planner orders engines to fill gaps in the layers as soon as it sees some: no part of this list has
            // two engines for the same layers and none for the others.
            for (service, layers) in [
                ("api", NO_LAYERS),
                ("api", NO_LAYERS),
                ("one", NO_LAYERS),
                ("one", NO_LAYERS),
                ("llm", (0, 4)),
                ("llm", (4, 8)),
                ("llm", (0, 4)),
                ("llm", (4, 8)),
            ] {
                fleet.add_engine(service, domain, layers);
            }
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Starts an engine that nodes reach through a proxy.
    fn add_engine(&mut self, service: &str, domain: &str, layers: (u32, u32)) {
        let id = format!("{domain}-{service}-{}", self.engines.len());
        let kind = (service == "llm").then_some("small");
        // Nodes must not learn of its own address, nor connect before they are tracked.
        let mut engine =
            Engine::spawn_unlisted(&self.cluster.store, &id, service, domain, kind).unwrap();
        let proxy = Proxy::spawn(engine.address).unwrap();
        self.nodes.iter().for_each(|node| proxy.track(node.process()));
        engine.list_at(proxy.address());
        if service != "api" {
            engine.set_behavior(Behavior::Stream(EVENTS, EVENT_INTERVAL));
        }
        match layers {
            NO_LAYERS => engine.register("ready"),
            (first, end) => engine.set_layers(first, end),
        }
        self.proxies.insert(id, proxy);
        self.engines.push(engine);
    }

    /// Waits until every node serves calls of every kind.
    async fn wait_ready(&self) {
        let known = format!("heathpitch_nodes {}", self.nodes.len());
        for (index, node) in self.nodes.iter().enumerate() {
            node.wait_ready().await.unwrap();
            wait_until("the node knows the fleet", async || {
                node.metrics().await.is_ok_and(|text| text.lines().any(|line| line == known))
            })
            .await;
            for kind in CallKind::ALL {
                wait_until("the node serves", async || {
                    self.call(index, kind).await.is_ok_and(|reply| kind.is_served(&reply))
                })
                .await;
            }
        }
    }
}

/// # Links
impl PartitionedFleet {
    /// Sets how the connections of a node to the engines of these services are treated.
    pub(crate) fn cut(&self, node: usize, services: &[&str], mode: LinkMode, scope: Scope) {
        let process = self.nodes[node].process();
        let affected = self.engines.iter().filter(|e| services.iter().any(|s| e.id.contains(s)));
        for engine in affected {
            self.proxies[&engine.id].set_process_mode(process, Some(mode), scope);
        }
    }

    /// Cuts a node off from all engines.
    pub(crate) fn cut_off(&self, node: usize, mode: LinkMode) {
        self.cut(node, &["api", "one", "llm"], mode, Scope::All);
    }

    /// Has an engine refuse connections, as if it had exited.
    pub(crate) fn shut_down(&self, engine: &Engine) {
        self.proxies[&engine.id].shut_down();
    }

    /// Ends all cuts of a node.
    pub(crate) fn heal(&self, node: usize) {
        let process = self.nodes[node].process();
        self.proxies.values().for_each(|p| p.set_process_mode(process, None, Scope::All));
    }
}

/// # Calls
impl PartitionedFleet {
    /// A caller of a node.
    pub(crate) fn caller(&self, node: usize) -> Caller {
        Caller::new(self.nodes[node].listen).key(KEY)
    }

    /// Sends one call to a node, on a connection of its own.
    pub(crate) async fn call(
        &self,
        node: usize,
        kind: CallKind,
    ) -> Result<Reply, heathpitch_net::RpcError> {
        let (method, target) = kind.request();
        self.caller(node).call(method, target, "body").await
    }

    /// Calls a node for a time, and returns how many calls it served and how many it got.
    pub(crate) async fn serve(
        &self,
        node: usize,
        kind: CallKind,
        time: Duration,
    ) -> (usize, usize) {
        let (start, mut served, mut sent) = (Instant::now(), 0, 0);
        while start.elapsed() < time {
            let reply = self.call(node, kind).await;
            served += usize::from(reply.is_ok_and(|reply| kind.is_served(&reply)));
            sent += 1;
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        (served, sent)
    }

    /// Times that engines received the call with this id.
    pub(crate) fn received(&self, id: &str) -> usize {
        let of = |e: &Engine| e.requests().into_iter().filter(|r| r.id() == Some(id)).count();
        self.engines.iter().map(of).sum()
    }
}

/// # Observations
impl PartitionedFleet {
    /// Waits until a node finds that it is cut off from these services, or reaches them again.
    pub(crate) async fn wait_reach(&self, node: usize, services: &[&str], cut_off: bool) {
        let found = |service: &str| {
            let last = self.nodes[node].events("service_reach");
            let last = last.iter().rfind(|e| e["service"] == service).map(|e| e["cut_off"].clone());
            last == Some(cut_off.into())
        };
        wait_until("the node finds its reach changed", async || services.iter().all(|s| found(s)))
            .await;
    }

    /// Calls a node until it is found to be cut off from all services.
    pub(crate) async fn wait_cut_off(&self, node: usize) {
        let calls = async {
            loop {
                let calls = CallKind::ALL.map(|kind| self.serve(node, kind, CALL_INTERVAL));
                futures::future::join_all(calls).await;
            }
        };
        tokio::select! {
            () = calls => {}
            () = self.wait_reach(node, &["api", "one", "llm"], true) => {}
        }
    }

    /// Index of the node that a call was last forwarded to by `node`.
    pub(crate) async fn forwarded_to(&self, node: usize, id: &str) -> usize {
        let events = || {
            let events = self.nodes[node].events("call_forwarded");
            events.into_iter().filter(|e| e["request"] == id).collect::<Vec<_>>()
        };
        // Lines of the log are written a few times a second.
        wait_until("the node logs the call", async || !events().is_empty()).await;
        let last = events().pop().unwrap();
        let name = last["node"].as_str().unwrap();
        name.trim_start_matches('n').parse::<usize>().unwrap() - 1
    }

    /// Makes streams of one engine last for this many events with this interval.
    pub(crate) fn set_streams(&self, events: u64, interval: Duration) {
        let streaming = self.engines.iter().filter(|e| e.id.contains("one"));
        streaming.for_each(|e| e.set_behavior(Behavior::Stream(events, interval)));
    }
}
