//! `Retry-After` times for refused callers, per service.

use std::collections::HashMap;

use heathpitch_core::{Evidence, Millis, Name};
use heathpitch_policy::RetrySchedule;
use parking_lot::Mutex;

use super::Traffic;
use super::admit::Call;
use super::pick;
use super::refusal::{Refusal, RefusalKind};
use super::rights;

/// Detail of a refusal because every engine is paused.
const PAUSED: &str = "every engine that could take the call asked this node to pause";

/// The refusal of a call that found no engine only because of backpressure: engines are paused or
/// their rate limits are exhausted.
pub(crate) fn backpressure_refusal(
    traffic: &Traffic,
    call: &Call,
    kind: RefusalKind,
    evidence: &Evidence,
) -> Option<Refusal> {
    if !matches!(kind, RefusalKind::NoEngine | RefusalKind::EnginesRefused) {
        return None;
    }
    // A call that may have run is not reported as refused.
    evidence.not_run()?;
    let shared = &traffic.shared;
    let (table, now) = (shared.table.load(), shared.now());
    let min_wait = pick::backpressure_left(&table, call, &shared.settings.load().domain, now)?;
    let retry_after =
        traffic.retry_schedules.refuse_for(&call.service.name, min_wait, call.remaining(now), now);
    let (kind, detail) = match rights::next_available(&table, &call.service.name, now) {
        Some(limited) => (RefusalKind::Limited, limited.to_string()),
        None => (RefusalKind::Paused, PAUSED.to_owned()),
    };
    Some(Refusal::given_up(kind, evidence, &call.head.id, detail).with_retry_after(retry_after))
}

/// Retry schedules of one node, by service.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedules {
    services: Mutex<HashMap<Name, RetrySchedule>>,
}

impl RetrySchedules {
    /// Counts an admitted stream.
    pub(crate) fn admit(&self, service: &Name, now: Millis) {
        self.services.lock().entry(service.clone()).or_default().admit(now);
    }

    /// Time after which a refused caller that has `remaining` until its deadline should retry.
    pub(crate) fn refuse(&self, service: &Name, remaining: Millis, now: Millis) -> Millis {
        let mut services = self.services.lock();
        services.entry(service.clone()).or_default().refuse(remaining, now, &mut rand::rng())
    }

    /// The same if no engine of the service takes anything for `min_wait`.
    pub(crate) fn refuse_for(
        &self,
        service: &Name,
        min_wait: Millis,
        remaining: Millis,
        now: Millis,
    ) -> Millis {
        let mut services = self.services.lock();
        let schedule = services.entry(service.clone()).or_default();
        schedule.refuse_for(min_wait, remaining, now, &mut rand::rng())
    }
}
