//! Predicted time until a stage gives its first token.

use heathpitch_core::{Millis, Name};

use crate::Upstream;

/// Time after which half of a reported load is no longer believed, milliseconds.
const HALF_LIFE: f64 = 2_000.0;
/// Cost of a stage in another failure domain, milliseconds.
const FAR: f64 = 40.0;
/// Service time assumed of an engine that has finished nothing yet, milliseconds.
const SERVICE: f64 = 500.0;

/// What a request needs of a stage.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// Prompt tokens to prefill after the prefix hit.
    pub tokens: u32,
    /// Failure domain of the node.
    pub domain: &'a Name,
    /// Time of the choice.
    pub now: Millis,
}

/// Predicted milliseconds that `stage` adds to the first token.
///
/// Reported load of others fades with the report's age; own open requests are counted exactly.
pub fn predict(stage: &Upstream, need: &Need<'_>) -> f64 {
    let r = &stage.report;
    let age = need.now.saturating_sub(stage.seen) as f64;
    let others = (r.running + r.queued).saturating_sub(stage.open_at_report);
    let open = f64::from(others) * (-age / HALF_LIFE).exp2() + f64::from(stage.gauge.count());
    let slots = f64::from(r.slots.max(1));
    let service = if r.service == 0 { SERVICE } else { r.service as f64 };
    let wait = (open - slots + 1.0).max(0.0) / slots * service;
    let busy = (open / slots).min(1.0);
    let prefill = f64::from(need.tokens) / r.prefill.max(1.0) * 1_000.0;
    let step = r.step as f64 / 1_000.0;
    let far = if stage.vm.domain == *need.domain { 0.0 } else { FAR };
    let link = r.link as f64 / 1_000.0;
    wait + prefill * (1.0 + busy) + step * (1.0 + busy) + link + far
}
