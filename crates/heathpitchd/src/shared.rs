//! State shared by control and traffic threads: snapshots, counters and one bounded channel.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};

use arc_swap::ArcSwap;
use heathpitch_core::{Incarnation, Index, Millis, Name, RequestId, Settings};
use heathpitch_policy::{Fleet, PrefixIndex, Verdict};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::snapshot::View;

/// Capacity of the channel to the control thread.
pub(crate) const CONTROL_CAPACITY: usize = 4_096;

/// Message of a traffic thread to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Claim a key.
    Claim {
        /// Digest of account and key.
        digest: Name,
        /// Digest of the body.
        body: u64,
        /// Receives the verdict.
        reply: oneshot::Sender<Verdict>,
    },
    /// A request failed on this upstream.
    Failed(Name),
    /// A request of an account with limits arrived.
    Demand(u64),
}

/// State shared by all threads of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) index: ArcSwap<Index>,
    pub(crate) fleet: ArcSwap<Fleet>,
    pub(crate) view: ArcSwap<View>,
    pub(crate) prefixes: ArcSwap<PrefixIndex>,
    pub(crate) draining: AtomicBool,
    pub(crate) open: AtomicUsize,
    pub(crate) control_heartbeat: AtomicU64,
    control: mpsc::Sender<ControlMessage>,
    serial: AtomicU64,
}

impl Shared {
    /// Initial state, and the receiving end of the channel to the control thread.
    pub(crate) fn new(
        settings: Settings,
        incarnation: Incarnation,
        metrics: Metrics,
    ) -> (Arc<Self>, mpsc::Receiver<ControlMessage>) {
        let (control, inbox) = mpsc::channel(CONTROL_CAPACITY);
        let shared = Self {
            settings,
            incarnation,
            clock: Clock::start(),
            metrics,
            index: ArcSwap::default(),
            fleet: ArcSwap::default(),
            view: ArcSwap::default(),
            prefixes: ArcSwap::default(),
            draining: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            control_heartbeat: AtomicU64::new(0),
            control,
            serial: AtomicU64::new(0),
        };
        (Arc::new(shared), inbox)
    }

    /// A new request id.
    pub(crate) fn new_request_id(&self) -> RequestId {
        RequestId { node: self.incarnation, serial: self.serial.fetch_add(1, Relaxed) + 1 }
    }

    /// Whether the node accepts new requests.
    pub(crate) fn ready(&self) -> bool {
        self.index.load().revision.0 > 0 && !self.draining.load(Relaxed)
    }

    /// Current time of the node's clock.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
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
