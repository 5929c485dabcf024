//! Filter: runs a call whose answer is a single body.

use heathpitch_core::{Evidence, Name};
use heathpitch_net::Body;
use hyper::{Response, StatusCode};

use super::Traffic;
use super::admit::Call;
use super::forward::{Declined, ForwardError, Forwarding};
use super::held_answer::HeldAnswer;
use super::open::HeldTokens;
use super::pick::{self, Avoid};
use super::record::{AttemptLog, final_answer, is_false_promise, record_parts_answered};
use super::refusal::{Refusal, RefusalKind};
use super::retry_schedules::backpressure_refusal;
use super::send::{Failure, Target, send};
use crate::gateway::engine_table::EngineView;
use crate::gateway::shared::{ControlMessage, LostAttempt};

/// Size of the largest answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Attempts in which nothing could be sent to the engine.
const MAX_UNSENT: u32 = 4;

/// Outcome of a call's attempts so far.
#[derive(Default)]
struct Progress {
    evidence: Evidence,
    attempts: u32,
    unsent: u32,
    /// Attempts whose connections failed.
    unreached: u32,
    avoid: Vec<Name>,
    last: Option<HeldAnswer>,
    forwarding: Forwarding,
    /// Refusal of a node that the call was forwarded to.
    declined: Option<Declined>,
    /// Whether a connection was lost while an engine may have been running the call.
    lost: bool,
}

/// Runs the call until its final answer or its deadline.
pub(crate) async fn run(traffic: &Traffic, call: &Call) -> Result<Response<Body>, Refusal> {
    let mut progress = Progress::default();
    if !traffic.may_finish(call) {
        let detail = "calls of this route usually take longer than this node still runs";
        return Err(Refusal::unsent(RefusalKind::Stopping, &call.head.id, detail));
    }
    let work = traffic.shared.run_until(call.deadline, answer(traffic, call, &mut progress)).await;
    let id = &call.head.id;
    let kind = match work {
        Some(Ok(answer)) if is_false_promise(call, answer.parts.status) => {
            progress.evidence.lost();
            RefusalKind::Broken
        }
        Some(Ok(answer)) => return Ok(final_answer(traffic, call, progress.attempts, answer)),
        // An engine's error response is passed on unchanged if no attempt had a better outcome.
        Some(Err(_)) | None if progress.last.is_some() => match progress.last.take() {
            Some(answer) if !is_false_promise(call, answer.parts.status) => {
                return Ok(final_answer(traffic, call, progress.attempts, answer));
            }
            Some(_) | None => RefusalKind::Broken,
        },
        Some(Err(kind)) => kind,
        None => {
            progress.evidence.lost();
            let taken = traffic.shared.now().saturating_sub(call.received);
            traffic.usual_durations.record(&call.route.name, taken);
            call.expiry(&traffic.shared)
        }
    };
    if let Some(Declined { kind, retry_after, detail }) = progress.declined {
        let refusal = Refusal::given_up(kind, &progress.evidence, id, detail);
        return Err(match retry_after {
            Some(retry_after) => refusal.with_retry_after(retry_after),
            None => refusal,
        });
    }
    if let Some(refusal) = backpressure_refusal(traffic, call, kind, &progress.evidence) {
        return Err(refusal);
    }
    let detail = match kind {
        RefusalKind::Expired => "no answer before the call's deadline".to_owned(),
        RefusalKind::Stopping => "no answer before this node stops".to_owned(),
        RefusalKind::NoEngine => {
            let (table, now) = (traffic.shared.table.load(), traffic.shared.now());
            let reach = table.reach(&call.service.name, now);
            format!("no engine of the service is available: {reach}")
        }
        RefusalKind::EnginesRefused => "every engine that was tried refused the call".to_owned(),
        _ => "the connection to an engine was lost".to_owned(),
    };
    Err(Refusal::given_up(kind, &progress.evidence, id, detail))
}

/// Sends the call to engines, or to other nodes if this one does not reach them.
async fn answer(
    traffic: &Traffic,
    call: &Call,
    progress: &mut Progress,
) -> Result<HeldAnswer, RefusalKind> {
    if call.forwarded.is_some() {
        // The cut that this node is about to find may be that of the other one.
        let (reach, service) = (&traffic.shared.reach, &call.service.name);
        reach.await_check(service).await;
        return match reach.is_cut_off(service) {
            true => Err(RefusalKind::NoEngine),
            false => run_attempts(traffic, call, progress).await,
        };
    }
    let was_cut_off = is_cut_off(traffic, call);
    let sent = match was_cut_off {
        true => Err(RefusalKind::NoEngine),
        false => run_attempts(traffic, call, progress).await,
    };
    let forwarded = match sent {
        Err(kind) if may_forward(traffic, call, progress, kind) => {
            forward(traffic, call, progress, kind).await
        }
        other => return other,
    };
    match forwarded {
        // No other node takes it, and the way may be back.
        Err(_) if was_cut_off && progress.attempts == 0 && progress.declined.is_none() => {
            progress.unsent = progress.unsent.max(MAX_UNSENT - 1);
            run_attempts(traffic, call, progress).await
        }
        other => other,
    }
}

/// Sends the call to other nodes; `kind` is why this one does not serve it.
async fn forward(
    traffic: &Traffic,
    call: &Call,
    progress: &mut Progress,
    kind: RefusalKind,
) -> Result<HeldAnswer, RefusalKind> {
    if !traffic.may_finish(call) {
        return Err(kind);
    }
    let Progress { forwarding, evidence, attempts, .. } = progress;
    let state = super::forward::Progress { attempts, evidence, after: None, events: 0 };
    match forwarding.send(traffic, call, state).await {
        Ok((answer, _hop)) => match answer.read(&traffic.shared, MAX_ANSWER_BYTES).await {
            Ok(answer) => {
                progress.evidence.started();
                Ok(answer)
            }
            Err(_) => {
                progress.evidence.lost();
                Err(RefusalKind::Broken)
            }
        },
        Err(ForwardError::NoNode) => Err(kind),
        Err(ForwardError::Lost) => Err(RefusalKind::Broken),
        Err(ForwardError::Declined(declined)) => {
            let kind = declined.kind;
            progress.declined = Some(declined);
            Err(kind)
        }
    }
}

/// Whether this node does not reach the service, and may forward the call.
fn is_cut_off(traffic: &Traffic, call: &Call) -> bool {
    call.forwarded.is_none() && traffic.shared.reach.is_cut_off(&call.service.name)
}

/// Whether the call may be sent again after its attempts so far.
fn may_send(call: &Call, progress: &Progress) -> bool {
    call.route.kind.retryable() || progress.evidence.not_run().is_some()
}

/// Whether a call that was lost may be sent to another engine.
fn allows_retry(traffic: &Traffic, call: &Call) -> bool {
    traffic.shared.quarantine.load().allows_retry(0, call.parts(), || call.fingerprint())
}

/// Whether a call that ends with `kind` here may still be served by another node.
fn may_forward(traffic: &Traffic, call: &Call, progress: &Progress, kind: RefusalKind) -> bool {
    let may_repeat = !progress.lost || allows_retry(traffic, call);
    matches!(kind, RefusalKind::NoEngine | RefusalKind::Broken)
        && may_send(call, progress)
        && may_repeat
        && Forwarding::applies(traffic, call, progress.unreached)
}

async fn run_attempts(
    traffic: &Traffic,
    call: &Call,
    progress: &mut Progress,
) -> Result<HeldAnswer, RefusalKind> {
    let mut kind = RefusalKind::NoEngine;
    let was_cut_off = is_cut_off(traffic, call);
    while progress.attempts < call.attempts() && progress.unsent < MAX_UNSENT {
        let is_last = progress.attempts + 1 == call.attempts();
        if is_last && progress.lost && !was_cut_off {
            traffic.shared.reach.await_check(&call.service.name).await;
        }
        // Other nodes are tried before more engines.
        if is_cut_off(traffic, call) && !was_cut_off {
            return Err(kind);
        }
        let is_retry = progress.attempts > 0;
        if is_retry && !traffic.may_finish(call) {
            return Err(kind);
        }
        let table = traffic.shared.table.load();
        let now = traffic.shared.now();
        let domain = traffic.shared.settings.load().domain.clone();
        let avoid = Avoid { engines: &progress.avoid, now };
        let Some(view) = pick::engine(&table, &call.service.name, &domain, avoid) else {
            traffic.shared.reach.record_without_engine(&call.service.name, now);
            return Err(kind);
        };
        if progress.lost && !allows_retry(traffic, call) {
            return Err(kind);
        }
        if is_retry && !traffic.retry_budgets.spend(call).await {
            return Err(kind);
        }
        let engine = &view.entry.id;
        let log = AttemptLog { traffic, call, engine, attempt: progress.attempts + 1 };
        log.routed(None, None);
        let _held = HeldTokens::new(traffic.shared.clone(), vec![view.stats.clone()], 0);
        progress.evidence.sent();
        match send_and_read(traffic, call, &view).await {
            Ok(answer) if !answer.parts.status.is_server_error() => {
                progress.attempts += 1;
                progress.evidence.started();
                let done = traffic.shared.now();
                view.stats.record_latency(done.saturating_sub(now), done);
                traffic.usual_durations.record(&call.route.name, done.saturating_sub(now));
                if answer.parts.status.is_success() {
                    record_parts_answered(traffic, call, &view.entry);
                }
                return Ok(answer);
            }
            Ok(failed) => {
                progress.attempts += 1;
                progress.evidence.started();
                progress.evidence.lost();
                progress.last = Some(failed);
                kind = RefusalKind::Broken;
            }
            Err(failure) => {
                log.failed(&failure, 0);
                kind = record_failure(traffic, call, &view, progress, &failure);
                if let Failure::HeldBack(declined) = failure {
                    progress.declined = Some(declined);
                    return Err(kind);
                }
            }
        }
        progress.avoid.push(view.entry.id.clone());
        if !call.route.kind.retryable() && progress.evidence.not_run().is_none() {
            return Err(kind);
        }
    }
    Err(kind)
}

/// Records a failed attempt.
fn record_failure(
    traffic: &Traffic,
    call: &Call,
    view: &EngineView,
    progress: &mut Progress,
    failure: &Failure,
) -> RefusalKind {
    match failure {
        Failure::Unsent(_) => {
            progress.unsent += 1;
            progress.unreached += 1;
            progress.evidence.unsent();
            view.stats.gauge().record_failure(traffic.shared.now());
            traffic.pool.close_idle(view.entry.address);
            RefusalKind::NoEngine
        }
        Failure::HeldBack(declined) => {
            progress.evidence.unsent();
            declined.kind
        }
        Failure::Backpressure => {
            progress.unsent += 1;
            progress.evidence.unsent();
            RefusalKind::NoEngine
        }
        // It is avoided for this call, so that others are tried however many engines are limited.
        Failure::NoRight(_) => {
            progress.evidence.unsent();
            RefusalKind::NoEngine
        }
        Failure::Refused { status, .. } => {
            progress.attempts += 1;
            progress.evidence.refused();
            view.stats.deprioritize(traffic.shared.now() + pick::REJECTION_COOLDOWN_MS);
            if *status == StatusCode::MISDIRECTED_REQUEST {
                traffic.shared.notify_control(ControlMessage::Replaced(view.entry.id.clone()));
            }
            RefusalKind::EnginesRefused
        }
        Failure::Lost(_) => {
            progress.attempts += 1;
            progress.evidence.lost();
            progress.lost = true;
            let (engine, fingerprint) = (view.entry.clone(), call.fingerprint());
            traffic.shared.notify_control(ControlMessage::ConnectionLost(LostAttempt {
                engine,
                fingerprint,
                parts: call.parts().clone(),
                events: 0,
            }));
            RefusalKind::Broken
        }
    }
}

async fn send_and_read(
    traffic: &Traffic,
    call: &Call,
    view: &EngineView,
) -> Result<HeldAnswer, Failure> {
    let target = Target { view, downstream: &[], path: None, after: None };
    let answer = send(traffic, call, &target).await?;
    answer.read(&traffic.shared, MAX_ANSWER_BYTES).await
}
