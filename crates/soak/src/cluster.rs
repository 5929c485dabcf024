//! Test cluster of a run: node processes, engines and the store, with operations that inject faults.

use std::collections::HashMap;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heathpitch_standin::{
    Behavior, Caller, Engine, GatewayProcess, LinkMode, LogLine, NodeLog, Proxy, RouteSpec, Scope,
    Store, StoreMode, TestConfig,
};
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::config_history::ConfigVersion;
use crate::error::SoakError;
use crate::fault::InvalidPart;
use crate::invariants::{DrainedEngine, EngineDisruption, History, NodeDisruption, RevokedKey};
use crate::load::{self, CallKind, CallRecord, FATAL_PART};
use crate::retry_limit::RetryLimit;
use crate::schedule::{LAYERED_ENGINES, NODES, PLAIN_ENGINES, STANDSTILL_NODES};
use crate::senders::Senders;

/// API key that is never revoked.
pub(crate) const API_KEY: &str = "key-of-desk";
/// Body of the request that crashes every engine which starts to run it.
pub(crate) const FATAL_BODY: &str = "fatal";
/// Time from the exit of an engine to the start of its replacement.
const RESPAWN_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the exit of an engine to the removal of its store entry.
const DEREGISTER_DELAY: Duration = Duration::from_millis(1_000);
/// Time from a restore of the store to the rewrite of configuration and engine entries.
const REWRITE_DELAY: Duration = Duration::from_millis(700);
/// Path prefix of the route that is added and removed.
pub(crate) const TOGGLED_PREFIX: &str = "/coming/";
/// Events in a complete stream.
pub(crate) const STREAM_EVENTS: u64 = 20;
/// Timeout of routes without streaming.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Timeout of the streaming route.
pub(crate) const STREAM_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Longest wait for an engine to exit before its slot is read again.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest pause between events that the routes of streams state, milliseconds.
const MAX_PAUSE_MS: u64 = 250;
/// Ends of the layer ranges of the model's first and second half.
const LAYER_RANGE_ENDS: (u32, u32) = (4, 8);
/// Longest time for a node to become ready or to exit.
const NODE_TIMEOUT: Duration = Duration::from_secs(9);
/// Bound on key revocation; short, so that a run reaches it.
const REVOKE_MS: u64 = 2_500;
/// The same in runs with configuration changes: with the short one, nodes refuse calls before an outdated
/// configuration shows.
const LONG_REVOKE_MS: u64 = 5_000;
/// Agreed limit on retries.
const RETRY_LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };

/// An engine and the proxy in front of it.
pub(crate) struct ProxiedEngine {
    pub(crate) engine: Engine,
    pub(crate) proxy: Proxy,
}

/// All processes of a run and the disruptions recorded so far.
pub(crate) struct TestCluster {
    binary: PathBuf,
    pub(crate) store: Store,
    config: Mutex<TestConfig>,
    /// Invalid part of the stored configuration.
    invalid_part: Mutex<Option<InvalidPart>>,
    versions: Mutex<Vec<ConfigVersion>>,
    store_proxies: Vec<Proxy>,
    nodes: Vec<Mutex<Option<GatewayProcess>>>,
    /// Logs of all node processes, also of those that have exited.
    logs: Mutex<Vec<(usize, NodeLog)>>,
    engines: Mutex<Vec<ProxiedEngine>>,
    /// Replaced engines; requests they received still count.
    replaced: Mutex<Vec<Engine>>,
    revoked_keys: Mutex<Vec<RevokedKey>>,
    /// Paused nodes and when each resumed.
    pauses: Mutex<Vec<(usize, Instant)>>,
    drained: Mutex<Vec<DrainedEngine>>,
    /// Calls that crash engines.
    fatal_calls: Mutex<Vec<CallRecord>>,
    node_disruptions: Mutex<Vec<NodeDisruption>>,
    /// Times in which all nodes and the store stood still.
    standstills: Mutex<Vec<Range<Instant>>>,
    /// Engines whose requests may have been delayed, or that restarted.
    engine_disruptions: Mutex<Vec<EngineDisruption>>,
    /// Nodes that are cut off from all engines.
    cuts: Mutex<HashMap<usize, (LinkMode, Scope)>>,
}

/// # Startup
impl TestCluster {
    /// Starts the store, the engines and the nodes; does not wait until the nodes are ready.
    pub(crate) async fn start(binary: PathBuf, nodes: usize) -> Result<Self, SoakError> {
        SoakError::check_binary(&binary)?;
        let store = Store::spawn()?;
        let store_proxies =
            (0..nodes).map(|_| Proxy::spawn(store.address())).collect::<Result<_, _>>()?;
        let cluster = Self {
            binary,
            store,
            config: Mutex::new(initial_config()),
            invalid_part: Mutex::default(),
            store_proxies,
            nodes: (0..nodes).map(|_| Mutex::new(None)).collect(),
            versions: Mutex::default(),
            logs: Mutex::default(),
            engines: Mutex::default(),
            replaced: Mutex::default(),
            revoked_keys: Mutex::default(),
            pauses: Mutex::default(),
            drained: Mutex::default(),
            fatal_calls: Mutex::default(),
            node_disruptions: Mutex::default(),
            standstills: Mutex::default(),
            engine_disruptions: Mutex::default(),
            cuts: Mutex::default(),
        };
        cluster.update_config(|_| {});
        for index in 0..PLAIN_ENGINES + LAYERED_ENGINES {
            let engine = cluster.spawn_engine(index, 0)?;
            cluster.engines.lock().push(engine);
        }
        for index in 0..nodes {
            cluster.start_node(index)?;
        }
        Ok(cluster)
    }

    fn spawn_engine(&self, index: usize, incarnation: u64) -> Result<ProxiedEngine, SoakError> {
        let id = format!("e{index}-{incarnation}");
        let layered = index >= PLAIN_ENGINES;
        let (service, kind) = if layered { ("llm", Some("small")) } else { ("api", None) };
        let mut engine = Engine::spawn(&self.store, &id, service, "mem", kind)?;
        engine.deregister();
        let proxy = Proxy::spawn(engine.address)?;
        (0..self.node_count()).for_each(|node| self.apply_cut(node, &proxy));
        engine.list_at(proxy.address());
        engine.set_behavior(default_behavior(index));
        engine.exit_on_body(FATAL_BODY);
        engine.exit_on_part(FATAL_PART);
        match index {
            i if i < PLAIN_ENGINES => engine.register("ready"),
            i if i % 2 == 1 => engine.set_layers(0, LAYER_RANGE_ENDS.0),
            _ => engine.set_layers(LAYER_RANGE_ENDS.0, LAYER_RANGE_ENDS.1),
        }
        Ok(ProxiedEngine { engine, proxy })
    }

    /// Starts a node.
    pub(crate) fn start_node(&self, index: usize) -> Result<(), SoakError> {
        let domain = if self.is_first_domain(index) { "mem" } else { "atl" };
        let bounds = json!({
            "revoke_ms": self.revoke_ms(), "retry_ratio": RETRY_LIMIT.ratio,
            "retry_slack": RETRY_LIMIT.slack, "retry_window_s": RETRY_LIMIT.window.as_secs(),
        });
        let store = self.store_proxies[index].address();
        // Unique among soaks that run side by side: a node that gets the port of another soak's
        // killed node must not be taken for that one.
        let name = format!("n{index}-{}", self.store.address().port());
        let node = GatewayProcess::spawn(&self.binary, store, &name, domain, &bounds)?;
        self.logs.lock().push((index, node.log()));
        *self.nodes[index].lock() = Some(node);
        self.engines.lock().iter().for_each(|e| self.apply_cut(index, &e.proxy));
        Ok(())
    }

    /// Waits until every node is ready; false if one is not ready in time.
    pub(crate) async fn wait_ready(&self) -> bool {
        for node in &self.nodes {
            let start = Instant::now();
            loop {
                let address = node.lock().as_ref().map(|n| n.ready);
                match address {
                    Some(a) if GatewayProcess::answers_ready(a).await => break,
                    _ if start.elapsed() > NODE_TIMEOUT => return false,
                    _ => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        }
        true
    }
}

/// # Observations
impl TestCluster {
    /// Number of nodes.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Bound on key revocation, milliseconds.
    fn revoke_ms(&self) -> u64 {
        if self.node_count() > NODES { LONG_REVOKE_MS } else { REVOKE_MS }
    }

    /// Number of [`KINDS`](load::KINDS) of calls: the toggled route is called only in runs whose failure domains have
    /// nodes enough to stop several.
    pub(crate) fn call_kinds(&self) -> usize {
        load::KINDS.len() - usize::from(self.node_count() <= NODES)
    }

    /// Whether a node belongs to the first of the two failure domains, which has one node more, or all but two.
    fn is_first_domain(&self, index: usize) -> bool {
        match self.node_count() {
            STANDSTILL_NODES => index < STANDSTILL_NODES - 2,
            count => index < count.div_ceil(2),
        }
    }

    /// Other nodes of a node's failure domain.
    pub(crate) fn domain_peers(&self, index: usize) -> Vec<usize> {
        let same = |other: &usize| {
            *other != index && self.is_first_domain(*other) == self.is_first_domain(index)
        };
        (0..self.node_count()).filter(same).collect()
    }

    /// Address where a node accepts calls, if it is running.
    pub(crate) fn listen_address(&self, index: usize) -> Option<std::net::SocketAddr> {
        self.nodes[index].lock().as_ref().map(|n| n.listen)
    }

    /// History of the run: the given calls, the requests engines received and all disruptions.
    pub(crate) fn history(&self, calls: Vec<CallRecord>) -> History {
        let engines = self.engines.lock();
        let replaced = self.replaced.lock();
        let engines = engines.iter().map(|e| &e.engine).chain(replaced.iter());
        History {
            calls,
            senders: self.senders(),
            received: engines.flat_map(Engine::requests).collect(),
            versions: self.versions.lock().clone(),
            revoked_keys: self.revoked_keys.lock().clone(),
            revocation_bound: Duration::from_millis(self.revoke_ms()),
            retry_limit: Some(RETRY_LIMIT),
            pauses: self.pauses.lock().clone(),
            drained: self.drained.lock().clone(),
            node_disruptions: self.node_disruptions.lock().clone(),
            standstills: self.standstills.lock().clone(),
            engine_disruptions: self.engine_disruptions.lock().clone(),
        }
    }

    /// Nodes that sent calls to engines, by their logs; the sends of a call come before its failed attempts.
    fn senders(&self) -> Senders {
        let mut senders = Senders::default();
        let logs: Vec<(usize, Vec<LogLine>)> =
            self.logs.lock().iter().map(|(node, log)| (*node, log.lines())).collect();
        for event in ["call_routed", "call_forwarded", "call_attempt_failed"] {
            for (node, lines) in &logs {
                let of_event = lines.iter().filter(|line| line["event"] == event);
                of_event.for_each(|line| senders.record(*node, line));
            }
        }
        senders
    }

    /// Log lines of all nodes in order of time, each with its node.
    pub(crate) fn log(&self) -> Vec<(usize, LogLine)> {
        let logs = self.logs.lock();
        let of_node = |(node, log): &(usize, NodeLog)| {
            let node = *node;
            log.lines().into_iter().map(move |line| (node, line))
        };
        let mut lines: Vec<_> = logs.iter().flat_map(of_node).collect();
        lines.sort_by_key(|(_, line)| line["at"].as_u64());
        lines
    }
}

/// # Faults
impl TestCluster {
    /// Stops a node process with SIGSTOP for a time.
    pub(crate) async fn pause_node(
        &self,
        index: usize,
        duration: Duration,
    ) -> Result<(), SoakError> {
        self.signal_node(index, "STOP")?;
        tokio::time::sleep(duration).await;
        self.signal_node(index, "CONT")?;
        self.pauses.lock().push((index, Instant::now()));
        Ok(())
    }

    /// Stops all nodes and the store, and changes the configuration meanwhile; the store runs again `delay` after the nodes.
    pub(crate) async fn stand_still(
        &self,
        duration: Duration,
        delay: Duration,
    ) -> Result<(), SoakError> {
        let from = Instant::now();
        let set_links =
            |mode| (0..self.node_count()).for_each(|node| self.set_store_link(node, mode));
        set_links(LinkMode::Blackhole);
        let paused = (0..self.node_count()).map(|node| self.pause_node(node, duration));
        let change = async { self.toggle_route() };
        let (paused, ()) = tokio::join!(futures::future::try_join_all(paused), change);
        tokio::time::sleep(delay).await;
        set_links(LinkMode::Pass);
        self.standstills.lock().push(from..Instant::now());
        paused.map(drop)
    }

    /// Sends a signal to a node if it is running.
    pub(crate) fn signal_node(&self, index: usize, name: &str) -> Result<(), SoakError> {
        match &*self.nodes[index].lock() {
            Some(node) => Ok(node.signal(name)?),
            None => Ok(()),
        }
    }

    /// Stops a node with a signal, waits for it to exit and returns its exit code.
    pub(crate) async fn stop_node(
        &self,
        index: usize,
        signal: &str,
    ) -> Result<Option<i32>, SoakError> {
        let Some(mut node) = self.nodes[index].lock().take() else { return Ok(None) };
        // A paused node handles SIGTERM only after it has resumed.
        node.signal("CONT")?;
        node.signal(signal)?;
        let exit = tokio::task::spawn_blocking(move || node.wait_exit(NODE_TIMEOUT)).await;
        Ok(exit.ok().flatten())
    }

    /// Sets how traffic between a node and the store is handled.
    pub(crate) fn set_store_link(&self, index: usize, link: LinkMode) {
        self.store_proxies[index].set_mode(link);
    }

    /// Drops all further traffic on a node's open connections to the store.
    pub(crate) fn blackhole_store(&self, index: usize) {
        self.store_proxies[index].blackhole_open();
    }

    /// Cuts a node off from all engines, or ends the cut.
    pub(crate) fn cut_from_engines(&self, index: usize, cut: Option<(LinkMode, Scope)>) {
        match cut {
            Some(cut) => self.cuts.lock().insert(index, cut),
            None => self.cuts.lock().remove(&index),
        };
        self.engines.lock().iter().for_each(|e| self.apply_cut(index, &e.proxy));
    }

    /// Has a proxy treat the connections of a node as its cut says.
    fn apply_cut(&self, index: usize, proxy: &Proxy) {
        let Some(process) = self.nodes[index].lock().as_ref().map(GatewayProcess::process) else {
            return;
        };
        let cut = self.cuts.lock().get(&index).copied();
        let scope = cut.map_or(Scope::All, |(_, scope)| scope);
        proxy.set_process_mode(process, cut.map(|(mode, _)| mode), scope);
    }

    /// Records that a node, or all nodes, were disrupted from `from` until now.
    pub(crate) fn record_node_disruption(&self, node: Option<usize>, from: Instant) {
        self.node_disruptions.lock().push(NodeDisruption { node, from, until: Instant::now() });
    }

    /// Sets how the store answers.
    pub(crate) fn set_store_mode(&self, mode: StoreMode) {
        self.store.set_mode(mode);
    }

    /// Sets how traffic to an engine is handled.
    pub(crate) fn set_engine_link(&self, index: usize, link: LinkMode) {
        self.engines.lock()[index].proxy.set_mode(link);
    }

    /// Sets how an engine answers requests; `None` restores the default.
    pub(crate) fn set_engine_behavior(&self, index: usize, behavior: Option<Behavior>) {
        self.engine(index).set_behavior(behavior.unwrap_or(default_behavior(index)));
    }

    /// Marks a plain engine as draining and starts another in its slot.
    pub(crate) fn replace_engine(&self, index: usize, incarnation: u64) -> Result<(), SoakError> {
        let new = self.spawn_engine(index, incarnation)?;
        let old = std::mem::replace(&mut self.engines.lock()[index], new);
        // Requests delayed by the proxy have to arrive before the drain notice.
        old.proxy.set_mode(LinkMode::Pass);
        old.engine.register("draining");
        self.drained
            .lock()
            .push(DrainedEngine { engine: old.engine.id.clone(), at: Instant::now() });
        self.replaced.lock().push(old.engine);
        // The drained engine still has to be reachable, so its proxy must not be dropped.
        std::mem::forget(old.proxy);
        Ok(())
    }

    /// Restores the store from a snapshot that is `age` old by then, after which the configuration and
    /// engine entries are written again.
    pub(crate) async fn restore_store(&self, age: Duration, changes: u64) {
        self.store.take_snapshot();
        tokio::time::sleep(age).await;
        self.store.restore_snapshot(&[], changes);
        tokio::time::sleep(REWRITE_DELAY).await;
        self.store.put_config(&self.document(&self.config.lock()));
        let register = |engine: &Engine, state| match engine.has_exited() {
            true => engine.deregister(),
            false => engine.register(state),
        };
        self.engines.lock().iter().for_each(|e| register(&e.engine, "ready"));
        self.replaced.lock().iter().for_each(|engine| register(engine, "draining"));
    }

    /// Has an engine refuse all requests with this Retry-After; `None` restores the default.
    pub(crate) fn set_retry_after(&self, index: usize, value: Option<&str>) {
        let engine = self.engine(index);
        match value {
            Some(value) => engine.set_retry_after(value),
            None => engine.clear_retry_after(),
        }
        engine.set_behavior(value.map_or(default_behavior(index), |_| Behavior::Refuse));
    }

    /// The engine in a slot.
    pub(crate) fn engine(&self, index: usize) -> Engine {
        self.engines.lock()[index].engine.clone()
    }

    /// Records that requests to an engine may have been delayed, or that it restarted, from `from` until now.
    pub(crate) fn record_engine_disruption(&self, index: usize, from: Instant) {
        let engine = self.engine(index).id;
        self.engine_disruptions.lock().push(EngineDisruption {
            engine,
            from,
            until: Instant::now(),
        });
    }

    /// Restarts an engine under the same id.
    pub(crate) fn restart_engine(&self, index: usize) {
        let engine = self.engine(index);
        engine.restart();
        engine.register("ready");
    }

    /// Sends a request that crashes engines to a node, with a new call id each time.
    pub(crate) async fn send_fatal_request(&self, node: usize, serial: u64, body: String) {
        let Some(address) = self.listen_address(node) else { return };
        let (caller, id, key) =
            (Caller::new(address).key(API_KEY), format!("f{serial}"), API_KEY.to_owned());
        let call = load::send(caller, node, CallKind::Stream, id, key, body).await;
        self.fatal_calls.lock().push(call);
    }

    /// Takes the recorded calls that crash engines.
    pub(crate) fn take_fatal_calls(&self) -> Vec<CallRecord> {
        std::mem::take(&mut *self.fatal_calls.lock())
    }

    /// Shuts down the proxy of every engine that exits and starts another engine in its slot.
    pub(crate) async fn replace_exited(self: Arc<Self>) {
        let tasks =
            (0..PLAIN_ENGINES + LAYERED_ENGINES).map(|index| self.clone().replace_exited_at(index));
        futures::future::join_all(tasks).await;
    }

    async fn replace_exited_at(self: Arc<Self>, index: usize) {
        for incarnation in 1_000_000.. {
            // A plain engine may have been replaced in the meantime, so the slot is read again.
            let engine = self.engine(index);
            if tokio::time::timeout(EXIT_CHECK_INTERVAL, engine.wait_exit()).await.is_err() {
                continue;
            }
            self.engines.lock()[index].proxy.shut_down();
            tokio::time::sleep(DEREGISTER_DELAY).await;
            engine.deregister();
            tokio::time::sleep(RESPAWN_DELAY.saturating_sub(DEREGISTER_DELAY)).await;
            let Ok(new) = self.spawn_engine(index, incarnation) else { return };
            let old = std::mem::replace(&mut self.engines.lock()[index], new);
            self.replaced.lock().push(old.engine);
        }
    }

    /// Writes an entry of another writer under the prefix of the engine entries.
    pub(crate) fn write_foreign_entry(&self, serial: u64, text: &str) {
        self.store.put_bytes(&format!("servers/f{serial}"), text.as_bytes());
    }

    /// Changes the configuration and stores it.
    pub(crate) fn update_config(&self, change: impl FnOnce(&mut TestConfig)) {
        let mut config = self.config.lock();
        change(&mut config);
        config.version += 3;
        let sent = Instant::now();
        self.store.put_config(&self.document(&config));
        self.versions.lock().push(ConfigVersion {
            sent,
            accepted: Instant::now(),
            has_added: has_toggled(&config),
            keys: config.tenants[0].1.clone(),
        });
    }

    /// The stored document of a configuration.
    fn document(&self, config: &TestConfig) -> Value {
        let mut document = config.json();
        if let Some((section, part)) = *self.invalid_part.lock() {
            let part = serde_json::from_str(part).unwrap_or_default();
            match &mut document[section] {
                Value::Array(parts) => parts.push(part),
                section => *section = part,
            }
        }
        document
    }

    /// Adds an invalid part to the configuration, or removes it.
    pub(crate) fn set_invalid_part(&self, part: Option<InvalidPart>) {
        *self.invalid_part.lock() = part;
        self.update_config(|_| {});
    }

    /// Revokes an API key and gives the account a new one with `serial` in its name.
    pub(crate) fn revoke_key(&self, serial: u64) {
        let new_key = format!("key-{serial}");
        let mut old_key = String::new();
        self.update_config(|config| {
            old_key = std::mem::replace(&mut config.tenants[0].1[1], new_key)
        });
        self.revoked_keys.lock().push(RevokedKey { key: old_key, at: Instant::now() });
    }

    /// The API key that is revoked next.
    pub(crate) fn revocable_key(&self) -> String {
        self.config.lock().tenants[0].1[1].clone()
    }

    /// Adds the toggled route, or removes it if it is present.
    pub(crate) fn toggle_route(&self) {
        self.update_config(|config| match has_toggled(config) {
            true => drop(config.routes.pop()),
            false => config.routes.push(RouteSpec::idempotent(TOGGLED_PREFIX, "api")),
        });
    }
}

/// Whether a configuration has the toggled route, which comes after those of the initial one.
fn has_toggled(config: &TestConfig) -> bool {
    config.routes.len() > initial_config().routes.len()
}

fn default_behavior(index: usize) -> Behavior {
    if index < PLAIN_ENGINES {
        Behavior::Echo
    } else {
        Behavior::Stream(STREAM_EVENTS, EVENT_INTERVAL)
    }
}

fn initial_config() -> TestConfig {
    let plain = CALL_TIMEOUT.as_millis() as u64;
    TestConfig {
        version: 3,
        routes: vec![
            RouteSpec::idempotent("/get/", "api").timeout(plain),
            RouteSpec::at_most_once("/book/", "api").timeout(plain),
            RouteSpec::stream("/tell/", "llm").rank(1).max_pause(MAX_PAUSE_MS),
            RouteSpec::stream("/urgent/", "llm").rank(0).max_pause(MAX_PAUSE_MS),
        ],
        services: vec!["api".to_owned()],
        models: vec!["llm".to_owned()],
        tenants: vec![("desk".to_owned(), vec![API_KEY.to_owned(), "key-0".to_owned()])],
    }
}
