//! Filter: runs a request on a plain service, with retries, until its final answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathpitch_core::{Account, Attempt, Evidence, Index, Millis, Name, Outcome, Route};
use heathpitch_net::{Body, ConnectionHead, Refusal as EngineRefusal, RpcError, full, read};
use heathpitch_policy::{Broken, Repeat, ServiceView, StoredAnswer};
use hyper::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use tokio::sync::oneshot;

use super::guard::{OpenCounts, Permit};
use super::idempotency::Reservation;
use super::parse::RawRequest;
use super::{Context, Refusal, RefusalKind};
use crate::event::{AttemptReason, Event};
use crate::shared::ControlMessage;

/// Largest answer accepted from a service.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Retry delay for a caller whose request found no service.
const RETRY_AFTER_MS: Millis = 1_000;

/// A request that has passed all other filters.
pub(crate) struct ServiceCall {
    pub(crate) account: Arc<Account>,
    pub(crate) index: Arc<Index>,
    pub(crate) route: Arc<Route>,
    pub(crate) raw: RawRequest,
    pub(crate) path: String,
    pub(crate) deadline: Millis,
    pub(crate) _permit: Permit,
    pub(crate) reservation: Reservation,
}

/// A complete answer of a service.
struct ServiceAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Runs the request; a request with a key continues after its caller has disconnected.
pub(crate) async fn run(cx: &Context, call: ServiceCall) -> Result<Response<Body>, Refusal> {
    let (reply, response) = oneshot::channel();
    let cx = cx.clone();
    let has_key = matches!(call.reservation, Reservation::Keyed(_));
    let work = async move {
        let result = drive(&cx, call).await;
        // A disconnected caller can fetch the answer by repeating the request with its key.
        let _ = reply.send(result);
    };
    let task = AbortOnDrop(tokio::spawn(work), !has_key);
    let lost = Refusal::new(Outcome::Unknown, RefusalKind::Broken, "the request was dropped");
    let result = response.await.unwrap_or(Err(lost));
    drop(task);
    result
}

struct AbortOnDrop(tokio::task::JoinHandle<()>, bool);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if self.1 {
            self.0.abort();
        }
    }
}

async fn drive(cx: &Context, mut call: ServiceCall) -> Result<Response<Body>, Refusal> {
    let reservation = std::mem::replace(&mut call.reservation, Reservation::NoKey);
    let dispatched = match reservation {
        Reservation::Keyed(key) => match key.dispatch() {
            Some(dispatched) => Some(dispatched),
            None => {
                let message = "the request with this key was already dispatched";
                return Err(Refusal::new(Outcome::Unknown, RefusalKind::KeySpent, message));
            }
        },
        Reservation::NoKey => None,
    };
    let mut evidence = Evidence::new();
    let limit = Duration::from_millis(call.deadline.saturating_sub(cx.traffic.shared.now()));
    let work = tokio::time::timeout(limit, try_services(cx, &call, &mut evidence)).await;
    let (kind, result) = match work {
        Ok(Ok(answer)) => (RefusalKind::Broken, Some(answer)),
        Ok(Err(kind)) => (kind, None),
        Err(_) => (RefusalKind::Expired, None),
    };
    match (result, dispatched, evidence.not_run()) {
        (Some(answer), dispatched, _) => {
            if let Some(dispatched) = dispatched {
                dispatched.finish(record(&answer));
            }
            Ok(respond(cx, answer))
        }
        (None, Some(dispatched), Some(proof)) => {
            dispatched.not_run(proof);
            Err(final_refusal(kind, &evidence))
        }
        (None, Some(dispatched), None) => {
            let refusal = final_refusal(kind, &evidence);
            dispatched.finish(refusal.stored_answer());
            Err(refusal)
        }
        (None, None, _) => Err(final_refusal(kind, &evidence)),
    }
}

async fn try_services(
    cx: &Context,
    call: &ServiceCall,
    evidence: &mut Evidence,
) -> Result<ServiceAnswer, RefusalKind> {
    let mut avoid = Vec::new();
    let mut reason = AttemptReason::First;
    let mut kind = RefusalKind::NoPath;
    cx.traffic.limits.lock().budget.earn();
    for attempt in 1..=call.route.settings.attempts {
        if attempt > 1 && !cx.traffic.limits.lock().budget.spend() {
            return Err(kind);
        }
        let Some(service) = pick(cx, call, &avoid) else { return Err(kind) };
        log_route(cx, call, Attempt(attempt), &service.vm.name, reason);
        let _open_counts = OpenCounts::new(vec![service.gauge.clone()]);
        evidence.sent();
        let failure = match send_once(cx, call, &service.vm.address).await {
            Ok(answer) => {
                evidence.started();
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        (reason, kind) = match failure {
            Broken::Unsent => {
                evidence.unsent();
                (AttemptReason::Unsent, RefusalKind::NoPath)
            }
            Broken::Refused => {
                evidence.refused();
                (AttemptReason::Refused, RefusalKind::Refused)
            }
            Broken::Faulted | Broken::Lost => {
                evidence.lost();
                (AttemptReason::Lost, RefusalKind::Broken)
            }
        };
        if failure != Broken::Refused {
            service.gauge.record_failure(cx.traffic.shared.now());
            cx.traffic.shared.notify_control(ControlMessage::Failed(service.vm.name.clone()));
        }
        avoid.push(service.vm.name.clone());
        if call.raw.idempotency.repeat() == Repeat::Never && evidence.not_run().is_none() {
            return Err(kind);
        }
    }
    Err(kind)
}

/// Picks the less loaded of two random services.
fn pick(cx: &Context, call: &ServiceCall, avoid: &[Name]) -> Option<ServiceView> {
    let fleet = cx.traffic.shared.fleet.load();
    let now = cx.traffic.shared.now();
    let usable: Vec<&ServiceView> = fleet
        .services
        .iter()
        .filter(|s| call.index.admits(&call.route, &s.vm.labels))
        .filter(|s| !avoid.contains(&s.vm.name) && !s.gauge.is_suspect(now))
        .collect();
    let mut rng = rand::rng();
    let first = usable.get(rng.random_range(0..usable.len().max(1)))?;
    let second = usable.get(rng.random_range(0..usable.len()))?;
    let load = |s: &ServiceView| s.load + s.gauge.count();
    let chosen = if load(second) < load(first) { second } else { first };
    Some((*chosen).clone())
}

async fn send_once(
    cx: &Context,
    call: &ServiceCall,
    address: &Name,
) -> Result<ServiceAnswer, Broken> {
    let mut request = Request::new(full(call.raw.body.clone()));
    *request.method_mut() = call.raw.method.clone();
    *request.uri_mut() =
        format!("http://{address}{}", call.path).parse().map_err(|_| Broken::Unsent)?;
    *request.headers_mut() = call.raw.headers.clone();
    for hop in [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING] {
        request.headers_mut().remove(hop);
    }
    let response = cx.traffic.client.send(request, true).await.map_err(|e| match e {
        RpcError::Connect(_) => Broken::Unsent,
        _ => Broken::Lost,
    })?;
    let (mut parts, body) = response.into_parts();
    ConnectionHead::take(&mut parts);
    let (status, headers) = (parts.status, parts.headers);
    let body = read(body, MAX_ANSWER_BYTES).await.map_err(|_| Broken::Lost)?;
    let refused = serde_json::from_slice::<EngineRefusal>(&body).is_ok_and(|body| !body.started);
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if refused => {
            Err(Broken::Refused)
        }
        status => Ok(ServiceAnswer { status, headers, body }),
    }
}

fn respond(cx: &Context, answer: ServiceAnswer) -> Response<Body> {
    let mut response = Response::new(full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    cx.set_headers(&mut response, Outcome::Done);
    cx.traffic.shared.metrics.requests.with_label_values(&["done"]).inc();
    response
}

fn record(answer: &ServiceAnswer) -> StoredAnswer {
    let media = answer.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    StoredAnswer {
        status: answer.status.as_u16(),
        media: media.unwrap_or("application/octet-stream").to_owned(),
        body: answer.body.to_vec().into(),
        outcome: Outcome::Done,
    }
}

fn final_refusal(kind: RefusalKind, evidence: &Evidence) -> Refusal {
    let message = match evidence.outcome() {
        Outcome::NotRun => "no service can accept the request now",
        _ => "the connection to a service was lost; the request may have run",
    };
    Refusal::new(evidence.outcome(), kind, message).with_retry_after(RETRY_AFTER_MS)
}

fn log_route(
    cx: &Context,
    call: &ServiceCall,
    attempt: Attempt,
    service: &Name,
    reason: AttemptReason,
) {
    Event::RoutedService {
        request: cx.id.clone(),
        account: call.account.name.clone(),
        route: call.route.name.clone(),
        attempt,
        service: service.clone(),
        reason,
    }
    .log();
}
