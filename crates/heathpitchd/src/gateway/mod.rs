//! A gateway node: forwards calls to the engines of a platform.
//!
//! The control thread owns the state of configuration, engines and nodes and publishes it as
//! snapshots; the traffic thread runs every call through a chain of filters, and a third one proves that
//! the configuration is the newest. The platform is
//! reached only through the traits in [`Clients`].

mod backpressure;
mod balance;
mod call;
mod config_proofs;
mod content_budget;
mod control;
mod engine_table;
mod event;
mod event_log;
mod forecast;
mod forward_listener;
mod line_limiter;
mod live;
mod metrics;
mod move_progress;
mod old_proof_calls;
mod part_snapshot;
mod prover;
mod quarantine_snapshot;
mod reach;
mod shared;
mod stop_deadline;
mod thread_monitor;
mod verdict_age;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

use heathpitch_core::{GatewaySettings, Millis};
use heathpitch_net::{Bounds, Listener, serve};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::StartError;
use call::{
    Origin, RankMixes, RetryBudgets, RetrySchedules, Traffic, UsualDeadlines, UsualDurations,
};
use control::Listeners;
pub use event::{CallRefused, CallRouted, GatewayEvent, SharesChanged};
pub use metrics::GATEWAY_METRICS;
use metrics::GatewayMetrics;
use prover::ProverClients;
pub use shared::Clients;
use shared::Shared;

/// Concurrent caller connections: below the limit of file descriptors on the smallest supported VM.
const MAX_CONNECTIONS: usize = 3_000;
/// Size of a request's head; above any limit that a configuration may set for callers.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Time for which a connection may be idle before the next head: above any idle timeout that a
/// configuration may set for callers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which a stopping node still accepts connections: the load balancer checks every second
/// and removes a node after two failed checks.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is left unused, so that the process exits before it is killed.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Part of it before that in which the last answers are written.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Interval of checks of the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// A running gateway node.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
    runtime: Runtime,
    control: JoinHandle<io::Result<()>>,
    prover: JoinHandle<()>,
    stop_traffic: watch::Sender<bool>,
    stop_control: watch::Sender<bool>,
    /// Listeners of callers and of other nodes; each ends once the answers on its connections are written.
    served: Vec<tokio::task::JoinHandle<()>>,
    listen: SocketAddr,
}

/// # Lifecycle
impl Gateway {
    /// Binds all listeners and starts all threads.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address cannot be bound or a thread cannot be started.
    pub fn spawn(settings: GatewaySettings, clients: Clients) -> Result<Self, StartError> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let bind = |listener: &'static str, address: SocketAddr| {
            let _guard = runtime.enter();
            Listener::bind(address).map_err(|source| StartError::Bind { listener, address, source })
        };
        let listener = bind("listen", settings.listen)?;
        let ready = bind("ready", settings.ready)?;
        let metrics = bind("metrics", settings.metrics)?;
        let peers = settings.peer.map(|address| bind("peer", address)).transpose()?;
        let forward = settings.forward.map(|address| bind("forward", address)).transpose()?;
        let peer = peers.as_ref().map(Listener::address);
        let listen = listener.address();
        let collectors = GatewayMetrics::new().map_err(io::Error::other)?;
        GatewayEvent::GatewayStarted {
            node: settings.node.clone(),
            domain: settings.domain.clone(),
            listen: listen.to_string(),
            ready: ready.address().to_string(),
            metrics: metrics.address().to_string(),
            peer: peer.map(|p| p.to_string()),
            forward: forward.as_ref().map(|f| f.address().to_string()),
        }
        .log();
        let (ready, metrics) = (ready.into_std()?, metrics.into_std()?);
        let peers = peers.map(Listener::into_std).transpose()?;
        let forward_address = forward.as_ref().map(Listener::address);
        let (shared, inbox) = Shared::new(settings, peer, forward_address, collectors);
        let (stop_control, control_stopped) = watch::channel(false);
        let (stop_traffic, traffic_stopped) = watch::channel(false);
        let listeners = move || {
            let (ready, metrics) = (Listener::from_std(ready)?, Listener::from_std(metrics)?);
            let peers = peers.map(Listener::from_std).transpose()?;
            Ok(Listeners { ready, metrics, peers })
        };
        let (answers, proofs) = mpsc::channel(prover::ANSWER_CAPACITY);
        let of_proofs = ProverClients {
            store: clients.proofs.clone(),
            dialect: clients.dialect.clone(),
            answers,
        };
        let prover = prover::spawn(shared.clone(), of_proofs, control_stopped.clone())?;
        let (s, c) = (shared.clone(), clients.clone());
        let control = control::spawn(s, c, listeners, inbox, proofs, control_stopped)?;
        let traffic = Arc::new(Traffic {
            retry_budgets: RetryBudgets::new(shared.clone()),
            retry_schedules: RetrySchedules::new(shared.clone()),
            usual_deadlines: UsualDeadlines::default(),
            usual_durations: UsualDurations::default(),
            rank_mixes: RankMixes::default(),
            pool: shared.pool.clone(),
            shared: shared.clone(),
            clients,
        });
        let bounds = Bounds {
            max_connections: MAX_CONNECTIONS,
            max_head_bytes: MAX_HEAD_BYTES,
            head_timeout: HEAD_TIMEOUT,
        };
        let of_nodes = forward.map(|forward| {
            let (traffic, stopped) = (traffic.clone(), traffic_stopped.clone());
            runtime.spawn(forward_listener::serve_nodes(forward, traffic, stopped))
        });
        let of_callers = runtime.spawn(serve(listener, bounds, traffic_stopped, move |request| {
            call::handle(traffic.clone(), request, Origin::Caller)
        }));
        let served = of_nodes.into_iter().chain([of_callers]).collect();
        Ok(Self { shared, runtime, control, prover, stop_traffic, stop_control, served, listen })
    }

    /// Serves until SIGTERM or SIGINT; reloads `settings` when the file changes or on SIGHUP.
    ///
    /// # Errors
    ///
    /// [`StartError`] if a signal handler cannot be installed.
    pub fn serve(&self, settings: &Path) -> Result<(), StartError> {
        let path = settings.to_owned();
        self.runtime.block_on(async {
            let (mut term, mut int) =
                (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
            let hup = signal(SignalKind::hangup())?;
            let shared = self.shared.clone();
            tokio::spawn(reload(shared, path, hup));
            tokio::spawn(thread_monitor::watch("calls"));
            #[cfg(feature = "seams")]
            tokio::spawn(suspend(signal(SignalKind::user_defined2())?));
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            Ok(())
        })
    }

    /// Shuts down: reports at once that it is not ready, accepts connections until the load
    /// balancer has removed the node, then lets calls finish within the grace period. Calls that cannot
    /// are refused, or given up before its end. Returns the number of calls cut off.
    pub fn stop(self) -> usize {
        let shared = self.shared.clone();
        shared.stopping.store(true, Relaxed);
        GatewayEvent::GatewayStopping { open: shared.open_calls.load(Relaxed) }.log();
        let grace = Duration::from_secs_f64(shared.settings.load().bounds.grace_s);
        let answering = grace.saturating_sub(GRACE_MARGIN + ANSWER_MARGIN);
        shared.stop.begin(shared.now() + answering.as_millis() as Millis);
        let cut = self.runtime.block_on(async {
            tokio::time::sleep(DEREGISTRATION_DELAY).await;
            self.stop_traffic.send_replace(true);
            // A call is no longer open once its answer is passed on, but its caller may still be reading.
            let written = futures::future::join_all(self.served);
            let remaining = grace.saturating_sub(DEREGISTRATION_DELAY + GRACE_MARGIN);
            if tokio::time::timeout(remaining, written).await.is_err() {
                log::warn!("connections were still open at the end of the grace period");
            }
            shared.open_calls.load(Relaxed) + shared.stop.cut()
        });
        self.stop_control.send_replace(true);
        match self.control.join() {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::error!("control thread failed: {e}"),
            Err(_) => log::error!("control thread panicked"),
        }
        if self.prover.join().is_err() {
            log::error!("proof thread panicked");
        }
        self.runtime.shutdown_background();
        GatewayEvent::GatewayStopped { cut }.log();
        cut
    }
}

/// # Accessors
impl Gateway {
    /// Address that callers connect to.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }
}

/// Reloads the settings on SIGHUP, and when the modification time of their file changes.
async fn reload(shared: Arc<Shared>, path: PathBuf, mut hup: Signal) {
    let mut seen = modified(&path);
    loop {
        let signalled = tokio::select! {
            _ = hup.recv() => true,
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        let now = modified(&path);
        if !signalled && now == seen {
            continue;
        }
        seen = now;
        let text = std::fs::read_to_string(&path).map_err(|e| e.to_string());
        let parsed = text.and_then(|t| GatewaySettings::parse(&t).map_err(|e| e.to_string()));
        let error = match parsed {
            Ok(settings) => {
                shared.apply_settings(settings);
                None
            }
            Err(e) => Some(e),
        };
        shared.metrics.settings_rejected.set(i64::from(error.is_some()));
        GatewayEvent::GatewayReloaded { error }.log();
    }
}

/// Simulates a suspension of the VM on each SIGUSR2.
#[cfg(feature = "seams")]
async fn suspend(mut usr: Signal) {
    while usr.recv().await.is_some() {
        crate::clock::suspend();
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}
