//! How this node reaches the engines of services, shared between the traffic and the control thread.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Millis, Name};
use parking_lot::Mutex;
use tokio::sync::watch;

/// Time for which a service counts as unserved after a call found no engine of it.
const UNSERVED_MS: Millis = 2_000;
/// Shortest time between two notices that the way to a service is suspected to be cut.
const NOTICE_INTERVAL_MS: Millis = 50;

/// Longest wait for the check of a suspicion, which ends within milliseconds if an engine answers: until the first
/// probes have timed out.
const CHECK_WAIT: Duration = Duration::from_millis(250);

/// Services that this node does not reach.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    cut_off: watch::Sender<Arc<HashSet<Name>>>,
    /// Services whose reach is being checked.
    checking: watch::Sender<HashSet<Name>>,
    /// When a call last found no engine of a service.
    without_engine: Mutex<HashMap<Name, Millis>>,
    /// When the control thread was last notified of a suspicion.
    notified: Mutex<HashMap<Name, Millis>>,
}

/// # Cuts
impl Reach {
    /// Publishes which services are cut off from this node.
    pub(crate) fn set_cut_off(&self, services: HashSet<Name>) {
        self.cut_off.send_replace(Arc::new(services));
    }

    /// Whether a service is cut off from this node.
    pub(crate) fn is_cut_off(&self, service: &Name) -> bool {
        self.cut_off.borrow().contains(service)
    }

    /// Waits until a service is cut off from this node.
    pub(crate) async fn until_cut_off(&self, service: &Name) {
        let mut cut_off = self.cut_off.subscribe();
        // The sender lives as long as this.
        let _ = cut_off.wait_for(|services| services.contains(service)).await;
    }

    /// Records that the reach of a service is checked from now on, or not any more.
    pub(crate) fn set_checking(&self, service: &Name, checking: bool) {
        self.checking.send_if_modified(|services| match checking {
            true => services.insert(service.clone()),
            false => services.remove(service),
        });
    }

    /// Waits a moment for the end of a check of a service, so that a call does not use up its attempts before
    /// other nodes are tried.
    pub(crate) async fn await_check(&self, service: &Name) {
        let mut checking = self.checking.subscribe();
        let ended = checking.wait_for(|services| !services.contains(service));
        let _ = tokio::time::timeout(CHECK_WAIT, ended).await;
    }

    /// Whether the control thread is to be notified of a suspicion now.
    pub(crate) fn is_notice_due(&self, service: &Name, now: Millis) -> bool {
        let mut notified = self.notified.lock();
        let due = notified.get(service).is_none_or(|at| now >= at + NOTICE_INTERVAL_MS);
        if due {
            notified.insert(service.clone(), now);
        }
        due
    }
}

/// # Unserved services
impl Reach {
    /// Records that a call found no engine of a service.
    pub(crate) fn record_without_engine(&self, service: &Name, now: Millis) {
        self.without_engine.lock().insert(service.clone(), now);
    }

    /// Services that this node cannot serve at `now`, in order of their names.
    pub(crate) fn unserved(&self, now: Millis) -> Vec<Name> {
        let mut without_engine = self.without_engine.lock();
        without_engine.retain(|_, at| now < *at + UNSERVED_MS);
        let cut_off = self.cut_off.borrow();
        let mut services: Vec<Name> =
            without_engine.keys().chain(cut_off.iter()).cloned().collect();
        services.sort();
        services.dedup();
        services
    }
}

/// Engines of a service as one node sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceReach {
    pub(crate) listed: usize,
    /// Listed engines that get no new requests of this node, because of what it or another node found.
    pub(crate) suspect: usize,
    /// Time since any of them last answered this node on a new connection.
    pub(crate) contact_age: Option<Millis>,
}

impl fmt::Display for ServiceReach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} engines listed, {} of them suspect, ", self.listed, self.suspect)?;
        match self.contact_age {
            Some(age) => write!(f, "last answer on a new connection {age} ms ago"),
            None => f.write_str("none has answered yet"),
        }
    }
}
