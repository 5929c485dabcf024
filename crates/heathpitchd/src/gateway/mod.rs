//! A node that serves pass-through calls beside a platform's store.
//!
//! The control thread owns what is known of configuration, engines and nodes and publishes
//! snapshots; the traffic thread runs every call through a chain of filters. The platform is
//! reached only through the traits of [`Edges`].

mod backpressure;
mod call;
mod control;
mod engine_table;
mod event;
mod event_log;
mod live;
mod metrics;
mod quarantine_snapshot;
mod shared;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

use heathpitch_core::GatewaySettings;
use heathpitch_net::{Bounds, Listener, serve};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::StartError;
use call::{RetryBudgets, RetrySchedules, Traffic};
use control::Listeners;
pub use event::GatewayEvent;
pub use metrics::GATEWAY_METRICS;
use metrics::GatewayMetrics;
pub use shared::Edges;
use shared::Shared;

/// Caller connections at once: below the descriptors of the smallest VM served.
const CONNECTIONS: usize = 3_000;
/// Bytes of a request's head; above any limit that a configuration may set for callers.
const HEAD: usize = 32 << 10;
/// Time for which a connection may rest before the next head: above any idle time that a
/// configuration may promise to callers.
const HEAD_TIME: Duration = Duration::from_secs(60);
/// Time for which a stopping node goes on accepting: the balancer asks every second and takes a
/// node out after two misses.
const NOTICE: Duration = Duration::from_millis(2_600);
/// Part of the time to stop that is left unused, so that the end is this process's own.
const SPARE: Duration = Duration::from_millis(500);
/// Time between two looks at whether calls are still open.
const LOOK: Duration = Duration::from_millis(50);
/// Time for connections to close once no call is open.
const CLOSE: Duration = Duration::from_millis(300);
/// Time between two looks at the settings file, which may change without a signal.
const RELOAD: Duration = Duration::from_secs(2);

/// A running gateway node.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
    runtime: Runtime,
    control: JoinHandle<io::Result<()>>,
    stop_traffic: watch::Sender<bool>,
    stop_control: watch::Sender<bool>,
    served: tokio::task::JoinHandle<()>,
    listen: SocketAddr,
}

/// # Life
impl Gateway {
    /// Binds every listener and starts all threads.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address cannot be bound or a thread cannot be started.
    pub fn spawn(settings: GatewaySettings, edges: Edges) -> Result<Self, StartError> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let bind = |listener: &'static str, address: SocketAddr| {
            let _inside = runtime.enter();
            Listener::bind(address).map_err(|source| StartError::Bind { listener, address, source })
        };
        let callers = bind("listen", settings.listen)?;
        let ready = bind("ready", settings.ready)?;
        let metrics = bind("metrics", settings.metrics)?;
        let peers = settings.peer.map(|address| bind("peer", address)).transpose()?;
        let peer = peers.as_ref().map(Listener::address);
        let listen = callers.address();
        let counted = GatewayMetrics::new().map_err(io::Error::other)?;
        GatewayEvent::GatewayStarted {
            node: settings.node.clone(),
            domain: settings.domain.clone(),
            listen: listen.to_string(),
            ready: ready.address().to_string(),
            metrics: metrics.address().to_string(),
            peer: peer.map(|p| p.to_string()),
        }
        .log();
        let (ready, metrics) = (ready.into_std()?, metrics.into_std()?);
        let peers = peers.map(Listener::into_std).transpose()?;
        let (shared, inbox) = Shared::new(settings, peer, counted);
        let (stop_control, control_stopped) = watch::channel(false);
        let (stop_traffic, traffic_stopped) = watch::channel(false);
        let listeners = move || {
            let (ready, metrics) = (Listener::from_std(ready)?, Listener::from_std(metrics)?);
            let peers = peers.map(Listener::from_std).transpose()?;
            Ok(Listeners { ready, metrics, peers })
        };
        let control =
            control::spawn(shared.clone(), edges.clone(), listeners, inbox, control_stopped)?;
        let traffic = Arc::new(Traffic {
            retry_budgets: RetryBudgets::new(shared.clone()),
            retry_schedules: RetrySchedules::default(),
            pool: shared.pool.clone(),
            shared: shared.clone(),
            edges,
        });
        let bounds = Bounds { connections: CONNECTIONS, head: HEAD, head_time: HEAD_TIME };
        let served = runtime.spawn(serve(callers, bounds, traffic_stopped, move |request| {
            call::handle(traffic.clone(), request)
        }));
        Ok(Self { shared, runtime, control, stop_traffic, stop_control, served, listen })
    }

    /// Serves until SIGTERM or SIGINT; reads `settings` again when it changes or on SIGHUP.
    ///
    /// # Errors
    ///
    /// [`StartError`] if signals cannot be listened to.
    pub fn serve(&self, settings: &Path) -> Result<(), StartError> {
        let path = settings.to_owned();
        self.runtime.block_on(async {
            let (mut term, mut int) =
                (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
            let hup = signal(SignalKind::hangup())?;
            let shared = self.shared.clone();
            tokio::spawn(reload(shared, path, hup));
            #[cfg(feature = "seams")]
            tokio::spawn(suspend(signal(SignalKind::user_defined2())?));
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            Ok(())
        })
    }

    /// Stops: says at once that it is not ready, accepts while the balancer takes notice, then
    /// lets calls end within the time to stop. Gives the number of calls cut off.
    pub fn stop(self) -> usize {
        let shared = self.shared.clone();
        shared.stopping.store(true, Relaxed);
        GatewayEvent::GatewayStopping { open: shared.open_calls.load(Relaxed) }.log();
        let grace = Duration::from_secs_f64(shared.settings.load().bounds.grace_s);
        let cut = self.runtime.block_on(async {
            tokio::time::sleep(NOTICE).await;
            self.stop_traffic.send_replace(true);
            let idle = async {
                while shared.open_calls.load(Relaxed) > 0 {
                    tokio::time::sleep(LOOK).await;
                }
            };
            let left = grace.saturating_sub(NOTICE + SPARE);
            let ended = tokio::time::timeout(left, idle).await.is_ok();
            if ended {
                // Connections that stay open after this hold no call.
                let _ = tokio::time::timeout(CLOSE, self.served).await;
            }
            shared.open_calls.load(Relaxed)
        });
        self.stop_control.send_replace(true);
        match self.control.join() {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::error!("the control thread ended: {e}"),
            Err(_) => log::error!("the control thread ended in a panic"),
        }
        self.runtime.shutdown_background();
        GatewayEvent::GatewayStopped { cut }.log();
        cut
    }
}

/// # Reading
impl Gateway {
    /// Address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }
}

/// Reads the settings again on SIGHUP, and when their file has another time.
async fn reload(shared: Arc<Shared>, path: PathBuf, mut hup: Signal) {
    let mut seen = changed(&path);
    loop {
        let asked = tokio::select! {
            _ = hup.recv() => true,
            () = tokio::time::sleep(RELOAD) => false,
        };
        let now = changed(&path);
        if !asked && now == seen {
            continue;
        }
        seen = now;
        let text = std::fs::read_to_string(&path).map_err(|e| e.to_string());
        let parsed = text.and_then(|t| GatewaySettings::parse(&t).map_err(|e| e.to_string()));
        let error = match parsed {
            Ok(settings) => {
                shared.settings.store(Arc::new(settings));
                None
            }
            Err(e) => Some(e),
        };
        GatewayEvent::GatewayReloaded { error }.log();
    }
}

/// Has the VM seem suspended at each SIGUSR2.
#[cfg(feature = "seams")]
async fn suspend(mut usr: Signal) {
    while usr.recv().await.is_some() {
        crate::clock::suspend();
    }
}

fn changed(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}
