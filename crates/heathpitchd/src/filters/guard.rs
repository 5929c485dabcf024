//! Counts that are given back when a request ends, however it ends.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_core::Name;
use heathpitch_policy::Gauge;

use crate::traffic::Traffic;

/// A request's place on this node.
pub(crate) struct Permit {
    traffic: Arc<Traffic>,
    account: Name,
    gate: Name,
}

impl Permit {
    /// Takes over counts already made: in the limiter and in the gate of this name.
    pub(crate) fn new(traffic: Arc<Traffic>, account: Name, gate: Name) -> Self {
        traffic.shared.open.fetch_add(1, Relaxed);
        traffic.shared.metrics.open.inc();
        Self { traffic, account, gate }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.traffic.shared.open.fetch_sub(1, Relaxed);
        self.traffic.shared.metrics.open.dec();
        let mut limits = self.traffic.limits.lock();
        limits.limiter.release(&self.account);
        if let Some(gate) = limits.gates.get_mut(&self.gate) {
            gate.release(&self.account);
        }
    }
}

/// Open counts on the upstreams of one attempt.
pub(crate) struct Opened(Vec<Arc<Gauge>>);

impl Opened {
    /// Counts a request open on each.
    pub(crate) fn new(gauges: Vec<Arc<Gauge>>) -> Self {
        gauges.iter().for_each(|g| g.open());
        Self(gauges)
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.iter().for_each(|g| g.close());
    }
}
