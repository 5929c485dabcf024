//! Requests with a key: the hold on the ledger, repeats of answers, and passing on to the owner.

use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Incarnation, Name, NotRun, Outcome};
use heathpitch_net::{Body, RpcError, full};
use heathpitch_policy::StoredAnswer;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};

use super::parse::{FORWARDED, Head};
use super::{Ask, AskKind, Context, Refusal, RefusalKind, render};
use crate::traffic::Traffic;

/// Time for the owner to begin its answer.
const OWNER: Duration = Duration::from_secs(120);

/// How an answer is to be given: the same record serves whole and streamed repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// The body as it was.
    Whole,
    /// Server-sent events of this kind of call.
    Stream(AskKind),
}

impl Shape {
    /// The shape that a model request wants.
    pub(crate) fn of(ask: &Ask) -> Self {
        if ask.stream { Self::Stream(ask.kind) } else { Self::Whole }
    }
}

/// A key that this request may dispatch; released if it is dropped before.
pub(crate) struct Hold {
    traffic: Arc<Traffic>,
    key: Option<Name>,
}

impl std::fmt::Debug for Hold {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Hold").finish()
    }
}

impl Hold {
    /// Takes over a key that the ledger has as being claimed.
    pub(crate) fn new(traffic: Arc<Traffic>, key: Name) -> Self {
        Self { traffic, key: Some(key) }
    }

    /// Drops the key from the ledger: it is another's.
    pub(crate) fn forget(mut self) {
        if let Some(key) = self.key.take() {
            self.traffic.ledger.lock().forget(&key);
        }
    }

    /// Asks the ledger for leave to dispatch; given once.
    pub(crate) fn dispatch(mut self) -> Option<Dispatched> {
        let key = self.key.take()?;
        let may = self.traffic.ledger.lock().dispatch(&key);
        may.then(|| Dispatched { traffic: self.traffic.clone(), key: Some(key) })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.traffic.ledger.lock().release(&key);
        }
    }
}

/// A key whose request was dispatched; counts as unknown if it is dropped before it is settled.
pub(crate) struct Dispatched {
    traffic: Arc<Traffic>,
    key: Option<Name>,
}

impl Dispatched {
    /// The request did not run after all.
    pub(crate) fn not_run(mut self, proof: NotRun) {
        if let Some(key) = self.key.take() {
            self.traffic.ledger.lock().mark_not_run(&key, proof);
        }
    }

    /// The request is over; the record is kept for repeats.
    pub(crate) fn finish(mut self, record: StoredAnswer) {
        let now = self.traffic.shared.now();
        if let Some(key) = self.key.take() {
            self.traffic.ledger.lock().finish(&key, record, now);
        }
    }
}

impl Drop for Dispatched {
    fn drop(&mut self) {
        let now = self.traffic.shared.now();
        if let Some(key) = self.key.take() {
            let message = "the request may have run; its answer was lost";
            let lost = Refusal::of(Outcome::Unknown, RefusalKind::Broken, message);
            self.traffic.ledger.lock().finish(&key, lost.record(), now);
        }
    }
}

impl Refusal {
    /// The refusal as it is kept for repeats.
    pub(crate) fn record(&self) -> StoredAnswer {
        record(self.code(), self.outcome, self.body("").to_string().into_bytes())
    }
}

/// A JSON answer as it is kept for repeats.
pub(crate) fn record(status: u16, outcome: Outcome, body: Vec<u8>) -> StoredAnswer {
    StoredAnswer { status, media: "application/json".to_owned(), body: body.into(), outcome }
}

/// The answer that was given before.
pub(crate) fn replay(cx: &Context, record: &StoredAnswer, shape: &Shape) -> Response<Body> {
    let streamed = match shape {
        Shape::Stream(kind) if record.outcome == Outcome::Done => {
            render::replayed(*kind, &record.body)
        }
        _ => None,
    };
    let (media, content) = match streamed {
        Some(events) => (render::EVENTS.to_owned(), events),
        None => (record.media.clone(), record.body.to_vec()),
    };
    let mut response = Response::new(full(content));
    *response.status_mut() = StatusCode::from_u16(record.status).unwrap_or_default();
    if let Ok(media) = HeaderValue::from_str(&media) {
        response.headers_mut().insert(CONTENT_TYPE, media);
    }
    cx.mark(&mut response, record.outcome);
    response
}

/// Address of the node life, if it is alive and not this one.
pub(crate) fn owner_of(cx: &Context, node: &Name, life: Incarnation) -> Option<Name> {
    let view = cx.traffic.shared.view.load();
    let owner = view.members.iter().find(|m| m.node == *node && m.life == life);
    owner.map(|m| m.caller.clone())
}

/// Passes a request on to the only node that may run it.
pub(crate) async fn forward(
    cx: &Context,
    head: &Head,
    owner: &Name,
) -> Result<Response<Body>, Refusal> {
    let lost = |e: String| {
        let message = format!("the node that may run this request does not answer: {e}");
        Refusal::of(Outcome::Unknown, RefusalKind::OwnerGone, message)
    };
    let mut request = Request::new(full(head.content.clone()));
    *request.method_mut() = head.method.clone();
    let uri = format!("http://{owner}{}", head.path);
    *request.uri_mut() =
        uri.parse().map_err(|e: hyper::http::uri::InvalidUri| lost(e.to_string()))?;
    *request.headers_mut() = head.headers.clone();
    request.headers_mut().remove(CONTENT_LENGTH);
    request.headers_mut().remove(TRANSFER_ENCODING);
    request.headers_mut().insert(FORWARDED, HeaderValue::from_static("1"));
    let sent = tokio::time::timeout(OWNER, cx.traffic.client.send(request, true)).await;
    match sent {
        Ok(Ok(response)) => {
            Ok(response.map(|b| b.map_err(|_| heathpitch_net::BodyError::Truncated).boxed_unsync()))
        }
        Ok(Err(RpcError::Connect(e) | RpcError::Lost(e))) => Err(lost(e)),
        Ok(Err(e)) => Err(lost(e.to_string())),
        Err(_) => Err(lost("no answer in time".to_owned())),
    }
}
