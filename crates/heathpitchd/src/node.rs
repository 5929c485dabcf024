//! A running node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::JoinHandle;
use std::time::Duration;

use heathpitch_core::Settings;
use heathpitch_net::{Bounds, Client, HttpEngine, HttpPlatform, Listener, serve};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Notify, watch};

use crate::control::{self, Addresses, Clients};
use crate::event::Event;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::traffic::{self, Traffic};
use crate::{StartError, admin, clock};

/// Interval for polling the number of open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of admin connections.
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// Time for connections to close once no request is open.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A node that serves until it is drained.
///
/// # Examples
///
/// ```no_run
/// let text = std::fs::read_to_string("node.json")?;
/// let settings = heathpitch_core::parse_settings(&text)?;
/// let node = heathpitchd::Node::spawn(settings)?;
/// println!("callers are served at {}", node.listen());
/// node.drain();
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    runtime: Runtime,
    control: JoinHandle<()>,
    stop_traffic: watch::Sender<bool>,
    stop_control: watch::Sender<bool>,
    served: tokio::task::JoinHandle<()>,
    drain: Arc<Notify>,
    listen: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
}

/// # Lifecycle
impl Node {
    /// Binds every listener and starts all threads.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address cannot be bound or a thread cannot be started.
    pub fn spawn(settings: Settings) -> Result<Self, StartError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let bind = |listener: &'static str, address: SocketAddr| {
            let _inside = runtime.enter();
            Listener::bind(address).map_err(|source| StartError::Bind { listener, address, source })
        };
        let callers = bind("listen", settings.listen)?;
        let operators = bind("admin", settings.admin)?;
        let peers = bind("peer.listen", settings.peer.listen)?;
        let (listen, admin, peer) = (callers.address(), operators.address(), peers.address());
        let metrics = Metrics::new().map_err(std::io::Error::other)?;
        let (shared, inbox) = Shared::new(settings, clock::incarnation(), metrics);

        let client = Client::new();
        let platform = Arc::new(HttpPlatform::new(client.clone(), &shared.settings.platform));
        let engine = Arc::new(HttpEngine::new(client.clone()));
        let clients = Clients { engine, platform, client };
        let client = Client::new();
        let engine = Arc::new(HttpEngine::new(client.clone()));
        let (stop_traffic, traffic_stopped) = watch::channel(false);
        let (stop_control, control_stopped) = watch::channel(false);
        let addresses = Addresses { caller: listen.into(), admin: admin.into(), peer: peer.into() };
        let peers = peers.into_socket().into_std()?;
        let stopped = control_stopped.clone();
        let control = control::spawn(shared.clone(), clients, addresses, peers, inbox, stopped)?;

        let traffic = Arc::new(Traffic::new(shared.clone(), engine, client));
        let bounds =
            Bounds { max_connections: shared.settings.max_connections, ..Bounds::default() };
        let served = runtime.spawn(serve(callers, bounds, traffic_stopped, move |request| {
            traffic::handle(traffic.clone(), request)
        }));
        let drain = Arc::new(Notify::new());
        let (s, d) = (shared.clone(), drain.clone());
        let bounds = Bounds { max_connections: MAX_ADMIN_CONNECTIONS, ..Bounds::default() };
        runtime.spawn(serve(operators, bounds, control_stopped, move |request| {
            let response = admin::handle(&s, &d, &request);
            async move { response }
        }));

        Event::Started {
            node: shared.settings.node.clone(),
            listen: listen.to_string(),
            admin: admin.to_string(),
            peer: peer.to_string(),
        }
        .log();
        Ok(Self {
            shared,
            runtime,
            control,
            stop_traffic,
            stop_control,
            served,
            drain,
            listen,
            admin,
            peer,
        })
    }

    /// Waits for SIGTERM, SIGINT or `POST /drain`.
    pub fn wait(&self) {
        self.runtime.block_on(async {
            tokio::select! {
                () = self.drain.notified() => {}
                () = terminated() => {}
            }
        });
    }

    /// Drains the node and stops it.
    ///
    /// Reports not ready at once, keeps accepting requests while load balancers take notice, then
    /// waits up to the drain time of the settings for open requests to end. Returns the number of
    /// requests cut off.
    pub fn drain(self) -> usize {
        let shared = self.shared.clone();
        shared.draining.store(true, Relaxed);
        Event::Draining { open: shared.open.load(Relaxed) }.log();
        let timing = &shared.settings.timing;
        let (notice_ms, max_drain_ms) = (timing.notice_ms, timing.drain_ms);
        let cut = self.runtime.block_on(async {
            tokio::time::sleep(Duration::from_millis(notice_ms)).await;
            self.stop_traffic.send_replace(true);
            let limit = Duration::from_millis(max_drain_ms);
            let idle = async {
                while shared.open.load(Relaxed) > 0 {
                    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
                }
            };
            let ended = tokio::time::timeout(limit, idle).await.is_ok();
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.served).await;
            if ended { 0 } else { shared.open.load(Relaxed) }
        });
        self.stop_control.send_replace(true);
        if self.control.join().is_err() {
            log::error!("the control thread panicked");
        }
        self.runtime.shutdown_background();
        Event::Stopped { cut }.log();
        cut
    }
}

/// # Reading
impl Node {
    /// Address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Address for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Address for peers.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }
}

async fn terminated() {
    use tokio::signal::unix::{SignalKind, signal};
    match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
        (Ok(mut term), Ok(mut int)) => {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}
