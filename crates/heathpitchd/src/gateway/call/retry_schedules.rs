//! `Retry-After` times for refused callers, per service.
//!
//! With `load.returns`, callers of streams get a time from the failure domain's book of promised
//! retries. All others get one from this node's own schedule.

use std::collections::HashMap;
use std::sync::Arc;

use heathpitch_core::{Evidence, Millis, Name};
use heathpitch_policy::{RetryResult, RetrySchedule};
use parking_lot::Mutex;

use super::Traffic;
use super::admit::Call;
use super::pick;
use super::refusal::{Refusal, RefusalKind};
use super::rights;
use crate::gateway::shared::Shared;

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

/// The refusal of a stream that every engine it was sent to refused, with a promised retry; none if
/// it may have run, or if retries are not promised.
pub(crate) fn promised_refusal(
    traffic: &Traffic,
    call: &Call,
    kind: RefusalKind,
    evidence: &Evidence,
    detail: &str,
) -> Option<Refusal> {
    if kind != RefusalKind::EnginesRefused || !traffic.retry_schedules.promises() {
        return None;
    }
    evidence.not_run()?;
    let now = traffic.shared.now();
    let retry_after = traffic.retry_schedules.refuse(&call.service.name, call.remaining(now), now);
    let refusal = Refusal::given_up(kind, evidence, &call.head.id, detail);
    Some(refusal.with_retry_after(retry_after))
}

/// Retry schedules of one node, by service.
pub(crate) struct RetrySchedules {
    shared: Arc<Shared>,
    services: Mutex<HashMap<Name, RetrySchedule>>,
}

impl RetrySchedules {
    /// Schedules of a node that has refused nothing yet.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, services: Mutex::default() }
    }

    /// Counts an admitted stream.
    pub(crate) fn admit(&self, service: &Name, now: Millis) {
        if self.promises() {
            self.shared.retry_book.lock().admit(service, now);
        }
        self.services.lock().entry(service.clone()).or_default().admit(now);
    }

    /// Time after which the caller of a refused stream that has `remaining` until its deadline
    /// should retry.
    pub(crate) fn refuse(&self, service: &Name, remaining: Millis, now: Millis) -> Millis {
        let rng = &mut rand::rng();
        if self.promises() {
            return self.shared.retry_book.lock().promise(service, remaining, now, rng);
        }
        let mut services = self.services.lock();
        services.entry(service.clone()).or_default().refuse(remaining, now, rng)
    }

    /// Counts a stream that is `age_ms` old when it is admitted or refused, if its caller returned
    /// after a rejection. One that resumes has been admitted before.
    pub(crate) fn record_return(&self, call: &Call, age_ms: Millis, refused: bool) {
        if call.head.after.is_some() {
            return;
        }
        // The time that callers of the route usually leave, since the age is what this one lacks.
        let usual_ms = call.deadline.saturating_sub(call.received) + age_ms;
        if let Some(result) = RetryResult::of(age_ms, usual_ms, refused) {
            self.shared.metrics.returns.with_label_values(&[result.as_str()]).inc();
        }
    }

    /// Part of the admissions that the retries due at `now` need; none if retries are not promised.
    pub(crate) fn due_pressure(&self, service: &Name, now: Millis) -> f64 {
        if !self.promises() {
            return 0.0;
        }
        self.shared.retry_book.lock().due_pressure(service, now)
    }

    /// Whether retries are promised by slot.
    fn promises(&self) -> bool {
        self.shared.settings.load().load.returns.is_on()
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
