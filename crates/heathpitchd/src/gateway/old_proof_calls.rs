//! Log of calls that are admitted by a configuration whose last proof is old.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use heathpitch_core::{Catalog, Millis};
use heathpitch_policy::Freshness;

use super::event::GatewayEvent;

/// Age of a proof from which calls are logged: all nodes in touch with the store have a younger one unless a call on
/// it got no answer.
const OLD_PROOF_MS: Millis = 1_500;
/// Shortest time between two lines.
const LINE_INTERVAL_MS: Millis = 100;

/// Calls admitted on an old proof.
#[derive(Debug, Default)]
pub(crate) struct OldProofCalls {
    /// Earliest time of the next line.
    next: AtomicU64,
    /// Calls since the last line.
    calls: AtomicU64,
}

impl OldProofCalls {
    /// Records that `request` was admitted at `now` by a configuration of this freshness.
    pub(crate) fn record(&self, request: &str, catalog: &Catalog, fresh: Freshness, now: Millis) {
        if fresh.covers(now, OLD_PROOF_MS) {
            return;
        }
        let calls = self.calls.fetch_add(1, Relaxed) + 1;
        let next = self.next.load(Relaxed);
        let line = now + LINE_INTERVAL_MS;
        if now < next || self.next.compare_exchange(next, line, Relaxed, Relaxed).is_err() {
            return;
        }
        self.calls.fetch_sub(calls, Relaxed);
        GatewayEvent::CallsOnOldProof {
            request: request.to_owned(),
            calls,
            config: catalog.version,
            proof_ms: fresh.age(now),
        }
        .log();
    }
}
