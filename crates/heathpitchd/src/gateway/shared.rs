//! What a gateway's threads share: snapshots, counters and one bounded channel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};

use arc_swap::{ArcSwap, ArcSwapOption};
use heathpitch_core::{Catalog, EngineEntry, GatewaySettings, Millis, Name, RequestFingerprint};
use heathpitch_net::{Dialect, EngineControl, Pool, Store};
use heathpitch_policy::{EngineIncarnation, Freshness};
use tokio::sync::{mpsc, oneshot, watch};

use super::engine_table::EngineTable;
use super::live::LiveStream;
use super::metrics::GatewayMetrics;
use super::quarantine_snapshot::QuarantineSnapshot;
use crate::clock::Clock;

/// Messages that wait for the control thread.
const CONTROL_ROOM: usize = 4_096;

/// A message of the traffic thread to the control thread.
#[derive(Debug)]
pub(crate) enum Notice {
    /// A stream was sent.
    Stream(Arc<LiveStream>),
    /// A request found another engine at an engine's address.
    Replaced(Name),
    /// An engine does not hold its part of a path, or another one answers at its address.
    LayerMismatch(Name),
    /// An engine refused its part of a path.
    Refused(Name),
    /// A call's connection to an engine was lost.
    ConnectionLost(LostAttempt),
    /// A request under which engines ended was answered whole.
    Answered(RequestFingerprint),
    /// An engine that is said to have ended answered a call sent after that.
    EngineAlive(EngineIncarnation),
    /// An engine says that it leaves.
    Draining(EngineIncarnation),
    /// A request that is held back came again.
    HeldBack(RequestFingerprint),
    /// An engine named another limit than before, or none any more.
    Limited(EngineIncarnation),
    /// A call wants to be sent to an engine that names a limit.
    RightsWanted(RightsWanted),
}

/// Rights that are wanted to send requests to an engine.
#[derive(Debug)]
pub(crate) struct RightsWanted {
    pub(crate) engine: Arc<EngineEntry>,
    pub(crate) count: u16,
    /// Nobody waits for it any more if the time to answer is over.
    pub(crate) reply: oneshot::Sender<RightsGrant>,
}

/// What became of a question for rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RightsGrant {
    /// So many were handed out to a question sent then.
    Issued(u16, Millis),
    /// None before so many milliseconds.
    RetryAfter(Millis),
    /// Nobody hands out rights who can be reached.
    NoIssuer,
}

/// A send whose connection was lost while its engine may have been at work on it.
#[derive(Clone, Debug)]
pub(crate) struct LostAttempt {
    pub(crate) engine: Arc<EngineEntry>,
    pub(crate) print: RequestFingerprint,
    /// Events that this send brought.
    pub(crate) events: u32,
}

/// The platform, as an adapter speaks it.
#[derive(Clone)]
pub struct Edges {
    /// Its store.
    pub store: Arc<dyn Store>,
    /// Its documents and heads.
    pub dialect: Arc<dyn Dialect>,
    /// Orders to engines.
    pub orders: Arc<dyn EngineControl>,
}

impl std::fmt::Debug for Edges {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Edges")
    }
}

/// Takes a proof by a call sent at `sent`.
pub(crate) fn record_proof(proof: &ArcSwap<Freshness>, sent: Millis) {
    let mut newest = **proof.load();
    newest.prove(sent);
    proof.store(Arc::new(newest));
}

/// Shared by all threads of a gateway.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: ArcSwap<GatewaySettings>,
    /// Where other nodes ask this one, if they may.
    pub(crate) peer: Option<SocketAddr>,
    pub(crate) clock: Clock,
    pub(crate) metrics: GatewayMetrics,
    /// Connections to engines.
    pub(crate) pool: Pool,
    pub(crate) catalog: ArcSwapOption<Catalog>,
    pub(crate) table: ArcSwap<EngineTable>,
    /// Proof that the configuration in force is the newest.
    pub(crate) config_freshness: ArcSwap<Freshness>,
    /// Proof that the engines known are those that the store lists.
    pub(crate) list_freshness: ArcSwap<Freshness>,
    /// Requests under which engines ended.
    pub(crate) quarantine: ArcSwap<QuarantineSnapshot>,
    pub(crate) stopping: AtomicBool,
    pub(crate) open_calls: AtomicUsize,
    /// How often the VM has gone on after it was suspended.
    resumed: watch::Sender<u64>,
    notices: mpsc::Sender<Notice>,
}

impl Shared {
    /// Shared state of a gateway that knows nothing yet.
    pub(crate) fn new(
        settings: GatewaySettings,
        peer: Option<SocketAddr>,
        metrics: GatewayMetrics,
    ) -> (Arc<Self>, mpsc::Receiver<Notice>) {
        let (notices, inbox) = mpsc::channel(CONTROL_ROOM);
        let shared = Self {
            settings: ArcSwap::from_pointee(settings),
            peer,
            clock: Clock::start(),
            metrics,
            pool: Pool::new(),
            catalog: ArcSwapOption::empty(),
            table: ArcSwap::default(),
            config_freshness: ArcSwap::default(),
            list_freshness: ArcSwap::default(),
            quarantine: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            open_calls: AtomicUsize::new(0),
            resumed: watch::Sender::new(0),
            notices,
        };
        (Arc::new(shared), inbox)
    }

    /// Now, on the node's clock.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Waits until a time of the node's clock, which timers alone would miss by as much as the VM is
    /// suspended meanwhile.
    pub(crate) async fn sleep_until(&self, at: Millis) {
        let mut resumed = self.resumed.subscribe();
        while self.now() < at {
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                _ = resumed.changed() => {}
            }
        }
    }

    /// What work comes to, if it does before a time of the node's clock.
    pub(crate) async fn run_until<T>(
        &self,
        at: Millis,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.sleep_until(at) => None,
        }
    }

    /// The VM goes on after it was suspended: all that waits for a time looks again.
    pub(crate) fn resume(&self) {
        self.resumed.send_modify(|times| *times += 1);
    }

    /// Whether the balancer should send new connections here.
    pub(crate) fn ready(&self) -> bool {
        let revoke = self.settings.load().bounds.revoke_ms;
        !self.stopping.load(Relaxed)
            && self.catalog.load().is_some()
            && !self.table.load().services.is_empty()
            && self.config_freshness.load().covers(self.now(), revoke)
    }

    /// Sends a notice to the control thread; false if it has no room.
    pub(crate) fn notify(&self, notice: Notice) -> bool {
        let told = self.notices.try_send(notice).is_ok();
        if !told {
            self.metrics.dropped.inc();
        }
        told
    }
}
