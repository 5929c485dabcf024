//! Filter: runs a request on a plain service until its final answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heathpitch_core::{Account, Attempt, Evidence, Index, Millis, Name, Outcome, Route};
use heathpitch_net::{Body, Refusal as Said, RpcError, full, read};
use heathpitch_policy::{Broken, Repeat, ServiceView, StoredAnswer};
use hyper::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use tokio::sync::oneshot;

use super::guard::{Opened, Permit};
use super::parse::Head;
use super::repeat::Granted;
use super::{Context, Refusal, RefusalKind};
use crate::event::{Event, Reason};
use crate::shared::ToControl;

/// Largest answer of a service, bytes.
const MAX_ANSWER: usize = 8 << 20;
/// Time told to a caller whose request found no service, milliseconds.
const BACK: Millis = 1_000;

/// A request that has passed every other filter.
pub(crate) struct Call {
    pub(crate) account: Arc<Account>,
    pub(crate) index: Arc<Index>,
    pub(crate) route: Arc<Route>,
    pub(crate) head: Head,
    pub(crate) path: String,
    pub(crate) deadline: Millis,
    pub(crate) _permit: Permit,
    pub(crate) granted: Granted,
}

/// A whole answer of a service.
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    content: Bytes,
}

/// Runs the request; one with a key goes on although its caller has gone.
pub(crate) async fn run(cx: &Context, call: Call) -> Result<Response<Body>, Refusal> {
    let (reply, response) = oneshot::channel();
    let cx = cx.clone();
    let keyed = matches!(call.granted, Granted::Keyed(_));
    let work = async move {
        let done = drive(&cx, call).await;
        // A caller that has gone gets its answer when it asks again with its key.
        let _ = reply.send(done);
    };
    let task = AbortOnDrop(tokio::spawn(work), !keyed);
    let lost = Refusal::of(Outcome::Unknown, RefusalKind::Broken, "the request was dropped");
    let done = response.await.unwrap_or(Err(lost));
    drop(task);
    done
}

struct AbortOnDrop(tokio::task::JoinHandle<()>, bool);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if self.1 {
            self.0.abort();
        }
    }
}

async fn drive(cx: &Context, mut call: Call) -> Result<Response<Body>, Refusal> {
    let granted = std::mem::replace(&mut call.granted, Granted::Free);
    let dispatched = match granted {
        Granted::Keyed(hold) => match hold.dispatch() {
            Some(dispatched) => Some(dispatched),
            None => {
                let message = "the key's request was dispatched before";
                return Err(Refusal::of(Outcome::Unknown, RefusalKind::KeySpent, message));
            }
        },
        Granted::Free => None,
    };
    let mut seen = Evidence::new();
    let limit = Duration::from_millis(call.deadline.saturating_sub(cx.traffic.shared.now()));
    let work = tokio::time::timeout(limit, attempts(cx, &call, &mut seen)).await;
    let (kind, result) = match work {
        Ok(Ok(whole)) => (RefusalKind::Broken, Some(whole)),
        Ok(Err(kind)) => (kind, None),
        Err(_) => (RefusalKind::Expired, None),
    };
    match (result, dispatched, seen.not_run()) {
        (Some(whole), dispatched, _) => {
            if let Some(dispatched) = dispatched {
                dispatched.finish(record(&whole));
            }
            Ok(respond(cx, whole))
        }
        (None, Some(dispatched), Some(proof)) => {
            dispatched.not_run(proof);
            Err(given_up(kind, &seen))
        }
        (None, Some(dispatched), None) => {
            let refusal = given_up(kind, &seen);
            dispatched.finish(refusal.record());
            Err(refusal)
        }
        (None, None, _) => Err(given_up(kind, &seen)),
    }
}

async fn attempts(cx: &Context, call: &Call, seen: &mut Evidence) -> Result<Whole, RefusalKind> {
    let mut avoid = Vec::new();
    let mut reason = Reason::First;
    let mut kind = RefusalKind::NoPath;
    cx.traffic.limits.lock().budget.earn();
    for attempt in 1..=call.route.settings.attempts {
        if attempt > 1 && !cx.traffic.limits.lock().budget.spend() {
            return Err(kind);
        }
        let Some(service) = pick(cx, call, &avoid) else { return Err(kind) };
        log_route(cx, call, Attempt(attempt), &service.vm.name, reason);
        let _opened = Opened::new(vec![service.gauge.clone()]);
        seen.sent();
        let how = match once(cx, call, &service.vm.address).await {
            Ok(whole) => {
                seen.started();
                return Ok(whole);
            }
            Err(how) => how,
        };
        (reason, kind) = match how {
            Broken::Unsent => {
                seen.unsent();
                (Reason::Unsent, RefusalKind::NoPath)
            }
            Broken::Refused => {
                seen.refused();
                (Reason::Refused, RefusalKind::Refused)
            }
            Broken::Faulted | Broken::Lost => {
                seen.lost();
                (Reason::Lost, RefusalKind::Broken)
            }
        };
        if how != Broken::Refused {
            service.gauge.record_failure(cx.traffic.shared.now());
            cx.traffic.shared.tell(ToControl::Failed(service.vm.name.clone()));
        }
        avoid.push(service.vm.name.clone());
        if call.head.key.repeat() == Repeat::Never && seen.not_run().is_none() {
            return Err(kind);
        }
    }
    Err(kind)
}

/// The less loaded of two services picked at random.
fn pick(cx: &Context, call: &Call, avoid: &[Name]) -> Option<ServiceView> {
    let fleet = cx.traffic.shared.fleet.load();
    let now = cx.traffic.shared.now();
    let usable: Vec<&ServiceView> = fleet
        .services
        .iter()
        .filter(|s| call.index.admits(&call.route, &s.vm.labels))
        .filter(|s| !avoid.contains(&s.vm.name) && !s.gauge.is_suspect(now))
        .collect();
    let mut rng = rand::rng();
    let any = usable.get(rng.random_range(0..usable.len().max(1)))?;
    let other = usable.get(rng.random_range(0..usable.len()))?;
    let load = |s: &ServiceView| s.load + s.gauge.count();
    let chosen = if load(other) < load(any) { other } else { any };
    Some((*chosen).clone())
}

async fn once(cx: &Context, call: &Call, address: &Name) -> Result<Whole, Broken> {
    let mut request = Request::new(full(call.head.content.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() =
        format!("http://{address}{}", call.path).parse().map_err(|_| Broken::Unsent)?;
    *request.headers_mut() = call.head.headers.clone();
    for hop in [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING] {
        request.headers_mut().remove(hop);
    }
    let response = cx.traffic.client.send(request, true).await.map_err(|e| match e {
        RpcError::Connect(_) => Broken::Unsent,
        _ => Broken::Lost,
    })?;
    let status = response.status();
    let headers = response.headers().clone();
    let content = read(response.into_body(), MAX_ANSWER).await.map_err(|_| Broken::Lost)?;
    let refused = serde_json::from_slice::<Said>(&content).is_ok_and(|said| !said.started);
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if refused => {
            Err(Broken::Refused)
        }
        status => Ok(Whole { status, headers, content }),
    }
}

fn respond(cx: &Context, whole: Whole) -> Response<Body> {
    let mut response = Response::new(full(whole.content));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    for hop in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        response.headers_mut().remove(hop);
    }
    cx.mark(&mut response, Outcome::Done);
    cx.traffic.shared.metrics.requests.with_label_values(&["done"]).inc();
    response
}

fn record(whole: &Whole) -> StoredAnswer {
    let media = whole.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    StoredAnswer {
        status: whole.status.as_u16(),
        media: media.unwrap_or("application/octet-stream").to_owned(),
        body: whole.content.to_vec().into(),
        outcome: Outcome::Done,
    }
}

fn given_up(kind: RefusalKind, seen: &Evidence) -> Refusal {
    let message = match seen.outcome() {
        Outcome::NotRun => "no service can take the request now",
        _ => "the connection to a service was lost; the request may have run",
    };
    Refusal::of(seen.outcome(), kind, message).back(BACK)
}

fn log_route(cx: &Context, call: &Call, attempt: Attempt, service: &Name, reason: Reason) {
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
