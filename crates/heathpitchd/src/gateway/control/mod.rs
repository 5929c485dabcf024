//! Control thread of a gateway: a set of controllers on one current-thread runtime.
//!
//! - `config`, `config_proof`, `rejected_config`: the newest configuration, the proof that it is current, and one that
//!   cannot be used
//! - `engine_list`, `engines`, `rejected_entries`: the list of engines, the proof that it is current, and entries that
//!   cannot be used
//! - `feed`, `feed_answers`, `sources`, `feed_server`: the same data received from other nodes, the choice of source,
//!   and the answers to nodes that poll this one
//! - `nodes`: the lease of the failure domain's planner and the size of the fleet
//! - `planner`, `orders`: placement of layers and the orders that carry it out
//! - `reports`, `neighbours`: load reports of engines of this failure domain and of the others
//! - `engine_exits`, `quarantine`, `part_quarantine`, `held_updates`, `quarantine_store`, `exit_records`: detection of engines that
//!   exited, the requests and parts of prompts suspected of causing it, and what the store keeps of both
//! - `backpressure`, `rights`, `limit_records`: backpressure of engines, rights under their limits, and the
//!   stored limits
//! - `shares`: demand of client accounts, and their shares when capacity runs short
//! - `connectivity`, `forwarders`: services that this node does not reach, and the nodes that calls for them are
//!   forwarded to
//! - `returns`: promised retries of rejected callers, exchanged with the planner
//! - `recovery`, `moves`, `detour`, `reachability`: rerouting of running streams away from unreachable engines
//! - `suspension`: detection of VM suspensions
//!
//! Controllers publish snapshots in [`Shared`], the engine table through `publish`. Traffic shares no other
//! state with them but the book of promised retries.

mod backpressure;
mod config;
mod config_proof;
mod connectivity;
mod detour;
mod engine_exits;
mod engine_list;
mod engines;
mod exit_records;
mod feed;
mod feed_answers;
mod feed_server;
mod forwarders;
mod held_updates;
mod limit_records;
mod moves;
mod neighbours;
mod nodes;
mod orders;
mod part_quarantine;
mod planner;
mod planner_clients;
mod publish;
mod quarantine;
mod quarantine_store;
mod reachability;
mod recovery;
mod rejected_config;
mod rejected_entries;
mod reports;
mod retries;
mod returns;
mod rights;
mod shares;
mod sources;
mod state;
mod store;
mod suspension;

use std::rc::Rc;
use std::sync::Arc;
#[cfg(feature = "seams")]
use std::time::Duration;
use std::{io, thread};

use futures::FutureExt;
use heathpitch_net::{Body, Bounds, FeedServer, Listener, full, json, serve};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::runtime::Builder;
#[cfg(feature = "seams")]
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

use super::prover::ProofAnswer;
use super::shared::{Clients, ControlMessage, Shared};
use super::thread_monitor::ThreadMonitor;
use quarantine::HeldChange;
use state::Control;

/// Concurrent connections for the load balancer's health checks and for metrics scrapes.
const PROBE_CONNECTIONS: usize = 32;
/// Messages of the traffic thread that are handled together.
const MESSAGE_BATCH: usize = 64;

/// Listeners served by the control thread.
pub(super) struct Listeners {
    pub(super) ready: Listener,
    pub(super) metrics: Listener,
    /// For nodes that poll this one for the contents of the store.
    pub(super) peers: Option<Listener>,
}

/// Starts the control thread, which ends when `stop` becomes true.
///
/// # Errors
///
/// The system's error if the thread or its runtime cannot be started.
pub(super) fn spawn(
    shared: Arc<Shared>,
    clients: Clients,
    listeners: impl FnOnce() -> io::Result<Listeners> + Send + 'static,
    inbox: mpsc::Receiver<ControlMessage>,
    proofs: mpsc::Receiver<ProofAnswer>,
    mut stop: watch::Receiver<bool>,
) -> io::Result<thread::JoinHandle<io::Result<()>>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let mut listeners = listeners()?;
            let peers = listeners.peers.take();
            probes(&shared, clients.dialect.ready_path(), listeners, &stop);
            let control = Rc::new(Control::new(shared, clients));
            if let Some(peers) = peers {
                let c = control.clone();
                let (issuer, retry_issuer) = (control.clone(), control.clone());
                let server = FeedServer::new(
                    control.shared.settings.load().node.clone(),
                    Rc::new(move |request| feed_server::answer(&c, request)),
                    Rc::new(move |request| issuer.issue_rights(&request)),
                    Rc::new(move |request| retry_issuer.issue_retry(&request)),
                );
                spawn_local(server.serve(peers.into_socket()));
            }
            let monitor = Rc::new(ThreadMonitor::new("control"));
            let tasks = [
                ("feed", feed::follow(control.clone()).boxed_local()),
                ("config", config::follow(control.clone()).boxed_local()),
                ("config_proof", config_proof::follow(control.clone(), proofs).boxed_local()),
                ("engine_list", engine_list::follow(control.clone()).boxed_local()),
                ("planner_lease", nodes::follow(control.clone()).boxed_local()),
                ("node_count", nodes::count(control.clone()).boxed_local()),
                ("lease_renewal", nodes::renew(control.clone()).boxed_local()),
                ("planner", planner::run(control.clone()).boxed_local()),
                ("recovery", recovery::run(control.clone()).boxed_local()),
                ("reports", reports::run(control.clone()).boxed_local()),
                ("neighbours", neighbours::follow(control.clone()).boxed_local()),
                ("quarantine", quarantine::run(control.clone()).boxed_local()),
                ("held_updates", held_updates::run(control.clone()).boxed_local()),
                ("backpressure", backpressure::run(control.clone()).boxed_local()),
                ("rights", rights::run(control.clone()).boxed_local()),
                ("limit_records", limit_records::run(control.clone()).boxed_local()),
                ("shares", shares::run(control.clone()).boxed_local()),
                ("connectivity", connectivity::run(control.clone()).boxed_local()),
                ("forwarders", forwarders::run(control.clone()).boxed_local()),
                ("suspension", suspension::watch(control.clone(), monitor.clone()).boxed_local()),
                ("messages", receive(control, inbox).boxed_local()),
            ];
            for (name, task) in tasks {
                spawn_local(monitor.monitor(name, task));
            }
            #[cfg(feature = "seams")]
            spawn_local(hold_up(signal(SignalKind::user_defined1())?));
            let _ = stop.wait_for(|s| *s).await;
            Ok(())
        })
    })
}

/// Holds up this thread on each SIGUSR1, as a long-running task does.
#[cfg(feature = "seams")]
async fn hold_up(mut usr: Signal) {
    while usr.recv().await.is_some() {
        thread::sleep(Duration::from_millis(2_800));
    }
}

/// Dispatches messages from the traffic thread, and recomputes what is held back once for all that have queued.
async fn receive(control: Rc<Control>, mut inbox: mpsc::Receiver<ControlMessage>) {
    let mut batch = Vec::with_capacity(MESSAGE_BATCH);
    while inbox.recv_many(&mut batch, MESSAGE_BATCH).await > 0 {
        let changes: Vec<_> =
            batch.drain(..).filter_map(|message| dispatch(&control, message)).collect();
        if let Some(HeldChange(why)) = changes.first() {
            control.update_held(why);
        }
        // Other tasks of the thread run between two batches, however many messages there are.
        tokio::task::yield_now().await;
    }
}

/// Handles a message; returns why what is held back has to be recomputed, if it has.
fn dispatch(control: &Rc<Control>, message: ControlMessage) -> Option<HeldChange> {
    match message {
        ControlMessage::Answered(fingerprint) => return control.clear_request(fingerprint),
        ControlMessage::PartsAnswered(parts, engine) => {
            return control.record_part_answers(&parts, &engine);
        }
        ControlMessage::EngineAlive(incarnation) => return control.engine_alive(&incarnation),
        ControlMessage::HeldBack(fingerprint) => return control.renew_request(fingerprint),
        ControlMessage::PartHeldBack(part) => return control.renew_part(part),
        ControlMessage::Stream(live) => recovery::track(control, &live),
        ControlMessage::Replaced(engine) => engines::mark_replaced(control, &engine),
        ControlMessage::LayerMismatch(engine) => engines::refresh_layers(control, &engine),
        ControlMessage::Refused(engine) => reachability::check_refusal(control, &engine),
        ControlMessage::ConnectionLost(lost) => engine_exits::record_lost(control, lost),
        ControlMessage::Draining(incarnation) => control.engine_draining(&incarnation),
        ControlMessage::Limited(incarnation) => control.record_limit(&incarnation),
        ControlMessage::Demand(key, admitted) => control.record_demand(key, admitted),
        ControlMessage::ReachSuspected(suspicion) => control.check_reach(&suspicion),
        ControlMessage::RightsWanted(wanted) => rights::spawn_request(control, wanted),
        ControlMessage::RetryWanted(wanted) => retries::spawn_request(control, wanted),
    }
    None
}

/// Serves the load balancer's health check and the metrics.
fn probes(
    shared: &Arc<Shared>,
    ready_path: &'static str,
    listeners: Listeners,
    stop: &watch::Receiver<bool>,
) {
    let bounds = Bounds { max_connections: PROBE_CONNECTIONS, ..Bounds::default() };
    let s = shared.clone();
    tokio::spawn(serve(listeners.ready, bounds, stop.clone(), move |request| {
        let response = ready(&s, ready_path, &request);
        async move { response }
    }));
    let s = shared.clone();
    tokio::spawn(serve(listeners.metrics, bounds, stop.clone(), move |request| {
        let response = inspect(&s, &request);
        async move { response }
    }));
}

fn ready<B>(shared: &Shared, path: &str, request: &Request<B>) -> Response<Body> {
    let status = match (request.method(), request.uri().path()) {
        (&Method::GET, at) if at != path => StatusCode::NOT_FOUND,
        (&Method::GET, _) if shared.ready() => StatusCode::OK,
        (&Method::GET, _) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::METHOD_NOT_ALLOWED,
    };
    let mut response = Response::new(full(""));
    *response.status_mut() = status;
    response
}

/// Serves the metrics and the list of requests held back.
fn inspect<B>(shared: &Shared, request: &Request<B>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => metrics(shared),
        (&Method::GET, "/held") => {
            Response::new(json(&shared.quarantine.load().held_rows(shared.now())))
        }
        _ => {
            let mut response = Response::new(full(""));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn metrics(shared: &Shared) -> Response<Body> {
    if let Some(age) = shared.list_freshness.load().age(shared.now()) {
        shared.metrics.list_age.set(age as f64 / 1e3);
    }
    if let Some(age) = shared.config_freshness.load().age(shared.now()) {
        shared.metrics.config_age.set(age as f64 / 1e3);
    }
    let mut response = Response::new(full(shared.metrics.text()));
    let media = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, media);
    response
}
