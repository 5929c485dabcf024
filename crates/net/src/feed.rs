//! What one node of a failure domain reads from the store, told to the others by capnp-rpc.
//!
//! Followers, and for reports the planners of other failure domains, ask again and again on a kept
//! connection; an answer is made at once, so that the age of what it tells is never hidden by a wait.
//! Both sides run on the control thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use capnp_rpc::RpcSystem;
use capnp_rpc::new_client;
use capnp_rpc::rpc_twoparty_capnp::Side;
use heathpitch_core::{Millis, Name, Revision};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::feed_capnp::{ask, feed, item, report, told};
use crate::peer::{network, serve_rpc};
use crate::{EdgeError, Item};

/// Followers at once: those of a failure domain of the largest fleet, more than twice.
const CONNECTIONS: usize = 192;
/// Longest time of a connection; followers make a new one.
const HOLD: Duration = Duration::from_secs(120);

/// What a follower asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedAsk {
    /// Life of the planner that `serial` belongs to.
    pub life: u64,
    /// Changes up to this one are known; 0 for none.
    pub serial: u64,
    /// Whether the configuration itself is wanted.
    pub config: bool,
    /// Whether only reports are wanted, of engines in the planner's own failure domain.
    pub reports: bool,
}

/// What the planner tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedTold {
    /// Whether its store answers it, so that the rest is worth anything.
    pub live: bool,
    /// Life of the planner.
    pub life: u64,
    /// Serial to ask from next.
    pub serial: u64,
    /// Whether `items` are all there are.
    pub whole: bool,
    /// Engines' entries that are new or changed.
    pub items: Vec<Item>,
    /// Keys of entries that are gone.
    pub gone: Vec<Arc<str>>,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Age of the proof that it is the newest.
    pub proof_ms: Millis,
    /// Age of the proof that the engines' entries are those of the store.
    pub list_ms: Millis,
    /// The configuration, if it was asked for.
    pub config: Option<Item>,
    /// Nodes of the fleet; 0 if they are not known.
    pub nodes: u32,
    /// Nodes of the failure domain.
    pub beside: u32,
    /// What engines of the failure domain said of themselves.
    pub reports: Vec<FeedReport>,
}

/// What an engine said of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedReport {
    /// The engine.
    pub engine: Name,
    /// Factor by which it is slower than its card.
    pub pace: f64,
    /// Tokens that requests hold there.
    pub held: f64,
    /// Age of its report.
    pub age_ms: Millis,
}

/// Answers followers by a function.
#[derive(Clone)]
pub struct FeedServer {
    answer: Rc<dyn Fn(FeedAsk) -> FeedTold>,
}

impl FeedServer {
    /// A server that answers with `answer`.
    pub fn new(answer: Rc<dyn Fn(FeedAsk) -> FeedTold>) -> Self {
        Self { answer }
    }

    /// Serves followers on `socket` until the task is dropped; must run in a `LocalSet`.
    pub async fn serve(self, socket: TcpListener) {
        let client: feed::Client = new_client(self);
        serve_rpc(socket, client.client, CONNECTIONS, HOLD).await;
    }
}

impl feed::Server for FeedServer {
    async fn ask(
        self: Rc<Self>,
        params: feed::AskParams,
        mut results: feed::AskResults,
    ) -> Result<(), capnp::Error> {
        let from = params.get()?.get_ask()?;
        let ask = FeedAsk {
            life: from.get_life(),
            serial: from.get_serial(),
            config: from.get_config(),
            reports: from.get_reports(),
        };
        write_told(&(self.answer)(ask), results.get().init_told());
        Ok(())
    }
}

/// A kept connection to the planner of a failure domain.
pub struct FeedClient {
    client: feed::Client,
    system: JoinHandle<Result<(), capnp::Error>>,
}

impl FeedClient {
    /// Connects to a planner; must run in a `LocalSet`.
    ///
    /// # Errors
    ///
    /// [`EdgeError::Connect`], also after `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, EdgeError> {
        let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let late = |_| EdgeError::Connect("no connection in time".to_owned());
        let stream = connected.map_err(late)?.map_err(|e| EdgeError::Connect(e.to_string()))?;
        let mut system = RpcSystem::new(network(stream, Side::Client), None);
        let client = system.bootstrap(Side::Server);
        Ok(Self { client, system: tokio::task::spawn_local(system) })
    }

    /// Asks the planner.
    ///
    /// # Errors
    ///
    /// [`EdgeError::Lost`], also after `limit`; [`EdgeError::Malformed`].
    pub async fn ask(&self, ask: FeedAsk, limit: Duration) -> Result<FeedTold, EdgeError> {
        let mut request = self.client.ask_request();
        write_ask(ask, request.get().init_ask());
        let answered = tokio::time::timeout(limit, request.send().promise).await;
        let late = |_| EdgeError::Lost("no answer in time".to_owned());
        let answer = answered.map_err(late)?.map_err(|e| EdgeError::Lost(e.to_string()))?;
        let told = answer.get().and_then(|a| read_told(a.get_told()?));
        told.map_err(|e| EdgeError::Malformed(e.to_string()))
    }
}

impl Drop for FeedClient {
    fn drop(&mut self) {
        self.system.abort();
    }
}

fn write_ask(from: FeedAsk, mut to: ask::Builder<'_>) {
    to.set_life(from.life);
    to.set_serial(from.serial);
    to.set_config(from.config);
    to.set_reports(from.reports);
}

fn write_told(from: &FeedTold, mut to: told::Builder<'_>) {
    to.set_live(from.live);
    to.set_life(from.life);
    to.set_serial(from.serial);
    to.set_whole(from.whole);
    to.set_revision(from.revision.0);
    to.set_proof_ms(from.proof_ms);
    to.set_list_ms(from.list_ms);
    to.set_nodes(from.nodes);
    to.set_beside(from.beside);
    let mut items = to.reborrow().init_items(from.items.len() as u32);
    for (i, item) in from.items.iter().enumerate() {
        write_item(item, items.reborrow().get(i as u32));
    }
    let mut gone = to.reborrow().init_gone(from.gone.len() as u32);
    for (i, key) in from.gone.iter().enumerate() {
        gone.set(i as u32, &**key);
    }
    let mut reports = to.reborrow().init_reports(from.reports.len() as u32);
    for (i, r) in from.reports.iter().enumerate() {
        write_report(r, reports.reborrow().get(i as u32));
    }
    if let Some(config) = &from.config {
        write_item(config, to.init_config());
    }
}

fn read_told(from: told::Reader<'_>) -> capnp::Result<FeedTold> {
    let key =
        |k: capnp::Result<capnp::text::Reader<'_>>| Ok::<_, capnp::Error>(k?.to_str()?.into());
    Ok(FeedTold {
        live: from.get_live(),
        life: from.get_life(),
        serial: from.get_serial(),
        whole: from.get_whole(),
        items: from.get_items()?.iter().map(read_item).collect::<capnp::Result<_>>()?,
        gone: from.get_gone()?.iter().map(key).collect::<capnp::Result<_>>()?,
        revision: Revision(from.get_revision()),
        proof_ms: from.get_proof_ms(),
        list_ms: from.get_list_ms(),
        nodes: from.get_nodes(),
        beside: from.get_beside(),
        reports: from.get_reports()?.iter().map(read_report).collect::<capnp::Result<_>>()?,
        config: from.has_config().then(|| read_item(from.get_config()?)).transpose()?,
    })
}

fn write_report(from: &FeedReport, mut to: report::Builder<'_>) {
    to.set_engine(from.engine.as_str());
    to.set_pace(from.pace);
    to.set_held(from.held);
    to.set_age_ms(from.age_ms);
}

fn read_report(from: report::Reader<'_>) -> capnp::Result<FeedReport> {
    let engine = from.get_engine()?.to_str()?.parse();
    Ok(FeedReport {
        engine: engine.map_err(|e| capnp::Error::failed(format!("engine: {e}")))?,
        pace: from.get_pace(),
        held: from.get_held(),
        age_ms: from.get_age_ms(),
    })
}

fn write_item(from: &Item, mut to: item::Builder<'_>) {
    to.set_key(&*from.key);
    to.set_value(&from.value);
    to.set_revision(from.revision.0);
}

fn read_item(from: item::Reader<'_>) -> capnp::Result<Item> {
    Ok(Item {
        key: from.get_key()?.to_str()?.into(),
        value: Bytes::copy_from_slice(from.get_value()?),
        revision: Revision(from.get_revision()),
    })
}
