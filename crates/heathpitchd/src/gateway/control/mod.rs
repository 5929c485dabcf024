//! Control thread of a gateway: a set of controllers on one current-thread runtime.
//!
//! `config` keeps the newest configuration, `engine_list` the list of `engines`, each with a proof that it is
//! current; `feed` hears both from other nodes instead, as `turns` says, and `tell` answers these; `nodes`
//! keeps the lease of the failure domain's planner and counts who follows it; `planner` orders layers by
//! `orders`; `reports` asks engines how they do, and `neighbours` hears what those of the other failure
//! domains do; `ends` finds out whether engines ended whose connections calls lost, and `quarantine` under
//! which requests they do; `wishes` heeds what engines ask for in their answers, and `rights` hands out their
//! limits, which `limit_records` keeps in the store; `recovery` watches running streams and moves them off engines that `looks` finds lost; `suspended`
//! finds out that the VM was suspended. They publish snapshots in [`Shared`], that of engines by `publish`; nothing else is shared with traffic.

mod config;
mod ends;
mod engine_list;
mod engines;
mod feed;
mod limit_records;
mod looks;
mod neighbours;
mod nodes;
mod orders;
mod planner;
mod publish;
mod quarantine;
mod recovery;
mod reports;
mod rights;
mod state;
mod store;
mod suspended;
mod tell;
mod turns;
mod wishes;

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

use heathpitch_net::{Body, Bounds, FeedServer, Listener, full, json, serve};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

use super::shared::{Edges, Notice, Shared};
use state::Control;

/// Connections of the balancer and of whoever reads metrics at once.
const PROBE_CONNECTIONS: usize = 32;

/// Listeners that the control thread serves.
pub(super) struct Listeners {
    pub(super) ready: Listener,
    pub(super) metrics: Listener,
    /// Of nodes that this one tells what the store holds.
    pub(super) peers: Option<Listener>,
}

/// Starts the control thread; it ends when `stop` turns true.
///
/// # Errors
///
/// What the system says if the thread cannot be started.
pub(super) fn spawn(
    shared: Arc<Shared>,
    edges: Edges,
    listeners: impl FnOnce() -> io::Result<Listeners> + Send + 'static,
    inbox: mpsc::Receiver<Notice>,
    mut stop: watch::Receiver<bool>,
) -> io::Result<thread::JoinHandle<io::Result<()>>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let mut listeners = listeners()?;
            let peers = listeners.peers.take();
            probes(&shared, edges.dialect.ready_path(), listeners, &stop);
            let control = Rc::new(Control::new(shared, edges));
            if let Some(peers) = peers {
                let c = control.clone();
                let hander = control.clone();
                let server = FeedServer::new(
                    Rc::new(move |ask| tell::answer(&c, ask)),
                    Rc::new(move |ask| hander.hand_out(&ask)),
                );
                spawn_local(server.serve(peers.into_socket()));
            }
            spawn_local(feed::follow(control.clone()));
            spawn_local(config::follow(control.clone()));
            spawn_local(config::keep_proven(control.clone()));
            spawn_local(engine_list::follow(control.clone()));
            spawn_local(nodes::follow(control.clone()));
            spawn_local(nodes::count(control.clone()));
            spawn_local(nodes::renew(control.clone()));
            spawn_local(planner::run(control.clone()));
            spawn_local(recovery::run(control.clone()));
            spawn_local(reports::run(control.clone()));
            spawn_local(neighbours::follow(control.clone()));
            spawn_local(quarantine::run(control.clone()));
            spawn_local(wishes::run(control.clone()));
            spawn_local(rights::run(control.clone()));
            spawn_local(limit_records::run(control.clone()));
            spawn_local(suspended::watch(control.clone()));
            spawn_local(receive(control, inbox));
            let _ = stop.wait_for(|s| *s).await;
            Ok(())
        })
    })
}

/// Takes notices of the traffic thread.
async fn receive(control: Rc<Control>, mut inbox: mpsc::Receiver<Notice>) {
    while let Some(notice) = inbox.recv().await {
        match notice {
            Notice::Stream(live) => recovery::take(&control, &live),
            Notice::Replaced(engine) => engines::mark_replaced(&control, &engine),
            Notice::LayerMismatch(engine) => engines::reread(&control, &engine),
            Notice::Refused(engine) => looks::question(&control, &engine),
            Notice::ConnectionLost(lost) => ends::take(&control, lost),
            Notice::Answered(print) => control.answered(print),
            Notice::EngineAlive(life) => control.engine_lives(&life),
            Notice::Draining(life) => control.engine_leaves(&life),
            Notice::HeldBack(print) => control.came_again(print),
            Notice::Limited(life) => control.engine_limited(&life),
            Notice::RightsWanted(wanted) => rights::seek(&control, wanted),
        }
    }
}

/// Serves the balancer's check and the metrics.
fn probes(
    shared: &Arc<Shared>,
    ready_path: &'static str,
    listeners: Listeners,
    stop: &watch::Receiver<bool>,
) {
    let bounds = Bounds { connections: PROBE_CONNECTIONS, ..Bounds::default() };
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

/// Answers who reads metrics, or asks which requests are held back.
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
    let mut response = Response::new(full(shared.metrics.text()));
    let media = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, media);
    response
}
