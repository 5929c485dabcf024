//! Log lines and counts that single calls and streams share.

use heathpitch_core::{EngineEntry, Name, Path};
use heathpitch_net::Body;
use hyper::{Response, StatusCode};

use super::Traffic;
use super::admit::Call;
use super::held_answer::HeldAnswer;
use super::send::Failure;
use crate::gateway::event::{CallRouted, GatewayEvent, parts};
use crate::gateway::quarantine_snapshot::incarnation_of;
use crate::gateway::shared::ControlMessage;

/// One attempt of a call.
#[derive(Clone, Copy)]
pub(crate) struct AttemptLog<'a> {
    pub(crate) traffic: &'a Traffic,
    pub(crate) call: &'a Call,
    /// Engine that it is sent to.
    pub(crate) engine: &'a Name,
    /// Number of the attempt, from 1.
    pub(crate) attempt: u32,
}

impl AttemptLog<'_> {
    /// Records that the call is sent.
    pub(crate) fn routed(self, path: Option<&Path>, after: Option<u64>) {
        let now = self.traffic.shared.now();
        GatewayEvent::CallRouted(CallRouted {
            request: self.call.head.id.to_string(),
            account: self.call.holder.as_ref().map(|h| h.account.clone()),
            route: self.call.route.name.clone(),
            attempt: self.attempt,
            engine: self.engine.clone(),
            parts: parts(path),
            after,
            remaining_ms: self.call.time_left(&self.traffic.shared),
            config: self.call.catalog.version,
            proof_ms: self.traffic.shared.config_freshness.load().age(now),
            list_ms: self.traffic.shared.list_freshness.load().age(now),
            held_ms: self.traffic.shared.verdict_age.at(now),
        })
        .log();
    }

    /// Records that the attempt failed after `events` events were relayed.
    pub(crate) fn failed(self, failure: &Failure, events: u64) {
        let lost = matches!(failure, Failure::Lost(_));
        self.traffic.shared.metrics.attempts.with_label_values(&["failed"]).inc();
        GatewayEvent::CallAttemptFailed {
            request: self.call.head.id.to_string(),
            attempt: self.attempt,
            engine: self.engine.clone(),
            error: failure.to_string(),
            not_run: !lost,
            events,
            fingerprint: lost.then(|| self.call.fingerprint()),
        }
        .log();
    }
}

/// Records that an engine got past the start of an answer, so that no part of the prompt crashed it.
pub(crate) fn record_parts_answered(traffic: &Traffic, call: &Call, engine: &EngineEntry) {
    if call.head.prompt_parts.is_empty() {
        return;
    }
    let (shared, parts, now) = (&traffic.shared, call.parts(), traffic.shared.now());
    let incarnation = incarnation_of(engine);
    shared.answered_parts.lock().record(parts, incarnation.digest(), now);
    if shared.quarantine.load().parts.counts_answers(parts) {
        shared.notify_control(ControlMessage::PartsAnswered(parts.clone(), incarnation));
    }
}

/// Records that an engine answered a call completely, so that the call did not crash it.
pub(crate) fn record_answered(traffic: &Traffic, call: &Call) {
    if traffic.shared.quarantine.load().is_suspect(|| call.fingerprint()) {
        traffic.shared.notify_control(ControlMessage::Answered(call.fingerprint()));
    }
}

/// Whether an engine's status would promise the caller that a call did not run, which the engine did not state.
pub(crate) fn is_false_promise(call: &Call, status: StatusCode) -> bool {
    let promises = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    promises && !call.route.kind.retryable()
}

/// Turns an engine's answer into the answer to the caller, after so many attempts.
pub(crate) fn final_answer(
    traffic: &Traffic,
    call: &Call,
    sends: u32,
    answer: HeldAnswer,
) -> Response<Body> {
    record_answered(traffic, call);
    let ms = traffic.shared.now().saturating_sub(call.received);
    traffic.shared.metrics.first.observe(ms as f64 / 1e3);
    answer.into_response(&traffic.shared, call, sends)
}
