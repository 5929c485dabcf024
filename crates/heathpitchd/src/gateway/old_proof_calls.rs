//! Log of calls that are admitted by a configuration whose last proof is old.

use heathpitch_core::{Catalog, Millis};

use super::event::GatewayEvent;
use super::line_limiter::LineLimiter;
use super::shared::Shared;

/// Age of a proof from which calls are logged: all nodes in touch with the store have a younger one unless a call on
/// it got no answer.
const OLD_PROOF_MS: Millis = 1_500;

/// Calls admitted on an old proof.
#[derive(Debug, Default)]
pub(crate) struct OldProofCalls {
    lines: LineLimiter,
}

impl OldProofCalls {
    /// Records that `request` was admitted at `now` by a configuration.
    pub(crate) fn record(&self, shared: &Shared, request: &str, catalog: &Catalog, now: Millis) {
        let fresh = **shared.config_freshness.load();
        if fresh.covers(now, OLD_PROOF_MS) {
            return;
        }
        let Some(calls) = self.lines.record(now) else { return };
        GatewayEvent::CallsOnOldProof {
            request: request.to_owned(),
            calls,
            config: catalog.version,
            proof_ms: fresh.age(now),
            attempts: shared.config_proofs.attempts(),
            attempt_ms: shared.config_proofs.attempt_age(now),
        }
        .log();
    }
}
