//! Processes, engines and the store of a run, and what faults do to them.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heathpitch_standin::{
    Behavior, Caller, Engine, GatewayProcess, LinkMode, Proxy, RouteSpec, StandInError, Store,
    StoreMode, TestConfig,
};
use parking_lot::Mutex;
use serde_json::json;

use crate::judge::{Evidence, HeldUp, Left, Revoked, Trouble};
use crate::load::{self, Kind, Told};
use crate::script::{LAYERED, NODES, PLAIN};

/// Key that stays.
pub(crate) const KEY: &str = "key-of-desk";
/// Body of the request that ends every engine which begins to run it.
pub(crate) const FATAL: &str = "fatal";
/// Time after which another engine starts in the place of one that ended, and after which its entry lapses.
const BACK: Duration = Duration::from_millis(1_500);
const LAPSE: Duration = Duration::from_millis(1_000);
/// Time after which operator and engines write again to a store that came back older.
const WRITTEN_AGAIN: Duration = Duration::from_millis(700);
/// Route that comes and goes.
pub(crate) const COMING: &str = "/coming/";
/// Events of a whole stream.
pub(crate) const EVENTS: u64 = 20;
/// Time of the routes of plain calls, and of streams.
pub(crate) const PLAIN_LIMIT: Duration = Duration::from_millis(3_000);
pub(crate) const STREAM_LIMIT: Duration = Duration::from_millis(5_000);
/// Time between two events.
const PAUSE: Duration = Duration::from_millis(15);
/// Time after which the engine in a place is looked up again.
const LOOK: Duration = Duration::from_millis(100);
/// Layers of the stand-in's model, and of its first half.
const LAYERS: (u32, u32) = (4, 8);
/// Time for which a stopped node may go on.
const STOP: Duration = Duration::from_secs(9);
/// Agreed bounds of the nodes: short, so that runs meet them.
const REVOKE_MS: u64 = 2_500;

/// Why a run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A process could not be started.
    #[error(transparent)]
    Node(#[from] StandInError),
    /// What the system says.
    #[error(transparent)]
    System(#[from] std::io::Error),
}

/// An engine and the link before it.
pub(crate) struct Station {
    pub(crate) engine: Engine,
    pub(crate) link: Proxy,
}

/// Everything that runs.
pub(crate) struct World {
    binary: PathBuf,
    pub(crate) store: Store,
    site: Mutex<TestConfig>,
    links: Vec<Proxy>,
    nodes: Vec<Mutex<Option<GatewayProcess>>>,
    stations: Mutex<Vec<Station>>,
    /// Engines that were replaced; what they saw still counts.
    former: Mutex<Vec<Engine>>,
    revoked: Mutex<Vec<Revoked>>,
    /// Nodes that stood still, and when they went on.
    stood: Mutex<Vec<(usize, Instant)>>,
    left: Mutex<Vec<Left>>,
    /// What callers of the fatal request were told.
    fatal: Mutex<Vec<Told>>,
    troubles: Mutex<Vec<Trouble>>,
    /// Engines whose links held requests up, or that started again, and when.
    held_up: Mutex<Vec<HeldUp>>,
}

/// # Start
impl World {
    /// Starts the store, the engines and the nodes; gives them back once all are ready.
    pub(crate) async fn start(binary: PathBuf) -> Result<Self, SoakError> {
        let store = Store::spawn()?;
        let links = (0..NODES).map(|_| Proxy::spawn(store.address())).collect::<Result<_, _>>()?;
        let world = Self {
            binary,
            store,
            site: Mutex::new(site()),
            links,
            nodes: (0..NODES).map(|_| Mutex::new(None)).collect(),
            stations: Mutex::default(),
            former: Mutex::default(),
            revoked: Mutex::default(),
            stood: Mutex::default(),
            left: Mutex::default(),
            fatal: Mutex::default(),
            troubles: Mutex::default(),
            held_up: Mutex::default(),
        };
        world.configure(|_| {});
        for index in 0..PLAIN + LAYERED {
            let station = world.station(index, 0)?;
            world.stations.lock().push(station);
        }
        for index in 0..NODES {
            world.begin(index)?;
        }
        Ok(world)
    }

    fn station(&self, index: usize, life: u64) -> Result<Station, SoakError> {
        let id = format!("e{index}-{life}");
        let layered = index >= PLAIN;
        let (service, kind) = if layered { ("llm", Some("small")) } else { ("api", None) };
        let mut engine = Engine::spawn(&self.store, &id, service, "mem", kind)?;
        engine.deregister();
        let link = Proxy::spawn(engine.address)?;
        engine.address = link.address();
        engine.set_behavior(usual(index));
        engine.exit_on_body(FATAL);
        match index {
            i if i < PLAIN => engine.register("ready"),
            i if i % 2 == 1 => engine.set_layers(0, LAYERS.0),
            _ => engine.set_layers(LAYERS.0, LAYERS.1),
        }
        Ok(Station { engine, link })
    }

    /// Starts a node; two of the three share a failure domain.
    pub(crate) fn begin(&self, index: usize) -> Result<(), SoakError> {
        let domain = if index < 2 { "mem" } else { "atl" };
        let bounds = json!({ "revoke_ms": REVOKE_MS });
        let store = self.links[index].address();
        let name = format!("n{index}");
        let node = GatewayProcess::spawn(&self.binary, store, &name, domain, &bounds)?;
        *self.nodes[index].lock() = Some(node);
        Ok(())
    }

    /// Waits until every node that runs is ready; false if one is not in time.
    pub(crate) async fn ready(&self) -> bool {
        for node in &self.nodes {
            let start = Instant::now();
            loop {
                let address = node.lock().as_ref().map(|n| n.ready);
                match address {
                    Some(a) if GatewayProcess::answers_ready(a).await => break,
                    _ if start.elapsed() > STOP => return false,
                    _ => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        }
        true
    }
}

/// # Reading
impl World {
    /// Where callers reach a node, if it runs.
    pub(crate) fn listen(&self, index: usize) -> Option<std::net::SocketAddr> {
        self.nodes[index].lock().as_ref().map(|n| n.listen)
    }

    /// What callers were told, beside what engines saw.
    pub(crate) fn evidence(&self, told: Vec<Told>) -> Evidence {
        let stations = self.stations.lock();
        let former = self.former.lock();
        let engines = stations.iter().map(|s| &s.engine).chain(former.iter());
        Evidence {
            told,
            seen: engines.flat_map(Engine::requests).collect(),
            revoked: self.revoked.lock().clone(),
            revoke: Duration::from_millis(REVOKE_MS),
            stood: self.stood.lock().clone(),
            left: self.left.lock().clone(),
            troubles: self.troubles.lock().clone(),
            held_up: self.held_up.lock().clone(),
        }
    }

    /// Lines of the nodes' logs that name a call.
    pub(crate) fn story(&self, request: &str) -> Vec<String> {
        let lines = |n: &Mutex<Option<GatewayProcess>>| {
            n.lock().as_ref().map(|n| n.request_log(request)).unwrap_or_default()
        };
        self.nodes.iter().flat_map(lines).collect()
    }
}

/// # Faults
impl World {
    /// Has a node stand still for a while.
    pub(crate) async fn pause(&self, index: usize, time: Duration) -> Result<(), SoakError> {
        self.signal(index, "STOP")?;
        tokio::time::sleep(time).await;
        self.signal(index, "CONT")?;
        self.stood.lock().push((index, Instant::now()));
        Ok(())
    }

    /// Sends a node a signal.
    pub(crate) fn signal(&self, index: usize, name: &str) -> Result<(), SoakError> {
        match &*self.nodes[index].lock() {
            Some(node) => Ok(node.signal(name)?),
            None => Ok(()),
        }
    }

    /// Ends a node by a signal and waits until it is gone; gives its exit code.
    pub(crate) async fn end(&self, index: usize, signal: &str) -> Result<Option<i32>, SoakError> {
        let Some(mut node) = self.nodes[index].lock().take() else { return Ok(None) };
        // A node that was paused meanwhile has to go on first.
        node.signal("CONT")?;
        node.signal(signal)?;
        let ended = tokio::task::spawn_blocking(move || node.wait_exit(STOP)).await;
        Ok(ended.ok().flatten())
    }

    /// Treats a node's bytes to and from the store in this way.
    pub(crate) fn store_link(&self, index: usize, link: LinkMode) {
        self.links[index].set_mode(link);
    }

    /// Leaves a node's connections to the store silent for good.
    pub(crate) fn lose_store(&self, index: usize) {
        self.links[index].blackhole_open();
    }

    /// Takes note of a time in which a node was disturbed, or all were.
    pub(crate) fn disturbed(&self, node: Option<usize>, from: Instant) {
        self.troubles.lock().push(Trouble { node, from, until: Instant::now() });
    }

    /// Has the store behave in this way.
    pub(crate) fn store_mode(&self, mode: StoreMode) {
        self.store.set_mode(mode);
    }

    /// Treats an engine's bytes in this way.
    pub(crate) fn engine_link(&self, index: usize, link: LinkMode) {
        self.stations.lock()[index].link.set_mode(link);
    }

    /// Has an engine treat requests in this way; none: as usual.
    pub(crate) fn engine_play(&self, index: usize, play: Option<Behavior>) {
        self.engine(index).set_behavior(play.unwrap_or(usual(index)));
    }

    /// A plain engine says that it leaves, and another one comes.
    pub(crate) fn replace(&self, index: usize, life: u64) -> Result<(), SoakError> {
        let new = self.station(index, life)?;
        let old = std::mem::replace(&mut self.stations.lock()[index], new);
        // What its link held back comes before its word, not after.
        old.link.set_mode(LinkMode::Pass);
        old.engine.register("draining");
        self.left.lock().push(Left { engine: old.engine.id.clone(), at: Instant::now() });
        self.former.lock().push(old.engine);
        // Its link goes on for as long as the engine is kept.
        std::mem::forget(old.link);
        Ok(())
    }

    /// Has the store come back from a copy that is `age` old by then; operator and engines write again.
    pub(crate) async fn return_store(&self, age: Duration, changes: u64) {
        self.store.take_snapshot();
        tokio::time::sleep(age).await;
        self.store.restore_snapshot(&[], changes);
        tokio::time::sleep(WRITTEN_AGAIN).await;
        self.store.put_config(&self.site.lock().json());
        let listed = |engine: &Engine, state| match engine.has_exited() {
            true => engine.deregister(),
            false => engine.register(state),
        };
        self.stations.lock().iter().for_each(|s| listed(&s.engine, "ready"));
        self.former.lock().iter().for_each(|engine| listed(engine, "draining"));
    }

    /// Has an engine turn everybody away and tell this Retry-After; none: as usual again.
    pub(crate) fn tire(&self, index: usize, rest: Option<&str>) {
        let engine = self.engine(index);
        match rest {
            Some(rest) => engine.set_retry_after(rest),
            None => engine.clear_retry_after(),
        }
        engine.set_behavior(rest.map_or(usual(index), |_| Behavior::Refuse));
    }

    /// The engine in a place.
    pub(crate) fn engine(&self, index: usize) -> Engine {
        self.stations.lock()[index].engine.clone()
    }

    /// Takes note of a time in which requests to an engine were held up, or in which it started again.
    pub(crate) fn held_up(&self, index: usize, from: Instant) {
        let engine = self.engine(index).id;
        self.held_up.lock().push(HeldUp { engine, from, until: Instant::now() });
    }

    /// An engine starts again under its id.
    pub(crate) fn rebirth(&self, index: usize) {
        let engine = self.engine(index);
        engine.restart();
        engine.register("ready");
    }

    /// Has the fatal request come to a node, under another id each time.
    pub(crate) async fn send_fatal(&self, node: usize, serial: u64) {
        let Some(address) = self.listen(node) else { return };
        let (caller, id, key) =
            (Caller::new(address).key(KEY), format!("f{serial}"), KEY.to_owned());
        let told = load::send(caller, node, Kind::Tell, id, key, FATAL.to_owned()).await;
        self.fatal.lock().push(told);
    }

    /// What callers of the fatal request were told.
    pub(crate) fn take_fatal(&self) -> Vec<Told> {
        std::mem::take(&mut *self.fatal.lock())
    }

    /// Has the links of engines that end go with them, and others start in their places.
    pub(crate) async fn tend(self: Arc<Self>) {
        let every = (0..PLAIN + LAYERED).map(|index| self.clone().tend_one(index));
        futures::future::join_all(every).await;
    }

    async fn tend_one(self: Arc<Self>, index: usize) {
        for life in 1_000_000.. {
            // A plain engine may be replaced meanwhile; the one that took its place is waited for then.
            let engine = self.engine(index);
            if tokio::time::timeout(LOOK, engine.wait_exit()).await.is_err() {
                continue;
            }
            self.stations.lock()[index].link.shut_down();
            tokio::time::sleep(LAPSE).await;
            engine.deregister();
            tokio::time::sleep(BACK.saturating_sub(LAPSE)).await;
            let Ok(new) = self.station(index, life) else { return };
            let old = std::mem::replace(&mut self.stations.lock()[index], new);
            self.former.lock().push(old.engine);
        }
    }

    /// Another writer's text stands where an engine's entry would.
    pub(crate) fn write_foreign(&self, serial: u64, text: &str) {
        self.store.put_bytes(&format!("servers/f{serial}"), text.as_bytes());
    }

    /// Changes the configuration.
    pub(crate) fn configure(&self, change: impl FnOnce(&mut TestConfig)) {
        let mut site = self.site.lock();
        change(&mut site);
        site.version += 3;
        self.store.put_config(&site.json());
    }

    /// Takes a key away and gives the account a new one, `serial` in its name.
    pub(crate) fn revoke_key(&self, serial: u64) {
        let next = format!("key-{serial}");
        let mut old = String::new();
        self.configure(|site| old = std::mem::replace(&mut site.tenants[0].1[1], next));
        self.revoked.lock().push(Revoked { key: old, at: Instant::now() });
    }

    /// The key that is taken away next.
    pub(crate) fn passing_key(&self) -> String {
        self.site.lock().tenants[0].1[1].clone()
    }

    /// Adds the route that comes and goes, or removes it.
    pub(crate) fn turn_route(&self) {
        self.configure(|site| match site.routes.len() {
            4.. => drop(site.routes.pop()),
            _ => site.routes.push(RouteSpec::idempotent(COMING, "api")),
        });
    }
}

fn usual(index: usize) -> Behavior {
    if index < PLAIN { Behavior::Echo } else { Behavior::Stream(EVENTS, PAUSE) }
}

fn site() -> TestConfig {
    let plain = PLAIN_LIMIT.as_millis() as u64;
    TestConfig {
        version: 3,
        routes: vec![
            RouteSpec::idempotent("/get/", "api").timeout(plain),
            RouteSpec::at_most_once("/book/", "api").timeout(plain),
            RouteSpec::stream("/tell/", "llm"),
        ],
        services: vec!["api".to_owned()],
        models: vec!["llm".to_owned()],
        tenants: vec![("desk".to_owned(), vec![KEY.to_owned(), "key-0".to_owned()])],
    }
}
