//! What control and traffic threads share: snapshots, counters and one bounded channel.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};

use arc_swap::ArcSwap;
use heathpitch_core::{Incarnation, Index, Millis, Name, RequestId, Settings};
use heathpitch_policy::{Fleet, PrefixIndex, Verdict};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::snapshot::View;

/// Messages that wait for the control thread.
pub(crate) const CONTROL_ROOM: usize = 4_096;

/// A message of a traffic thread to the control thread.
#[derive(Debug)]
pub(crate) enum ToControl {
    /// Claim a key.
    Claim {
        /// Digest of account and key.
        digest: Name,
        /// Digest of the body.
        body: u64,
        /// Where the verdict goes.
        reply: oneshot::Sender<Verdict>,
    },
    /// A request failed at an upstream.
    Failed(Name),
    /// A request came of an account that has limits.
    Demand(u64),
}

/// Shared by all threads of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) life: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) index: ArcSwap<Index>,
    pub(crate) fleet: ArcSwap<Fleet>,
    pub(crate) view: ArcSwap<View>,
    pub(crate) prefixes: ArcSwap<PrefixIndex>,
    pub(crate) draining: AtomicBool,
    pub(crate) open: AtomicUsize,
    pub(crate) beat: AtomicU64,
    control: mpsc::Sender<ToControl>,
    serial: AtomicU64,
}

impl Shared {
    /// Shared state of a node that knows nothing yet.
    pub(crate) fn new(
        settings: Settings,
        life: Incarnation,
        metrics: Metrics,
    ) -> (Arc<Self>, mpsc::Receiver<ToControl>) {
        let (control, inbox) = mpsc::channel(CONTROL_ROOM);
        let shared = Self {
            settings,
            life,
            clock: Clock::start(),
            metrics,
            index: ArcSwap::default(),
            fleet: ArcSwap::default(),
            view: ArcSwap::default(),
            prefixes: ArcSwap::default(),
            draining: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            beat: AtomicU64::new(0),
            control,
            serial: AtomicU64::new(0),
        };
        (Arc::new(shared), inbox)
    }

    /// A new request id.
    pub(crate) fn mint(&self) -> RequestId {
        RequestId { node: self.life, serial: self.serial.fetch_add(1, Relaxed) + 1 }
    }

    /// Whether new requests are taken.
    pub(crate) fn ready(&self) -> bool {
        self.index.load().revision.0 > 0 && !self.draining.load(Relaxed)
    }

    /// Now, on the node's clock.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Sends a message to the control thread; false if it has no room.
    pub(crate) fn tell(&self, message: ToControl) -> bool {
        let told = self.control.try_send(message).is_ok();
        if !told {
            self.metrics.dropped.inc();
        }
        told
    }
}
