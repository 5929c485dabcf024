//! Predicted time until a stage produces its first token.

use heathpitch_core::{Millis, Name};

use crate::Upstream;

/// Half-life of the weight given to a reported load, milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
/// Cost of a stage in another failure domain, milliseconds.
const CROSS_DOMAIN_MS: f64 = 40.0;
/// Service time assumed for an engine without a finished request, milliseconds.
const DEFAULT_SERVICE_MS: f64 = 500.0;

/// Request as seen by one stage.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// Prompt tokens to prefill, without the prefix hit.
    pub tokens: u32,
    /// Failure domain of the node.
    pub domain: &'a Name,
    /// Time of the prediction.
    pub now: Millis,
}

/// Predicted milliseconds that `stage` adds to the first token.
///
/// The reported load of other nodes decays with the report's age; this node's open requests are
/// counted exactly.
pub fn predict(stage: &Upstream, need: &Need<'_>) -> f64 {
    let r = &stage.report;
    let age = need.now.saturating_sub(stage.seen) as f64;
    let others = (r.running + r.queued).saturating_sub(stage.open_at_report);
    let open =
        f64::from(others) * (-age / REPORT_HALF_LIFE_MS).exp2() + f64::from(stage.gauge.count());
    let slots = f64::from(r.slots.max(1));
    let service = if r.service == 0 { DEFAULT_SERVICE_MS } else { r.service as f64 };
    let wait = (open - slots + 1.0).max(0.0) / slots * service;
    let busy = (open / slots).min(1.0);
    let prefill = f64::from(need.tokens) / r.prefill.max(1.0) * 1_000.0;
    let step = r.step as f64 / 1_000.0;
    let distance = if stage.vm.domain == *need.domain { 0.0 } else { CROSS_DOMAIN_MS };
    let link = r.link as f64 / 1_000.0;
    wait + prefill * (1.0 + busy) + step * (1.0 + busy) + link + distance
}
