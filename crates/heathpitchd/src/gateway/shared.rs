//! State shared by the threads of a gateway: snapshots, counters and a bounded channel to the
//! control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};

use arc_swap::{ArcSwap, ArcSwapOption};
use heathpitch_core::{
    Catalog, EngineEntry, ForwardToken, GatewaySettings, Millis, Name, RequestFingerprint,
};
use heathpitch_net::{Dialect, EngineControl, Pool, RetryRequest, Store};
use heathpitch_policy::{
    AccountShares, AnsweredParts, DemandKey, EngineIncarnation, Forwarders, Freshness, PartKey,
    RetryBook, Suspicion,
};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot, watch};

use super::balance::Balances;
use super::config_proofs::ConfigProofs;
use super::content_budget::ContentBudget;
use super::engine_table::EngineTable;
use super::live::LiveStream;
use super::metrics::GatewayMetrics;
use super::old_proof_calls::OldProofCalls;
use super::quarantine_snapshot::QuarantineSnapshot;
use super::reach::Reach;
use super::stop_deadline::StopDeadline;
use super::verdict_age::VerdictAge;
use crate::clock::Clock;

/// Capacity of the channel to the control thread.
const CONTROL_CAPACITY: usize = 4_096;

/// A message from the traffic thread to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// A stream was sent.
    Stream(Arc<LiveStream>),
    /// Another engine answered at an engine's address.
    Replaced(Name),
    /// An engine does not hold its layers of a path, or another one answers at its address.
    LayerMismatch(Name),
    /// An engine refused its stage of a path.
    Refused(Name),
    /// The connection of a call to an engine was lost.
    ConnectionLost(LostAttempt),
    /// An engine completely answered a request that others had exited under before.
    Answered(RequestFingerprint),
    /// An engine answered a prompt with parts that others had exited under before.
    PartsAnswered(Arc<[PartKey]>, EngineIncarnation),
    /// An engine that was reported as exited answered a call sent after the report.
    EngineAlive(EngineIncarnation),
    /// An engine announced that it drains.
    Draining(EngineIncarnation),
    /// A request that is held back was sent again by a caller.
    HeldBack(RequestFingerprint),
    /// A request with a part of its prompt that is held back was sent by a caller.
    PartHeldBack(PartKey),
    /// An engine changed or removed its rate limit.
    Limited(EngineIncarnation),
    /// A stream was asked for, and admitted or not, in a service whose accounts have shares.
    Demand(DemandKey, bool),
    /// A call needs a right for an engine with a rate limit.
    RightsWanted(RightsWanted),
    /// The way to the engines of a service may be cut.
    ReachSuspected(ReachSuspicion),
    /// A call needs a retry that this node cannot make by itself.
    RetryWanted(RetryWanted),
}

/// A request for a retry.
#[derive(Debug)]
pub(crate) struct RetryWanted {
    pub(crate) request: RetryRequest,
    /// Closed once the call has stopped waiting.
    pub(crate) reply: oneshot::Sender<RetryGrant>,
}

/// Outcome of a request for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryGrant {
    /// The retry is issued.
    Issued,
    /// No issuer that answered has one left.
    Exhausted,
    /// No issuer answered.
    NoIssuer,
}

/// A sign that this node may be cut off from a service.
#[derive(Clone, Debug)]
pub(crate) struct ReachSuspicion {
    pub(crate) service: Name,
    pub(crate) why: Suspicion,
    /// When the attempt began that failed or takes long.
    pub(crate) since: Millis,
}

/// How this node takes calls of other nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardAccess {
    pub(crate) address: SocketAddr,
    pub(crate) token: ForwardToken,
}

/// A request for rights to send requests to an engine with a rate limit.
#[derive(Debug)]
pub(crate) struct RightsWanted {
    pub(crate) engine: Arc<EngineEntry>,
    pub(crate) count: u16,
    /// Closed once the caller has stopped waiting.
    pub(crate) reply: oneshot::Sender<RightsGrant>,
}

/// Outcome of a request for rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RightsGrant {
    /// Number of rights issued, and when the request for them was sent.
    Issued(u16, Millis),
    /// No right for so many milliseconds.
    RetryAfter(Millis),
    /// No node that issues rights can be reached.
    NoIssuer,
}

/// An attempt whose connection was lost while its engine may have been running it.
#[derive(Clone, Debug)]
pub(crate) struct LostAttempt {
    pub(crate) engine: Arc<EngineEntry>,
    pub(crate) fingerprint: RequestFingerprint,
    /// Parts of its prompt.
    pub(crate) parts: Arc<[PartKey]>,
    /// Events received in this attempt.
    pub(crate) events: u32,
}

/// Clients for the platform, and the format it uses.
#[derive(Clone)]
pub struct Clients {
    /// The key-value store.
    pub store: Arc<dyn Store>,
    /// The same on connections of its own, for proofs of the configuration.
    pub proofs: Arc<dyn Store>,
    /// Formats of documents and request headers.
    pub dialect: Arc<dyn Dialect>,
    /// Control requests to engines.
    pub engines: Arc<dyn EngineControl>,
}

impl std::fmt::Debug for Clients {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Edges")
    }
}

/// Records that data was confirmed as current by a call sent at `sent`.
pub(crate) fn record_proof(freshness: &ArcSwap<Freshness>, sent: Millis) {
    freshness.rcu(|newest| {
        let mut newest = **newest;
        newest.prove(sent);
        newest
    });
}

/// State shared by all threads of a gateway.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: ArcSwap<GatewaySettings>,
    /// Address at which other nodes reach this one, if it listens to them.
    pub(crate) peer: Option<SocketAddr>,
    /// How other nodes forward calls to this one, if it takes any.
    pub(crate) forward: Option<ForwardAccess>,
    /// Nodes that calls may be forwarded to. The lock is held for microseconds.
    pub(crate) forwarders: Mutex<Forwarders>,
    /// Services that this node does not reach.
    pub(crate) reach: Reach,
    pub(crate) clock: Clock,
    pub(crate) metrics: GatewayMetrics,
    /// Connections to engines.
    pub(crate) pool: Pool,
    /// Memory for bodies and answers.
    pub(crate) contents: ContentBudget,
    pub(crate) catalog: ArcSwapOption<Catalog>,
    pub(crate) table: ArcSwap<EngineTable>,
    /// When the configuration in force was last confirmed as the newest.
    pub(crate) config_freshness: ArcSwap<Freshness>,
    /// Proofs of the newest configuration, for the admission of calls.
    pub(crate) config_proofs: ConfigProofs,
    pub(crate) old_proof_calls: OldProofCalls,
    /// When the known engines were last confirmed to match the store.
    pub(crate) list_freshness: ArcSwap<Freshness>,
    /// Requests that were running on engines when these exited.
    pub(crate) quarantine: ArcSwap<QuarantineSnapshot>,
    pub(crate) verdict_age: VerdictAge,
    informed: AtomicBool,
    /// Parts of prompts that engines answered lately. The lock is held for microseconds.
    pub(crate) answered_parts: Mutex<AnsweredParts>,
    /// Fractions of calls that run in other failure domains.
    pub(crate) balances: Balances,
    /// Shares of client accounts.
    pub(crate) shares: ArcSwap<AccountShares>,
    /// Retries promised to rejected callers. The control thread holds the lock a few times a second,
    /// for microseconds.
    pub(crate) retry_book: Mutex<RetryBook>,
    pub(crate) stopping: AtomicBool,
    pub(crate) stop: StopDeadline,
    pub(crate) open_calls: AtomicUsize,
    /// Open calls that other nodes forwarded to this one.
    pub(crate) open_forwarded: AtomicUsize,
    /// How often the VM was resumed after a suspension.
    resumed: watch::Sender<u64>,
    control: mpsc::Sender<ControlMessage>,
}

impl Shared {
    /// State of a gateway that has no configuration and no engines yet, and the receiving end of
    /// the channel to the control thread.
    pub(crate) fn new(
        settings: GatewaySettings,
        peer: Option<SocketAddr>,
        forward: Option<SocketAddr>,
        metrics: GatewayMetrics,
    ) -> (Arc<Self>, mpsc::Receiver<ControlMessage>) {
        let (control, inbox) = mpsc::channel(CONTROL_CAPACITY);
        let shared = Self {
            peer,
            forward: forward
                .map(|address| ForwardAccess { address, token: ForwardToken::new(rand::random()) }),
            forwarders: Mutex::default(),
            reach: Reach::default(),
            clock: Clock::start(),
            metrics,
            pool: Pool::new(),
            contents: ContentBudget::new(settings.vm.memory_mb),
            config_proofs: ConfigProofs::new(settings.bounds.config_apply_ms),
            settings: ArcSwap::from_pointee(settings),
            catalog: ArcSwapOption::empty(),
            table: ArcSwap::default(),
            config_freshness: ArcSwap::default(),
            old_proof_calls: OldProofCalls::default(),
            list_freshness: ArcSwap::default(),
            quarantine: ArcSwap::default(),
            verdict_age: VerdictAge::default(),
            answered_parts: Mutex::default(),
            balances: Balances::default(),
            shares: ArcSwap::default(),
            retry_book: Mutex::new(RetryBook::new(rand::random())),
            informed: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            stop: StopDeadline::default(),
            open_calls: AtomicUsize::new(0),
            open_forwarded: AtomicUsize::new(0),
            resumed: watch::Sender::new(0),
            control,
        };
        (Arc::new(shared), inbox)
    }

    /// Puts reloaded settings into force, also in the published engine table.
    pub(crate) fn apply_settings(&self, settings: GatewaySettings) {
        let forecast = settings.load.forecast.is_on();
        self.config_proofs.set_apply_time(settings.bounds.config_apply_ms);
        self.settings.store(Arc::new(settings));
        if self.table.load().forecast != forecast {
            self.table.rcu(|table| EngineTable { forecast, ..(**table).clone() });
        }
    }

    /// Records that the configuration in force was confirmed as the newest by a call sent at `sent`.
    pub(crate) fn record_config_proof(&self, sent: Millis) {
        record_proof(&self.config_freshness, sent);
        self.config_proofs.confirm(sent);
    }

    /// Current time of the node's clock.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Sleeps until a time of the node's clock. A timer alone would fire too late by the time for
    /// which the VM is suspended meanwhile.
    pub(crate) async fn sleep_until(&self, at: Millis) {
        let mut resumed = self.resumed.subscribe();
        while self.now() < at {
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                _ = resumed.changed() => {}
            }
        }
    }

    /// Sleeps until a time of the node's clock, or until a stopping node has to have answered its calls.
    pub(crate) async fn sleep_until_due(&self, at: Millis) {
        let mut stop = self.stop.subscribe();
        loop {
            let due = at.min(*stop.borrow_and_update());
            tokio::select! {
                () = self.sleep_until(due) => return,
                Ok(()) = stop.changed() => {}
            }
        }
    }

    /// Runs a future of a call until a time of the node's clock, or until a stopping node has to have answered it;
    /// none if it has not finished by then.
    pub(crate) async fn run_until<T>(
        &self,
        at: Millis,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.sleep_until_due(at) => None,
        }
    }

    /// Makes all sleepers check the clock again, after the VM was suspended.
    pub(crate) fn resume(&self) {
        self.resumed.send_modify(|count| *count += 1);
    }

    /// Whether this node has learned since its start what is held back and which limits engines have.
    pub(crate) fn is_informed(&self) -> bool {
        self.informed.load(Relaxed)
    }

    /// Records that it has.
    pub(crate) fn set_informed(&self) {
        self.informed.store(true, Relaxed);
    }

    /// Whether the load balancer should send new connections here.
    pub(crate) fn ready(&self) -> bool {
        let revoke_ms = self.settings.load().bounds.revoke_ms;
        !self.stopping.load(Relaxed)
            && self.is_informed()
            && self.catalog.load().is_some()
            && !self.table.load().services.is_empty()
            && self.config_freshness.load().covers(self.now(), revoke_ms)
    }

    /// Reports a sign that this node may be cut off from a service.
    pub(crate) fn suspect_reach(&self, service: &Name, why: Suspicion, since: Millis) {
        if !self.reach.is_notice_due(service, self.now()) {
            return;
        }
        let suspicion = ReachSuspicion { service: service.clone(), why, since };
        if self.notify_control(ControlMessage::ReachSuspected(suspicion)) {
            self.reach.set_checking(service, true);
        }
    }

    /// Sends a message to the control thread; returns false if its channel is full.
    pub(crate) fn notify_control(&self, message: ControlMessage) -> bool {
        let sent = self.control.try_send(message).is_ok();
        if !sent {
            self.metrics.dropped.inc();
        }
        sent
    }
}
