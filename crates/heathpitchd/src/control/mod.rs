//! The control thread: a set of controllers on one current-thread runtime.
//!
//! Each controller owns its state, handles events and publishes a snapshot. The state shared with
//! traffic threads is in [`Shared`](crate::shared::Shared).

mod claims;
mod config;
mod exchange;
mod health;
mod members;
mod placement;
mod state;

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use heathpitch_net::{Client, EngineClient, PeerServer, PlatformClient};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::clock::wall;
use crate::shared::{ControlMessage, Shared};
use state::Control;

/// Interval for checking timers of the controllers and publishing snapshots.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Addresses of this node.
#[derive(Clone, Debug)]
pub(crate) struct Addresses {
    pub(crate) caller: heathpitch_core::Name,
    pub(crate) admin: heathpitch_core::Name,
    pub(crate) peer: heathpitch_core::Name,
}

/// Clients that the controllers use.
#[derive(Clone)]
pub(crate) struct Clients {
    pub(crate) engine: Arc<dyn EngineClient>,
    pub(crate) platform: Arc<dyn PlatformClient>,
    pub(crate) client: Client,
}

/// Starts the control thread; it ends when `stop` becomes true.
///
/// # Errors
///
/// The I/O error if the thread cannot be started.
pub(crate) fn spawn(
    shared: Arc<Shared>,
    clients: Clients,
    addresses: Addresses,
    peers: std::net::TcpListener,
    inbox: mpsc::Receiver<ControlMessage>,
    mut stop: watch::Receiver<bool>,
) -> io::Result<thread::JoinHandle<()>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let control = Rc::new(Control::new(shared, clients, addresses));
            start(&control, peers, inbox);
            let _ = stop.wait_for(|s| *s).await;
        });
    })
}

fn start(
    control: &Rc<Control>,
    peers: std::net::TcpListener,
    inbox: mpsc::Receiver<ControlMessage>,
) {
    let c = control.clone();
    let server = PeerServer::new(Rc::new(move |update| exchange::answer(&c, update)));
    match TcpListener::from_std(peers) {
        Ok(socket) => {
            spawn_local(server.serve(socket));
        }
        Err(e) => log::error!("cannot start the peer listener: {e}"),
    }
    spawn_local(config::poll_config(control.clone()));
    spawn_local(config::poll_vms(control.clone()));
    spawn_local(exchange::run(control.clone()));
    spawn_local(placement::run(control.clone()));
    spawn_local(receive(control.clone(), inbox));
    spawn_local(tick(control.clone()));
}

/// Handles messages of traffic threads.
async fn receive(control: Rc<Control>, mut inbox: mpsc::Receiver<ControlMessage>) {
    while let Some(message) = inbox.recv().await {
        match message {
            ControlMessage::Claim { digest, body, reply } => {
                claims::request_claim(&control, digest, body, reply);
            }
            ControlMessage::Failed(name) => health::request_failed(&control, name),
            ControlMessage::Demand(account) => control.demand.borrow_mut().count(account),
        }
    }
}

/// Checks timers and publishes snapshots.
async fn tick(control: Rc<Control>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        claims::tick(&control);
        health::poll_due(&control);
        members::heartbeat(&control);
        control.demand.borrow_mut().tick(control.now(), wall());
        control.publish();
    }
}
