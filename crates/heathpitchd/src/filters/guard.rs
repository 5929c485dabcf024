//! Guards that release counts when a request ends, whatever its outcome.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_core::Name;
use heathpitch_policy::Gauge;

use crate::traffic::Traffic;

/// Admission of one request on this node.
pub(crate) struct Permit {
    traffic: Arc<Traffic>,
    account: Name,
    scope: Name,
}

impl Permit {
    /// Takes over counts already made in the account limiter and the admission control of `scope`.
    pub(crate) fn new(traffic: Arc<Traffic>, account: Name, scope: Name) -> Self {
        traffic.shared.open.fetch_add(1, Relaxed);
        traffic.shared.metrics.open.inc();
        Self { traffic, account, scope }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.traffic.shared.open.fetch_sub(1, Relaxed);
        self.traffic.shared.metrics.open.dec();
        let mut limits = self.traffic.limits.lock();
        limits.limiter.release(&self.account);
        if let Some(admission) = limits.admission.get_mut(&self.scope) {
            admission.release(&self.account);
        }
    }
}

/// Open-request counts of the upstreams of one attempt.
pub(crate) struct OpenCounts(Vec<Arc<Gauge>>);

impl OpenCounts {
    /// Counts one open request on each gauge.
    pub(crate) fn new(gauges: Vec<Arc<Gauge>>) -> Self {
        gauges.iter().for_each(|g| g.open());
        Self(gauges)
    }
}

impl Drop for OpenCounts {
    fn drop(&mut self) {
        self.0.iter().for_each(|g| g.close());
    }
}
